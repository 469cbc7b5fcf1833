"""Recorded days: every event that a planner gets and every decision that it writes, as lines of text.

Two versions of the planner decide alike where these lines are the same. The tests keep checksums of the lines for each
second. Where a checksum differs, the lines of both versions show the first event or decision that differs:
`python -m cranecleat rehearse decisions NAME`.
"""

import zlib
from dataclasses import dataclass, field

from cranecleat.rehearsal.day import Day, Scenario
from cranecleat.rehearsal.world import SECOND

# What a backend can serve: the mean of cores times the mean speed, over the mean work of a call in seconds.
CALLS_PER_SECOND_PER_BACKEND = 3 * 0.95 / (0.7 * 0.10 + 0.3 * 0.15)


@dataclass(slots=True)
class Round:
    """One round of one coordinator."""

    at: int  # microseconds since the start of the day
    coordinator: int
    events: list[str]
    decisions: list[str] = field(default_factory=list)


class Recorder:
    """Records the rounds of one coordinator; stands between its planner and the planner's writer."""

    def __init__(self, rounds, coordinator):
        self._rounds, self._coordinator, self._writer = rounds, coordinator, None

    def wrap_writer(self, writer):
        """Returns the writer to give to the planner: each decision is recorded and passed on to `writer`."""
        self._writer = writer
        return self

    def begin_round(self, now, events):
        """Begins a round with these events."""
        self._rounds.append(Round(now, self._coordinator, [format_entry(*event) for event in events]))

    def __getattr__(self, method):
        write = getattr(self._writer, method)

        def record(*values, **named):
            self._rounds[-1].decisions.append(format_entry(method, *values, *named.values()))
            return write(*values, **named)

        return record


def format_entry(name, *values):
    """One event or decision as text; floats are written in full precision."""
    return f"{name} {' '.join(map(repr, values))}"


def play(scenario):
    """Runs a day and returns the rounds of all coordinators in the order of time."""
    rounds = []
    Day(scenario, make_recorder=lambda number: Recorder(rounds, number)).run()
    return rounds


def format_lines(rounds):
    """Yields every event and decision as a line."""
    for played_round in rounds:
        prefix = f"{played_round.at / SECOND:.6f} n{played_round.coordinator}"
        yield from (f"{prefix} <- {event}" for event in played_round.events)
        yield from (f"{prefix} -> {decision}" for decision in played_round.decisions)


def digests(rounds):
    """Yields a line for each second and coordinator: how many events and decisions, and a checksum of each in order."""
    sums = {}
    for played_round in rounds:
        totals = sums.setdefault((played_round.at // SECOND, played_round.coordinator), [0, 0, 0, 0])
        for place, entries in ((0, played_round.events), (2, played_round.decisions)):
            totals[place] += len(entries)
            totals[place + 1] = zlib.crc32("\n".join(entries).encode(), totals[place + 1])
    for (second, coordinator), (events, event_crc, decisions, decision_crc) in sorted(sums.items()):
        yield f"{second:3} n{coordinator}  calls {events:4} {event_crc:08x}  decisions {decisions:4} {decision_crc:08x}"


def small_fleet():
    """30 backends: a release, a quarter of the fleet dies and comes back cold, more calls than it can serve."""
    faults = []
    for step in range(3):
        at = (8 + 3 * step) * SECOND
        for b in (3 * step, 3 * step + 1):
            faults += [(at, "drain", b), (at + 2 * SECOND, "kill", b), (at + 4 * SECOND, "start", b)]
    faults += [(20 * SECOND, "kill", b) for b in range(20, 28)] + [(25 * SECOND, "start", b) for b in range(20, 28)]
    return Scenario(
        seed=30,
        coordinators=2,
        length=36 * SECOND,
        proxies=24,
        backends=30,
        calls_per_second=1.1 * 30 * CALLS_PER_SECOND_PER_BACKEND,
        report_lines_per_second=200,
        faults=faults,
    )


def parted_fleet():
    """120 backends in subsets: half of them are replaced in two steps, and one stops answering."""
    faults = [(12 * SECOND, "stop_answering", 100)]
    for step in range(2):
        at = (8 + 4 * step) * SECOND
        for b in range(30 * step, 30 * step + 30):
            faults += [(at, "drain", b), (at + SECOND, "kill", b), (at + 3 * SECOND, "start", b)]
    return Scenario(
        seed=120,
        coordinators=2,
        length=22 * SECOND,
        proxies=120,
        backends=120,
        calls_per_second=0.6 * 120 * CALLS_PER_SECOND_PER_BACKEND,
        report_lines_per_second=400,
        stated_proxies=1600,
        faults=faults,
    )


DAYS = {"small_fleet": small_fleet, "parted_fleet": parted_fleet}
