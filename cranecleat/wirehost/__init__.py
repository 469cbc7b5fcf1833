"""The adapter for the simulator: JSON lines on standard input and output, with one planner for each coordinator."""
