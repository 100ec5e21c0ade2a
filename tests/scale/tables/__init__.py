"""The tables of a gateway at the size that is expected: a seeded content, and a process that holds it."""
