"""The command line `cranecleat`. Each command imports its modules when it runs, so that none loads those of
another."""

from cranecleat.commands.root import main

__all__ = ["main"]
