"""Structured logging, for all that is served beside the platform's gateway."""
