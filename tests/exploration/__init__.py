"""Searches through small worlds of real cores, for all tests that explore what faults can do."""
