"""Twisted around the fleet's cores: links, clocks, disks and acts. Nothing here decides."""
