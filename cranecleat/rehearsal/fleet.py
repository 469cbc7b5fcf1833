"""Backends: cores, a queue, a cold start that falls over when it is pushed, swallowing, refusing and death."""

from collections import deque

from cranecleat.rehearsal.world import SECOND

PUSHED, FOR = 4.0, 3  # times what a cold one can do at the moment, for that many seconds: it falls over


class Backend:
    """`speed`: work done a second by each of its cores, in seconds of work."""

    def __init__(self, world, index, zone, cores, speed, cold, cold_from, started=0):
        self.world, self.index, self.zone, self.cores, self.speed = world, index, zone, cores, speed
        self.cold, self.cold_from, self.started = cold, cold_from, started  # Unix microseconds; 0: long ago
        self.state = "running"  # as it is: running, draining, dead
        self.listed = "running"  # as discovery has it
        self.swallows = self.fallen = False
        self.busy, self.queue = 0, deque()
        self.second, self.work, self.hard = -1, 0.0, 0  # work sent in this second; seconds pushed in a row

    def warmth(self):
        if not self.started:
            return 1.0
        return self.cold_from + (1 - self.cold_from) * min((self.world.now - self.started) / self.cold, 1.0)

    def open(self):
        return self.state != "dead" and not self.fallen

    def take(self, call, work, done):
        """A call arrives. `done(call)` is called once it has run; never, where it is swallowed or dies with us.
        Returns whether it was taken at all."""
        if not self.open():
            return False
        self.push(work)
        if not self.swallows:
            self.queue.append((call, work, done))
            self.next()
        return True

    def push(self, work):
        second = self.world.now // SECOND
        if second != self.second:
            able = self.cores * self.speed * self.warmth()
            over = second == self.second + 1 and self.work > PUSHED * able and self.warmth() < 1.0
            self.hard = self.hard + 1 if over else 0
            self.fallen = self.fallen or self.hard >= FOR
            self.second, self.work = second, 0.0
        self.work += work

    def next(self):
        while self.queue and self.busy < self.cores:
            call, work, done = self.queue.popleft()
            if call.given_up:
                continue  # its client has gone: what waits is dropped
            self.busy += 1
            self.world.after(work / (self.speed * self.warmth()) * SECOND, self.ran, call, done, self.started)

    def ran(self, call, done, life):
        if life != self.started:
            return  # it died meanwhile
        self.busy -= 1
        if self.open() and not self.swallows:
            done(call)
        self.next()

    def die(self):
        self.state, self.busy = "dead", 0
        self.queue.clear()

    def start(self):
        """Again, under the same id, cold."""
        self.state, self.fallen, self.swallows, self.busy, self.hard = "running", False, False, 0, 0
        self.started = self.world.now
        self.queue.clear()
