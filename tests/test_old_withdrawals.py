"""Rule 3 for proxies that join with tables that name backends which went long ago: nothing is left out in the hope that
another message comes in time. Timers fire when they are due, and messages take a while to reach their proxy."""

from dataclasses import replace
from heapq import heappop, heappush

import pytest

from cranecleat.policy import FORGET_GRACES, RECENT_GRACES, Planner
from planner_harness import BOOTSTRAP, SECOND, StreamsHarness
from test_stream_messages import SimulatedProxy

DELIVERY = 3 * SECOND // 10  # microseconds from a round to the proxy, and as much back
ALLOWANCE = 3 * SECOND // 10  # microseconds that the rules allow beyond the grace where messages go over sockets
TABLES = {  # name -> settings that lead to such tables
    "full": {},
    "subsets": {"proxies": 200, "channel_lines_per_second": 600.0, "backlog": 6000, "warm_up_time": 7 * SECOND},
}


class TimedCoordinator:
    """A planner and the streams of its proxies, in simulated time: rounds are run when something is due."""

    def __init__(self, backend_count, **settings):
        self.now, self.due, self.sequence = 100 * SECOND, [], 0
        self.harness = StreamsHarness(backend_count)
        self.harness.streams.set_timer = lambda at, number: self.call_at(at, lambda: [("timer_fired", number)])
        self.planner = Planner(replace(BOOTSTRAP, **settings), 7)
        self.proxies, self.joined_at = {}, {}
        entries = [(b, "running", b % 2, 0, 1.0, 0) for b in range(backend_count)]
        self.run_round(self.harness.list_backends("held", entries))

    def call_at(self, at, action):
        self.sequence += 1
        heappush(self.due, (at, self.sequence, action))

    def run_round(self, events):
        self.planner.round(self.now, events, self.harness.streams)
        ack_number = self.harness.streams.ack_number
        for p, message in self.harness.flush().items():
            self.call_at(self.now + DELIVERY, lambda p=p, message=message: self.deliver(p, message, ack_number))

    def deliver(self, p, message, ack_number):
        self.proxies[p].apply(message)
        self.call_at(self.now + DELIVERY, lambda: [("acknowledged", p, ack_number)])
        return []

    def run_until(self, end):
        while self.due and self.due[0][0] <= end:
            self.now = max(self.due[0][0], self.now)
            if events := heappop(self.due)[2]():
                self.run_round(events)
        self.now = max(self.now, end)

    def list_state(self, backend, state):
        self.run_round(self.harness.list_backends("changes", [(backend, state, backend % 2, 0, 1.0, 0)]))

    def join(self, p, backends, uses_initial_table):
        """Joins a proxy that holds a table of these backends for each route."""
        self.proxies[p] = SimulatedProxy()
        for table in self.proxies[p].tables.values():
            table.update((f"s-{b}", 1.0) for b in backends)
        self.joined_at[p] = self.now
        self.run_round([self.harness.join_event(p, p % 2, 5.0, uses_initial_table)])

    def holds(self, p, backend):
        """Whether the proxy may send to a backend."""
        proxy = self.proxies[p]
        return f"s-{backend}" not in proxy.withdrawn and any(f"s-{backend}" in t for t in proxy.tables.values())


@pytest.mark.parametrize("graces_gone", [1, RECENT_GRACES - 0.5, RECENT_GRACES + 0.5, 12, FORGET_GRACES + 2, 60])
@pytest.mark.parametrize("grace", [1, 2, 10])
@pytest.mark.parametrize("tables", TABLES)
def test_a_proxy_that_was_cut_off_stops_sending_to_a_backend_that_went_meanwhile(tables, grace, graces_gone):
    """Guards against a withdrawal that is not repeated because a binding is to replace the table, and a binding that
    waits: a coordinator without reports kept proxies on their tables for three seconds, whatever these named."""
    coordinator = TimedCoordinator(16 if tables == "full" else 80, grace=grace * SECOND, **TABLES[tables])
    coordinator.list_state(3, "draining")
    coordinator.run_until(coordinator.now + SECOND)
    coordinator.list_state(3, "gone")
    coordinator.run_until(coordinator.now + round(graces_gone * grace * SECOND))
    forgotten = 3 not in coordinator.planner.backends
    assert forgotten == (graces_gone > FORGET_GRACES)
    coordinator.join(1, range(2, 6), uses_initial_table=False)
    coordinator.run_until(coordinator.now + SECOND // 2)
    coordinator.join(2, range(2, 6), uses_initial_table=False)  # before the deadline of the first one
    coordinator.run_until(coordinator.joined_at[1] + grace * SECOND + ALLOWANCE)
    assert not coordinator.holds(1, 3)
    coordinator.run_until(coordinator.joined_at[2] + grace * SECOND + ALLOWANCE)
    assert not coordinator.holds(2, 3)


def test_a_proxy_without_a_binding_in_sight_is_told_of_old_withdrawals_with_subsets():
    """Guards against repeated withdrawals that are dropped because bindings are expected: here no table of the proxy's
    zone has any entry, so that the binding never comes."""
    in_zone = tuple(replace(route, own_zone=True) for route in BOOTSTRAP.routes)
    coordinator = TimedCoordinator(80, grace=2 * SECOND, routes=in_zone, **TABLES["subsets"])
    for b in range(1, 80, 2):
        coordinator.list_state(b, "gone")
    coordinator.run_until(coordinator.now + 12 * SECOND)
    assert coordinator.planner.subset_count
    coordinator.join(1, (1, 3, 5), uses_initial_table=True)
    coordinator.run_until(coordinator.now + 2 * SECOND + ALLOWANCE)
    assert 1 in coordinator.planner.users.waiting
    assert not any(coordinator.holds(1, b) for b in (1, 3, 5))


def test_proxies_that_are_bound_at_once_are_told_of_no_old_withdrawals():
    """The repeats cost a line for each backend and proxy, which the channel needs for bindings."""
    coordinator = TimedCoordinator(16, grace=SECOND)
    for b in range(4):
        coordinator.list_state(b, "gone")
    coordinator.run_until(coordinator.now + 8 * SECOND)
    for p in range(3):
        coordinator.join(p, range(4, 10), uses_initial_table=True)
    coordinator.run_until(coordinator.now + 4 * SECOND)
    assert not coordinator.planner.users.waiting
    assert all(not proxy.withdrawn for proxy in coordinator.proxies.values())
