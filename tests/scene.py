"""A small stage for the planner: what it is told, and a readable trace of what it writes.

To accept a new trace after reading it, run pytest with ACCEPT_TRACES=1 and look at the diff in git.
"""

import os
from dataclasses import replace
from pathlib import Path

from cranecleat.interface import Bootstrap, Route
from cranecleat.policy import Planner

SECOND = 1_000_000
ROUTES = (Route(3.0, SECOND, False, None, None), Route(1.0, SECOND, False, None, None))
BOOT = Bootstrap(routes=ROUTES, zones=2, coordinators=1, must_ask=False, ask_within=10 * SECOND,
                 admission="fraction", cycle=SECOND, backlog=1000, pace=1000.0, head=10.0, messages_most=0,
                 messages_over=10 * SECOND, grace=2 * SECOND, cold=20 * SECOND, cold_from=0.2)


class Scene:
    """Plays rounds and keeps the trace; `verbs` limits it to some kinds of decision."""

    def __init__(self, verbs=None, seed=7, acknowledge=True, **figures):
        self.planner = Planner(replace(BOOT, **figures), seed)
        self.verbs, self.acknowledge, self.text, self.now = verbs, acknowledge, [], 100 * SECOND
        self.marks = []

    def __getattr__(self, verb):
        def write(*values):
            if verb == "mark":
                self.marks.append(values[0])
            if self.verbs is None or verb in self.verbs:
                shown = (f"{v:.3g}" if isinstance(v, float) else str(v) for v in values)
                self.text.append(f"{(self.now - 100 * SECOND) / SECOND:6.2f}  {verb} {' '.join(shown)}")
        return write

    def say(self, text):
        self.text.append(f"        # {text}")

    def tell(self, *calls, after=0.0):
        """One round, `after` seconds later; orders are acknowledged in the next one."""
        self.now += round(after * SECOND)
        acks = []
        if self.acknowledge:
            acks = [("applied", p, mark) for mark in self.marks for p in list(self.planner.proxies)]
            self.marks.clear()
        self.planner.round(self.now, [*acks, *calls], self)

    def list(self, *entries, how="whole", after=0.0):
        """Entries are (backend, state, seconds since its start or None), one machine kind, zone 0."""
        self.tell(("listed", how, [(b, state, 0, 0, 1.0, 0 if age is None else self.now - round(age * SECOND))
                                   for b, state, age in entries]), after=after)

    def join(self, *proxies, typical=20.0, after=0.0):
        self.tell(*(("joined", p, 0, typical, True) for p in proxies), after=after)

    def second(self, backends, calls=40, took=0.1, dropped=0, load=None, came=(10, 10)):
        """A second goes by: each backend met its share of `calls`; each proxy met `came` by route."""
        each = calls // max(len(backends), 1)
        met = [("met", b, 0, each, min(dropped, each), round(took * SECOND), SECOND, load) for b in backends]
        usage = [("came", p, r, n, SECOND) for p in self.planner.proxies for r, n in enumerate(came)]
        self.tell(*met, *usage, after=1.0)


def same(name, scene_or_lines):
    """Compares with the trace kept under tests/traces."""
    lines = getattr(scene_or_lines, "text", scene_or_lines)
    text, path = "\n".join(lines) + "\n", Path(__file__).parent / "traces" / f"{name}.txt"
    if os.environ.get("ACCEPT_TRACES"):
        path.write_text(text)
    assert text == path.read_text()
