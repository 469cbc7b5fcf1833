"""The command line `cranecleat`. Each command imports what it needs itself, so that none pays for another."""

from cranecleat.commands.root import main

__all__ = ["main"]
