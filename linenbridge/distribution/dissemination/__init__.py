"""Dissemination of committed changes: feeds of relays, followers, progress summed up along the tree."""
