"""Scale tests and the capacity page: slopes measured by program, and what they come to at a stated size."""
