"""Runs one coordinator: its configuration, logging, clock, planner rounds and signals."""
