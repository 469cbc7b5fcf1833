"""Proxies that move between coordinators with what they hold as withdrawn, and coordinators that start again.

Coordinators learn of the list late, each at its own time, and may see a backend that left and returned as restarted
only, or as new. A proxy keeps withdrawals until it is told to use the backend again, whoever told it.
"""

import random
from dataclasses import replace

import pytest

from cranecleat.policy import Planner
from planner_harness import BOOTSTRAP, SECOND, StreamsHarness, message_cost
from test_stream_messages import SimulatedProxy

QUIET_ROUNDS = 60  # rounds of a second in which nothing happens any more
IN_ZONE = (BOOTSTRAP.routes[0], replace(BOOTSTRAP.routes[1], own_zone=True))
DIVIDED = {"proxies": 200, "channel_lines_per_second": 1500.0, "backlog": 6000, "warm_up_time": 7 * SECOND}
FLEETS = {  # name -> (backends, proxies, settings)
    "full tables": (12, 10, {}),
    "full tables, a route in its zone": (12, 10, {"routes": IN_ZONE}),
    "subsets": (80, 60, DIVIDED),
    "subsets, a route in its zone": (80, 60, {**DIVIDED, "routes": IN_ZONE}),
}


class Instance:
    """One run of a coordinator, which starts with a list as it was at some time."""

    def __init__(self, bootstrap, known):
        self.bootstrap = bootstrap
        self.harness, self.planner = StreamsHarness(0), Planner(bootstrap, 7)
        self.known, self.events = dict(known), []
        self.add_list("held", known)

    def add_list(self, scope, entries):
        indexed = [
            (self.harness.names(f"s-{b}"), state, b % 2, 0, 1.0, started) for b, (state, started) in entries.items()
        ]
        self.events += self.harness.list_backends(scope, indexed)

    def learn(self, backends, as_whole):
        """Is told the list as it is now, whole or as changes."""
        if as_whole:
            self.add_list("whole", backends)
        else:
            changes = {b: entry for b, entry in backends.items() if self.known.get(b) != entry}
            changes.update((b, ("gone", 0)) for b in self.known.keys() - backends.keys())
            if changes:
                self.add_list("changes", changes)
        self.known = dict(backends)

    def run_round(self, now, proxies):
        """Runs a round; the proxies apply what they are sent at once, and acknowledge it in the next round."""
        events, self.events = self.events, []
        self.planner.round(now, events, self.harness.streams)
        ack_number, unacknowledged = self.harness.streams.ack_number, self.planner.channel.unacknowledged
        counted = unacknowledged[-1][1] if unacknowledged and unacknowledged[-1][0] == ack_number else {}
        for p, message in self.harness.flush().items():
            assert message_cost(message, self.bootstrap.message_overhead) <= counted.get(p, 0), message
            proxies[p].apply(message)
            self.events.append(("acknowledged", p, ack_number))

    def join(self, p, proxy):
        self.events.append(self.harness.join_event(p, p % 2, 5.0, not any(proxy.tables.values())))

    def leave(self, p):
        self.harness.streams.leave(p, self.harness.streams.joined[p].connection)
        self.events.append(("proxy_left", p))


class Deployment:
    """Two coordinators, their proxies, and the list as discovery has it."""

    def __init__(self, seed, backend_count, proxy_count, **settings):
        self.draw, self.now = random.Random(seed), 100 * SECOND
        self.bootstrap = replace(BOOTSTRAP, **{"coordinators": 2, **settings})
        self.backends = {b: ("running", 0) for b in range(backend_count)}  # backend -> (state, start time)
        self.away, self.next_backend, self.least_backends = [], backend_count, 3 * backend_count // 4
        self.history = [dict(self.backends)]
        self.instances = [Instance(self.bootstrap, self.backends) for _ in range(2)]
        self.proxies, self.joined = {p: SimulatedProxy() for p in range(proxy_count)}, {}  # proxy -> instance number
        for p in self.proxies:
            self.move(p)

    def move(self, p):
        """Ends the proxy's stream; it joins either coordinator, with what it holds, or as a new process if that is no
        table from a coordinator."""
        if p in self.joined:
            self.instances[self.joined[p]].leave(p)
        if not any(self.proxies[p].tables.values()):
            self.proxies[p] = SimulatedProxy()
        self.joined[p] = self.draw.randrange(2)
        self.instances[self.joined[p]].join(p, self.proxies[p])

    def change_backends(self):
        """One or several backends die or drain, come back under their names, or are replaced."""
        count = self.draw.choice([1, 1, 2, len(self.backends) // 4])
        for b in self.draw.sample(sorted(self.backends), min(count, len(self.backends) - self.least_backends)):
            state, started = self.backends[b]
            if state == "running" and self.draw.random() < 0.5:
                self.backends[b] = "draining", started
            else:
                del self.backends[b]
                self.away.append(b)
        for _ in range(self.draw.randrange(1 + count)):
            if self.away and self.draw.random() < 0.7:
                b = self.away.pop(self.draw.randrange(len(self.away)))
            else:
                b, self.next_backend = self.next_backend, self.next_backend + 1
            self.backends[b] = "running", self.now

    def restart(self, number):
        """The coordinator starts again with a list that may be old; its proxies join one of the two."""
        known = self.history[max(0, len(self.history) - 1 - self.draw.choice([0, 0, 1, 10, 40]))]
        self.instances[number] = Instance(self.bootstrap, known)
        for p in [p for p, joined in self.joined.items() if joined == number]:
            del self.joined[p]
            self.move(p)

    def step(self):
        self.now += self.draw.choice([SECOND // 4, SECOND, SECOND])
        if self.draw.random() < 0.3:
            self.change_backends()
        self.history.append(dict(self.backends))
        for p in self.draw.sample(sorted(self.proxies), self.draw.choice([0, 0, 1, 3])):
            self.move(p)
        for number in range(2):
            if self.draw.random() < 0.02:
                self.restart(number)
            if self.draw.random() < 0.4:
                self.instances[number].learn(self.backends, as_whole=self.draw.random() < 0.3)
        self.run_rounds()

    def run_rounds(self):
        for instance in self.instances:
            instance.run_round(self.now, self.proxies)

    def settle(self):
        for instance in self.instances:
            instance.learn(self.backends, as_whole=False)
        for _ in range(QUIET_ROUNDS):
            self.now += SECOND
            self.run_rounds()

    def wrongly_held(self):
        """(proxy, backend) of each running backend that a proxy's tables name and that it holds as withdrawn."""
        running = {f"s-{b}" for b, (state, _) in self.backends.items() if state == "running"}
        return {
            (p, name)
            for p, proxy in self.proxies.items()
            for weights in proxy.tables.values()
            for name in weights.keys() & proxy.withdrawn & running
        }


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("fleet", FLEETS)
def test_no_proxy_shuts_out_a_running_backend_for_good_in_any_sequence_of_restarts(fleet, seed):
    """Guards against withdrawals that outlast streams, runs and coordinators, and against lines that go uncounted."""
    backend_count, proxy_count, settings = FLEETS[fleet]
    deployment = Deployment(seed, backend_count, proxy_count, **settings)
    for _ in range(120):
        deployment.step()
    deployment.settle()
    for instance in deployment.instances:
        assert bool(instance.planner.subset_count) == ("subsets" in fleet) and not instance.planner.users.waiting
    assert deployment.wrongly_held() == set()
