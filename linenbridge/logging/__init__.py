"""Logs as JSON lines: `event_log` is the gateway's lean one, `structured` adds levels."""
