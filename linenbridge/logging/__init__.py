"""Logs as JSON lines: `event_log` writes them without levels, `structured` adds levels."""
