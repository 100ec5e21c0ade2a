"""linenbridge: a sidecar that routes RPCs and votes on staged releases from its own traffic."""
