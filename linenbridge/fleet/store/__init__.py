"""The durable state of an acceptor."""
