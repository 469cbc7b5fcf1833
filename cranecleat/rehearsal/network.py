"""Between coordinators: a network that loses, delays, doubles, reorders and parts; and seals that cost nothing."""

import hashlib

from cranecleat.rehearsal.world import SECOND


class Token:
    """Stands in for Ed25519 where thousands of datagrams a second are simulated: a keyed hash of the same length.
    Real keys are used by the tests and by `benchmarks/gossip.py` where their cost is measured."""

    def __init__(self, name):
        self.public = hashlib.blake2b(name.encode(), digest_size=32, person=b"rehearsal").digest()

    def sign(self, use, digest, data):
        return hashlib.blake2b(use + digest + data, key=self.public, digest_size=64).digest()


class TokenChecker:
    def __init__(self, roster):
        self.update_roster(roster)

    def update_roster(self, roster):
        self.roster = roster

    def is_valid(self, one, use, digest, data, signature):
        return any(
            hashlib.blake2b(use + digest + data, key=key, digest_size=64).digest() == signature
            for key in self.roster.members[one].keys
        )


class Network:
    """Carries datagrams between addresses. Parts are 0 to 1; `apart`: sets of addresses that hear only each other."""

    def __init__(self, world, lost=0.0, doubled=0.0, slowest=0.03):
        self.world, self.chance = world, world.chance("network")
        self.lost, self.doubled, self.slowest, self.apart = lost, doubled, slowest, ()
        self.sent = self.bytes = 0
        self.ends = {}  # address -> what takes (data, from address)

    def send(self, sender, datagrams):
        for to, data in datagrams:
            self.sent, self.bytes = self.sent + 1, self.bytes + len(data) + 28
            if any((sender in part) != (to in part) for part in self.apart):
                continue
            for _ in range(2 if self.chance.random() < self.doubled else 1):
                if self.chance.random() >= self.lost:  # each delay is drawn anew, which reorders
                    self.world.after(self.chance.uniform(0.001, self.slowest) * SECOND, self.arrive, to, data, sender)

    def arrive(self, to, data, sender):
        if to in self.ends:
            self.ends[to](data, sender)
