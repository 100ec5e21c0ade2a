"""What the distribution stores on disk, each in one SQLite file: a relay's log, and a gateway's view."""
