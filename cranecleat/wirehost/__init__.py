"""The adapter: JSON lines on standard input and output, one planner an instance."""
