"""Checks the project's five rules throughout a simulated day.

It looks at what the simulated proxies and backends did, not at what the coordinators believe.
"""

from cranecleat.rehearsal.world import SECOND

MAX_US_WITHOUT_BACKEND = 1 * SECOND  # how long a joined proxy may have no backend to pick (rule 1)
CHECK_INTERVAL_US = SECOND // 10


class Audit:
    """Collects violations of the rules."""

    def __init__(self, scenario, day):
        self.scenario, self.day = scenario, day
        self.without_backend_since = {}  # (proxy, route) -> time
        self.draining_since = {}  # (coordinator's name, backend) -> when it was listed there as draining or gone
        self.violations = {}  # rule -> (text of the first violation, count)

    def record_violation(self, rule, text):
        """Keeps the first violation of each rule with its time, and counts the rest."""
        first, count = self.violations.get(rule, (f"at {self.day.simulation.now / SECOND:.2f} s {text}", 0))
        self.violations[rule] = first, count + 1

    def broken_rules(self):
        return [f"rule {rule}: {text} (x{count})" for rule, (text, count) in sorted(self.violations.items())]

    def check_periodically(self):
        """Checks rule 1 (no joined proxy without a backend to pick, where one is ready) and rule 4 (no cold backend
        pushed over)."""
        now = self.day.simulation.now
        ready = {
            b.index
            for b in self.day.fleet
            if b.state == b.listed_state == "running" and not b.crashed and b.warmth() >= 1.0
        }
        for proxy in self.day.proxies if ready else ():
            for route in range(len(self.scenario.routes)):
                key = proxy.number, route
                if any(b not in proxy.withdrawn and self.day.fleet[b].is_up() for b in proxy.weights(route)):
                    self.without_backend_since.pop(key, None)
                elif now - self.without_backend_since.setdefault(key, now) > MAX_US_WITHOUT_BACKEND:
                    self.record_violation(1, f"proxy {proxy.number} has no backend for route {route}")
        for backend in self.day.fleet:
            if backend.crashed:
                self.record_violation(4, f"backend {backend.index} was pushed over while cold")
        self.day.simulation.call_after(CHECK_INTERVAL_US, self.check_periodically)

    def call_executed(self, call, mutating):
        """Checks rule 2 (no effect twice) after a backend has run a try of the call."""
        if mutating and call.executions > 1:
            self.record_violation(2, f"a call of route {call.route} took effect twice")

    def state_listed(self, coordinator, b, state):
        """Records that a coordinator learned of the state of backend `b`, an index. `coordinator` is its name."""
        if state == "running":
            self.draining_since.pop((coordinator, b), None)
        else:
            self.draining_since.setdefault((coordinator, b), self.day.simulation.now)

    def try_sent(self, proxy, b):
        """Checks rule 3 (drains within the grace) as a proxy sends a try to backend `b`, an index."""
        since = self.draining_since.get((proxy.coordinator.name, b)) if proxy.coordinator else None
        if since is not None and self.day.simulation.now - since > self.scenario.grace:
            coordinator = proxy.coordinator.name
            self.record_violation(
                3, f"proxy {proxy.number} sends to backend {b}, which is draining or gone at {coordinator}"
            )

    def check_channel(self, channel, name):
        """Checks rule 5: the channel's queue stays short."""
        if channel.queued_lines > channel.backlog:
            self.record_violation(
                5, f"{channel.queued_lines:.0f} lines wait in the channel of {name}; the limit is {channel.backlog}"
            )
