"""State kept in memory: receive buffers, the joined proxies, and what each stream was sent."""
