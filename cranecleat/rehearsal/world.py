"""Simulated time and randomness: one heap of events, and a random generator for each use, so that the draws of one
part of the simulation do not change those of another.
"""

import zlib
from heapq import heappop, heappush

import numpy

SECOND = 1_000_000  # microseconds, the unit of simulated time


class Simulation:
    """Runs callbacks in the order of simulated time; callbacks of the same instant run in the order of their calls."""

    def __init__(self, seed):
        self.seed = seed
        self.now = 0  # microseconds since the start
        self.events = []  # heap of (time, sequence number, callback, arguments)
        self.event_count = 0

    def random_generator(self, use):
        """A numpy generator for one use, seeded by the simulation's seed and the use's name."""
        return numpy.random.default_rng([self.seed, zlib.crc32(use.encode())])

    def call_at(self, when, callback, *values):
        self.event_count += 1
        heappush(self.events, (max(when, self.now), self.event_count, callback, values))

    def call_after(self, delay, callback, *values):
        self.call_at(self.now + round(delay), callback, *values)

    def run(self, until):
        while self.events and self.events[0][0] <= until:
            self.now, _, callback, values = heappop(self.events)
            callback(*values)
        self.now = until


class BufferedDraws:
    """Random draws from one distribution. They are generated in batches, as single draws cost ten times as much."""

    def __init__(self, draw_batch, size=4096):
        self.draw_batch, self.size = draw_batch, size
        self.remaining = []

    def __call__(self):
        if not self.remaining:
            self.remaining = self.draw_batch(self.size).tolist()
        return self.remaining.pop()
