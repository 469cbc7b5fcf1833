"""Rule 5 where the messages to one proxy are limited: no writer exceeds the limit, and drains are in time all the same.
Simulated time; messages take different times to their proxies, within what the limit allows for."""

import random
from dataclasses import replace

import pytest

from cranecleat.bookkeeping.known import Proxy
from cranecleat.message_limit import WINDOW_FACTOR, MessageLimit
from planner_harness import BOOTSTRAP, SECOND
from timed_harness import ALLOWANCE, TABLES, TimedCoordinator

IN_ZONE = (BOOTSTRAP.routes[0], replace(BOOTSTRAP.routes[1], own_zone=True))
FLEETS = {  # name -> (backends, proxies, settings)
    "small": (4, 3, {}),
    "full tables": (24, 16, {"backlog": 4000, "channel_lines_per_second": 4000.0}),
    "a route in its zone": (12, 8, {"routes": IN_ZONE, "backlog": 4000, "channel_lines_per_second": 4000.0}),
    "subsets": (60, 20, TABLES["subsets"]),
}
LIMITS = [(1, 10), (2, 10), (3, 4), (4, 10), (7, 10), (20, 10), (20, 2), (100, 30)]  # (messages, seconds)


def most_within(times, span):
    """The most of the times that lie within `span`, its end excluded."""
    return max((sum(start <= t < start + span for t in times) for start in times), default=0)


class LimitedDay:
    """A random day: backends are replaced, one or many at once, and come back; proxies join, leave and report."""

    def __init__(self, seed, fleet, limit, seconds, grace):
        backends, self.proxy_count, settings = FLEETS[fleet]
        self.draw, self.span = random.Random(f"{seed} {fleet} {limit} {seconds} {grace}"), seconds * SECOND
        spread = round((WINDOW_FACTOR - 1) * self.span) // 2
        self.coordinator = TimedCoordinator(
            backends,
            jitter=lambda: self.draw.randrange(spread),
            grace=grace * SECOND,
            message_limit=limit,
            message_limit_window=self.span,
            **settings,
        )
        self.states, self.next_backend, self.least = dict.fromkeys(range(backends), "running"), backends, backends // 2
        for p in range(self.proxy_count):
            self.coordinator.join(p, range(4), uses_initial_table=True)

    def running(self):
        return [b for b, state in self.states.items() if state == "running"]

    def step(self):
        coordinator, draw = self.coordinator, self.draw
        coordinator.run_until(coordinator.now + draw.choice([SECOND // 20, SECOND // 5, SECOND]))
        kind = draw.randrange(6)
        if kind == 0:
            self.replace_backends(draw.choice([1, 1, len(self.states) // 3]))
        elif kind == 1 and (away := [b for b, state in self.states.items() if state != "running"]):
            self.change(draw.sample(away, 1), "running", coordinator.now - draw.randrange(SECOND))
        elif kind == 2:
            p = draw.randrange(self.proxy_count)
            if p in coordinator.joined_at:
                coordinator.leave(p)
            else:
                coordinator.join(p, draw.sample(sorted(self.states), 3), draw.random() < 0.5)
        else:
            self.report()

    def change(self, backends, state, started=0):
        self.states.update(dict.fromkeys(backends, state))
        self.coordinator.list_states(dict.fromkeys(backends, state), started)

    def replace_backends(self, count):
        leaving = self.running()[: min(count, len(self.running()) - self.least)]
        self.change(leaving, self.draw.choice(["draining", "gone"]))
        for _ in leaving:
            self.change([self.next_backend], "running", self.coordinator.now)
            self.next_backend += 1

    def report(self):
        """Reports of demand and of answers that change from second to second, so that weights and levels change."""
        names, answer_time = self.coordinator.harness.names, self.draw.choice([0.1, 0.2, 0.9])
        attempts = [
            ("attempts_reported", names.index[f"s-{b}"], b % 2, 20, 0, round(answer_time * SECOND), SECOND, None)
            for b in self.draw.sample(self.running(), len(self.running()) // 2)
        ]
        demand = [
            ("demand_reported", p, route, self.draw.choice([5, 50]), SECOND)
            for p in self.coordinator.joined_at
            for route in range(2)
        ]
        self.coordinator.run_round(attempts + demand)

    def wrong_at_proxies(self):
        """(proxy, backend) where a proxy may send to a backend that does not run, or not to one that its table names
        and that runs."""
        return [
            (p, b)
            for p in self.coordinator.joined_at
            for b, state in self.states.items()
            if any(f"s-{b}" in table for table in self.coordinator.proxies[p].tables.values())
            and self.coordinator.holds(p, b) != (state == "running")
        ]


@pytest.mark.parametrize("limit, seconds", LIMITS)
@pytest.mark.parametrize("fleet", FLEETS)
def test_no_proxy_is_sent_more_messages_than_allowed_whatever_they_carry(fleet, limit, seconds):
    """Guards against messages that are written beyond the limit because what they carry cannot wait."""
    day = LimitedDay(1, fleet, limit, seconds, grace=3)
    for _ in range(90):
        day.step()
    arrivals = day.coordinator.arrivals
    assert max(most_within(times, day.span) for times in arrivals.values()) <= limit
    # What the limit has held back comes in the end.
    day.coordinator.run_until(day.coordinator.now + 6 * day.span + 30 * SECOND)
    assert max(most_within(times, day.span) for times in arrivals.values()) <= limit
    assert day.wrong_at_proxies() == []


@pytest.mark.parametrize("backends, routes", [(30, BOOTSTRAP.routes), (2, IN_ZONE)], ids=["many", "one in each zone"])
@pytest.mark.parametrize("limit, seconds, grace", [(20, 10, 3), (12, 10, 3), (8, 10, 4), (40, 10, 1), (5, 10, 8)])
def test_drains_are_within_the_grace_while_backends_are_replaced_without_a_pause(
    limit, seconds, grace, backends, routes
):
    """Guards against a limit that the first withdrawals use up, so that later ones wait for a whole window. With one
    backend in each zone, tables that would be empty are filled at once, beside the withdrawals."""
    coordinator = TimedCoordinator(
        backends,
        grace=grace * SECOND,
        cycle=4 * SECOND,
        message_limit=limit,
        message_limit_window=seconds * SECOND,
        backlog=9000,
        channel_lines_per_second=9000.0,
        routes=routes,
    )
    for p in range(6):
        coordinator.join(p, range(10), uses_initial_table=True)
    coordinator.run_until(coordinator.now + 30 * SECOND)
    told, worst = {}, 0
    for tenth in range(400 + 10 * grace + 10):
        step = tenth // 4
        if tenth % 4 == 0 and step < 100:
            coordinator.list_states({step: "draining"})
            told[step] = coordinator.now
            coordinator.list_states({backends + step: "running"}, coordinator.now - SECOND)
        coordinator.run_until(coordinator.now + SECOND // 10)
        held = [b for b in told if any(coordinator.holds(p, b) for p in coordinator.proxies)]
        worst = max([worst, *(coordinator.now - told[b] for b in held)])
    assert worst <= grace * SECOND + ALLOWANCE
    assert max(most_within(times, seconds * SECOND) for times in coordinator.arrivals.values()) <= limit


def test_a_proxy_that_was_told_of_withdrawals_is_bound_to_a_subset_once_the_limit_allows_it():
    """Guards against bindings beyond the limit: they are written in the order of joining, one message to each proxy."""
    coordinator = TimedCoordinator(
        80,
        grace=2 * SECOND,
        message_limit=1,
        message_limit_window=10 * SECOND,
        **{**TABLES["subsets"], "routes": tuple(replace(route, own_zone=True) for route in BOOTSTRAP.routes)},
    )
    coordinator.list_states(dict.fromkeys(range(1, 80, 2), "gone"))
    coordinator.run_until(coordinator.now + 12 * SECOND)
    coordinator.join(1, (1, 3, 5), uses_initial_table=True)
    coordinator.run_until(coordinator.now + 4 * SECOND)
    assert coordinator.planner.subset_count and coordinator.proxies[1].withdrawn
    coordinator.list_states(dict.fromkeys(range(81, 121, 2), "running"))
    coordinator.run_until(coordinator.now + 30 * SECOND)
    assert not coordinator.planner.users.waiting
    assert max(most_within(times, 10 * SECOND) for times in coordinator.arrivals.values()) == 1


@pytest.mark.parametrize(
    "limit, window, grace", [(1, 10, 3), (4, 10, 2), (5, 7, 4), (20, 10, 3), (30, 3, 1), (9, 2, 20)]
)
def test_a_message_is_allowed_as_soon_as_one_per_interval_could_follow_it_without_end(limit, window, grace):
    """The calculated time against a search that writes every message of the next windows."""
    rule = MessageLimit(limit, 20 * window, 20 * grace)  # in units of which none is small against the window
    draw = random.Random(limit)

    def could_follow(times, at):
        later = [at + k * rule.interval for k in range(2 * rule.window // rule.interval + 2)]
        return most_within([*times, *later], rule.window) <= limit

    for _ in range(20):
        proxy, now = Proxy(1, 0, 1.0, 0, True, False), 1000
        for _ in range(40):
            now += draw.choice([0, 1, 3, rule.interval // 2, rule.interval])
            times = list(proxy.message_times)
            assert rule.allows([proxy], now) == could_follow(times, now)
            if rule.allows([proxy], now):
                rule.record(proxy, now)
        assert len(proxy.message_times) <= limit


def test_without_a_limit_everything_is_allowed_and_nothing_is_kept():
    rule, proxy = MessageLimit(0, 10 * SECOND, 3 * SECOND), Proxy(1, 0, 1.0, 0, True, False)
    for now in range(50):
        assert rule.allows([proxy], now) and not rule.half_used([proxy], now)
        rule.record(proxy, now)
    assert proxy.message_times == []
