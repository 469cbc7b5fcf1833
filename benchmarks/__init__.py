"""One benchmark for each subsystem; each prints a table and exits with code 1 where a target is missed."""
