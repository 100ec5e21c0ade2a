"""Starting and ending one process: what it is told, its parts, its signals. Nothing here decides."""
