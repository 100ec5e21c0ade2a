"""Records of leases at commit 4d24a08: bytes between members, an acceptor's stores, decisions."""
