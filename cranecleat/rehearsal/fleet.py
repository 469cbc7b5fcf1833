"""Simulated backends: cores, a queue, a cold start that ends in a crash under overload, unresponsiveness and death."""

from collections import deque

from cranecleat.rehearsal.world import SECOND

# A cold backend crashes once it has been overloaded for several seconds in a row.
COLD_OVERLOAD_MULTIPLE = 4.0  # overloaded: sent more work in a second than this multiple of its present capacity
COLD_OVERLOAD_SECONDS = 3  # overloaded seconds in a row until it crashes


class Backend:
    """`speed` is the work, in seconds of work, that each of its cores does in a second."""

    def __init__(self, simulation, index, zone, cores, speed, warm_up_time, cold_start_capacity, started_at=0):
        self.simulation, self.index, self.zone, self.cores, self.speed = simulation, index, zone, cores, speed
        self.warm_up_time, self.cold_start_capacity = warm_up_time, cold_start_capacity
        self.started_at = started_at  # microseconds of simulated time; 0: long ago
        self.state = "running"  # its actual state: running, draining or dead
        self.listed_state = "running"  # its state according to discovery
        self.unresponsive = self.crashed = False
        self.busy_cores, self.queue = 0, deque()
        self.current_second = -1
        self.work_this_second = 0.0  # seconds of work sent to it
        self.overloaded_seconds = 0  # in a row

    def warmth(self):
        """The part of its full capacity that it has at present."""
        if not self.started_at:
            return 1.0
        age = self.simulation.now - self.started_at
        return self.cold_start_capacity + (1 - self.cold_start_capacity) * min(age / self.warm_up_time, 1.0)

    def is_up(self):
        return self.state != "dead" and not self.crashed

    def accept(self, call, work, done):
        """Takes a call and returns whether it was accepted.

        `done(call)` is called once the call has run: never where the backend is unresponsive or dies first.
        """
        if not self.is_up():
            return False
        self.track_overload(work)
        if not self.unresponsive:
            self.queue.append((call, work, done))
            self.run_next()
        return True

    def track_overload(self, work):
        second = self.simulation.now // SECOND
        if second != self.current_second:
            capacity = self.cores * self.speed * self.warmth()
            overloaded = (
                second == self.current_second + 1
                and self.work_this_second > COLD_OVERLOAD_MULTIPLE * capacity
                and self.warmth() < 1.0
            )
            self.overloaded_seconds = self.overloaded_seconds + 1 if overloaded else 0
            self.crashed = self.crashed or self.overloaded_seconds >= COLD_OVERLOAD_SECONDS
            self.current_second, self.work_this_second = second, 0.0
        self.work_this_second += work

    def run_next(self):
        while self.queue and self.busy_cores < self.cores:
            call, work, done = self.queue.popleft()
            if call.abandoned:
                continue  # Its client has gone: a waiting call is dropped.
            self.busy_cores += 1
            duration = work / (self.speed * self.warmth()) * SECOND
            self.simulation.call_after(duration, self.finish, call, done, self.started_at)

    def finish(self, call, done, started_at):
        if started_at != self.started_at:
            return  # The backend has died and started again since.
        self.busy_cores -= 1
        if self.is_up() and not self.unresponsive:
            done(call)
        self.run_next()

    def kill(self):
        self.state, self.busy_cores = "dead", 0
        self.queue.clear()

    def restart(self):
        """Starts again under the same id, cold."""
        self.state = "running"
        self.crashed = False
        self.unresponsive = False
        self.busy_cores = 0
        self.overloaded_seconds = 0
        self.started_at = self.simulation.now
        self.queue.clear()
