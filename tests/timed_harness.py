"""A planner with the streams of its proxies in simulated time: timers fire when they are due, and each message takes a
while to reach its proxy."""

from dataclasses import replace
from heapq import heappop, heappush

from cranecleat.policy import Planner
from planner_harness import BOOTSTRAP, SECOND, StreamsHarness
from test_stream_messages import SimulatedProxy

DELIVERY = 3 * SECOND // 10  # microseconds from a round to the proxy, and as much back
ALLOWANCE = 3 * SECOND // 10  # microseconds that the rules allow beyond the grace where messages go over sockets
TABLES = {  # name -> settings that lead to such tables
    "full": {},
    "subsets": {"proxies": 200, "channel_lines_per_second": 600.0, "backlog": 6000, "warm_up_time": 7 * SECOND},
}


class TimedCoordinator:
    """A planner, its streams and its proxies; rounds are run when something is due. Backends are numbered, and are in
    zone 0 or 1 as their number is even or odd; so are proxies. `jitter`: returns what a message takes to its proxy
    beside DELIVERY, in microseconds."""

    def __init__(self, backend_count, jitter=lambda: 0, **settings):
        self.now, self.due, self.sequence, self.jitter = 100 * SECOND, [], 0, jitter
        self.harness = StreamsHarness(0)
        self.harness.streams.set_timer = lambda at, number: self.call_at(at, lambda: [("timer_fired", number)])
        self.planner = Planner(replace(BOOTSTRAP, **settings), 7)
        self.proxies, self.joined_at = {}, {}
        self.arrivals = {}  # (proxy, when it joined) -> when its messages arrived
        self.run_round(self.harness.list_backends("held", self.entries(dict.fromkeys(range(backend_count), "running"))))

    def call_at(self, at, action):
        """Calls `action` at a time; it returns the events of a round that is then run, or none."""
        self.sequence += 1
        heappush(self.due, (at, self.sequence, action))

    def run_round(self, events):
        self.planner.round(self.now, events, self.harness.streams)
        ack_number = self.harness.streams.ack_number
        for p, message in self.harness.flush().items():
            stream = p, self.joined_at[p]
            self.call_at(
                self.now + DELIVERY + self.jitter(),
                lambda stream=stream, message=message: self.deliver(stream, message, ack_number),
            )

    def deliver(self, stream, message, ack_number):
        """A message reaches its proxy, unless the stream has ended."""
        p, joined_at = stream
        self.arrivals.setdefault(stream, []).append(self.now)
        if self.joined_at.get(p) == joined_at:
            self.proxies[p].apply(message)
            self.call_at(self.now + DELIVERY, lambda: [("acknowledged", p, ack_number)])
        return []

    def run_until(self, end):
        while self.due and self.due[0][0] <= end:
            self.now = max(self.due[0][0], self.now)
            if events := heappop(self.due)[2]():
                self.run_round(events)
        self.now = max(self.now, end)

    def entries(self, states, started=0):
        return [(self.harness.names(f"s-{b}"), state, b % 2, 0, 1.0, started) for b, state in states.items()]

    def list_states(self, states, started=0):
        """Takes changes of the list, backend -> state."""
        self.run_round(self.harness.list_backends("changes", self.entries(states, started)))

    def join(self, p, backends, uses_initial_table):
        """Joins a proxy that holds a table of these backends for each route."""
        self.proxies[p] = SimulatedProxy()
        for table in self.proxies[p].tables.values():
            table.update((f"s-{b}", 1.0) for b in backends)
        self.joined_at[p] = self.now
        self.run_round([self.harness.join_event(p, p % 2, 5.0, uses_initial_table)])

    def leave(self, p):
        del self.joined_at[p]
        self.harness.streams.leave(p, self.harness.streams.joined[p].connection)
        self.run_round([("proxy_left", p)])

    def holds(self, p, backend):
        """Whether the proxy may send to a backend."""
        proxy = self.proxies[p]
        return f"s-{backend}" not in proxy.withdrawn and any(f"s-{backend}" in t for t in proxy.tables.values())
