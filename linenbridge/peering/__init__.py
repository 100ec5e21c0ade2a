"""Connections between processes: what members, relays, publishers and gateways share to reach each other."""
