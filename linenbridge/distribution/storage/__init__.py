"""Stores of the distribution, one SQLite file each: a relay's log and a gateway's view."""
