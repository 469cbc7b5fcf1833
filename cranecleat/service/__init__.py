"""Start and stop: what is read at start, logging, the clock, rounds, signals."""
