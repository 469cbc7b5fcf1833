"""Days in simulated time: stand-ins for clients, proxies, backends, discovery and peers around the real planner and the
real gossip. Discrete events from one seed; docs/design/rehearsal.md says what is modelled and what is not.
"""
