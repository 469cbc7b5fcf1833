"""The planner's clock, and the callbacks that are scheduled on it, behind one timer of the event loop."""

from heapq import heappop, heappush

from cranecleat.decoding import US_PER_SECOND


class Clock:
    """Unix time in microseconds. The wall clock is read once and advanced by the loop's monotonic clock: a step of the
    machine's clock has no effect, and the times still compare with the start times in the list of backends."""

    def __init__(self, loop, unix):
        self.loop = loop
        self.unix_start = round(unix * US_PER_SECOND)
        self.loop_start = loop.time()
        self.scheduled = []  # a heap of (time, sequence number, callback)
        self.sequence = 0  # callbacks of the same time run in the order in which they were scheduled
        self.timer = None
        self.timer_at = 0  # the time that `timer` is set for

    def now(self):
        return self.unix_start + round((self.loop.time() - self.loop_start) * US_PER_SECOND)

    def call_at(self, when, callback):
        self.sequence += 1
        heappush(self.scheduled, (when, self.sequence, callback))
        self.arm_timer()

    def arm_timer(self):
        """Sets the loop's timer for the earliest callback, unless it is set for that or an earlier time already."""
        if self.scheduled and (self.timer is None or self.scheduled[0][0] < self.timer_at):
            if self.timer:
                self.timer.cancel()
            self.timer_at = self.scheduled[0][0]
            since_start = (self.timer_at - self.unix_start) / US_PER_SECOND
            self.timer = self.loop.call_at(self.loop_start + since_start, self.run_due)

    def run_due(self):
        self.timer, now = None, self.now()
        try:
            while self.scheduled and self.scheduled[0][0] <= now:
                heappop(self.scheduled)[2]()
        finally:  # an exception in one callback must not keep the others from running
            self.arm_timer()
