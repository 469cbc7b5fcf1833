"""The planner's clock and everything that is due, behind one timer of the loop."""

from heapq import heappop, heappush

from cranecleat.decoding import US_PER_SECOND


class Clock:
    """Unix time in microseconds, taken once and carried on by the monotonic clock: a step of the machine's
    clock moves nothing, and the start times in the list can be compared."""

    def __init__(self, loop, unix):
        self.loop, self.unix, self.base = loop, round(unix * US_PER_SECOND), loop.time()
        self.due, self.count, self.timer, self.armed = [], 0, None, 0

    def now(self):
        return self.unix + round((self.loop.time() - self.base) * US_PER_SECOND)

    def call_at(self, when, act):
        self.count += 1
        heappush(self.due, (when, self.count, act))
        self.arm()

    def arm(self):
        if self.due and (self.timer is None or self.due[0][0] < self.armed):
            if self.timer:
                self.timer.cancel()
            self.armed = self.due[0][0]
            self.timer = self.loop.call_at(self.base + (self.armed - self.unix) / US_PER_SECOND, self.fire)

    def fire(self):
        self.timer, now = None, self.now()
        try:
            while self.due and self.due[0][0] <= now:
                heappop(self.due)[2]()
        finally:  # one that fails must not stop the others
            self.arm()
