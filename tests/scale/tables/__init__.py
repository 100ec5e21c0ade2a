"""A gateway's tables at the expected size: seeded content, and a process that holds it in memory."""
