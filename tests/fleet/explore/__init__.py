"""The lease cores in a small world, explored schedule by schedule."""
