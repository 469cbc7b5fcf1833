"""The simulated network between coordinators, which loses, delays, duplicates and reorders datagrams and can be
partitioned, and cheap signatures for it."""

import hashlib

from cranecleat.rehearsal.world import SECOND


class HashSigner:
    """Stands in for Ed25519 where thousands of datagrams a second are simulated: a keyed hash of the same length.

    Tests of the real keys, and the parts of `benchmarks/gossip.py` that measure their cost, use real keys.
    """

    def __init__(self, name):
        self.public = hashlib.blake2b(name.encode(), digest_size=32, person=b"rehearsal").digest()

    def sign(self, use, digest, data):
        return hashlib.blake2b(use + digest + data, key=self.public, digest_size=64).digest()


class HashChecker:
    """Verifies these signatures; stands in for the verifier of Ed25519."""

    def __init__(self, roster):
        self.update_roster(roster)

    def update_roster(self, roster):
        self.roster = roster

    def is_valid(self, member, use, digest, data, signature):
        return any(
            hashlib.blake2b(use + digest + data, key=key, digest_size=64).digest() == signature
            for key in self.roster.members[member].keys
        )


class Network:
    """Carries datagrams between addresses.

    `loss` and `duplication` are the shares of datagrams, 0 to 1, that are lost and that are sent twice.
    `partitions` holds sets of addresses; the members of a set reach only each other.
    """

    def __init__(self, simulation, loss=0.0, duplication=0.0, max_delay_seconds=0.03):
        self.simulation, self.random = simulation, simulation.random_generator("network")
        self.loss, self.duplication, self.max_delay_seconds = loss, duplication, max_delay_seconds
        self.partitions = ()
        self.sent_count = self.sent_bytes = 0
        self.receivers = {}  # address -> callback that takes (data, sender's address)

    def send(self, sender, datagrams):
        for to, data in datagrams:
            self.sent_count += 1
            self.sent_bytes += len(data) + 28  # with the IP and UDP headers
            if any((sender in members) != (to in members) for members in self.partitions):
                continue
            for _ in range(2 if self.random.random() < self.duplication else 1):
                if self.random.random() >= self.loss:
                    # Each datagram has a delay of its own, so that datagrams overtake each other.
                    delay = self.random.uniform(0.001, self.max_delay_seconds) * SECOND
                    self.simulation.call_after(delay, self.deliver, to, data, sender)

    def deliver(self, to, data, sender):
        if to in self.receivers:
            self.receivers[to](data, sender)
