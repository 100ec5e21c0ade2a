"""The replicated log of one region: publisher, replicas, recovery of a new publisher."""
