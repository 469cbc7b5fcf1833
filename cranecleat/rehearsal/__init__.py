"""Simulated days: models of clients, proxies, backends, discovery and peers around the real planner and real gossip.

A discrete-event simulation with one seed. docs/design/rehearsal.md says what is modelled and what is not.
"""
