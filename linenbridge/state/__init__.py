"""Bookkeeping for the decision module: what is known, never what to do."""
