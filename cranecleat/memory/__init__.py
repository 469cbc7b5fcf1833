"""What is kept in memory: buffers, who is joined, and what each stream was told."""
