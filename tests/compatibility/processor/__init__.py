"""Compares responses to proxies and the reservation store with those of the processor of the base."""
