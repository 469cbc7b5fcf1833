"""Gossip between coordinators: who takes part, what they miss from backends, and how little that may do.

`Agent` (agent.py) is the whole of it without I/O: it is handed datagrams and the time and hands back datagrams.
`Courier` (shell.py) carries them over UDP. docs/design/gossip.md has the format and why peers cannot do harm.
"""
