"""The durable state of an acceptor: one file a member, written before the acceptor replies."""
