"""Compares messages between members, stores of acceptors and lease decisions with those of commit 4d24a08."""
