"""The durable state of an acceptor: one file per member, written before the acceptor replies."""
