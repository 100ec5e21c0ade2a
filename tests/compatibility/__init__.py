"""Behaviour held against records that the base of the renaming, commit 4d24a08, wrote by its own code."""
