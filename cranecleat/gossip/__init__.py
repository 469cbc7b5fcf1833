"""Gossip between coordinators: membership, and what the members report about backends that leave calls unanswered.

`Agent` (agent.py) holds the whole protocol without I/O: it takes datagrams and the time and returns datagrams.
`GossipTransport` (shell.py) carries them over UDP. docs/design/gossip.md has the format and explains why a faulty peer
cannot do harm.
"""
