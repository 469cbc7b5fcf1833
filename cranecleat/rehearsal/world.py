"""Simulated time and chance: one heap of events, one generator a use, so that one part's draws move no other's."""

import zlib
from heapq import heappop, heappush

import numpy

SECOND = 1_000_000


class World:
    def __init__(self, seed):
        self.seed, self.now, self.events, self.count = seed, 0, [], 0

    def chance(self, use):
        """A numpy generator of its own for one use."""
        return numpy.random.default_rng([self.seed, zlib.crc32(use.encode())])

    def at(self, when, act, *values):
        self.count += 1
        heappush(self.events, (max(when, self.now), self.count, act, values))

    def after(self, delay, act, *values):
        self.at(self.now + round(delay), act, *values)

    def run(self, until):
        while self.events and self.events[0][0] <= until:
            self.now, _, act, values = heappop(self.events)
            act(*values)
        self.now = until


class Draws:
    """Draws of one distribution, made many at a time: one at a time costs ten times as much."""

    def __init__(self, make, size=4096):
        self.make, self.size, self.left = make, size, []

    def __call__(self):
        if not self.left:
            self.left = self.make(self.size).tolist()
        return self.left.pop()
