"""Twisted around the distribution's cores: links, disks, timers and processes. Nothing here decides."""
