"""Start and end of one process: its configuration, its components, its signals."""
