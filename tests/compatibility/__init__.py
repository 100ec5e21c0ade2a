"""Compares the present behaviour with records that the code of the base, commit 4d24a08, has written."""
