"""Scale tests and the capacity page: measured slopes, and the resulting costs at a stated size."""
