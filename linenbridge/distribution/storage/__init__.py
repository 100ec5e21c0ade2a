"""What processes of the distribution keep on disk, in embedded stores (SQLite by `apsw`)."""
