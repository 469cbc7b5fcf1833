"""Sections at size: a start, all proxies joining at once, and the whole fleet replaced in seven seconds, through a
channel of a stated pace.

    python -m benchmarks.sections [--quick] [--json]

One coordinator, planner and `Streams` alone; a message takes what the planner counted for it and is acknowledged once
the channel has sent it. `--quick` leaves the size of 2,048 backends out. CPU is of this machine. Exit code 1 where an
aim is missed: the channel's limit kept, everybody bound, less CPU than time.
"""

import json
import sys
import time
from collections import deque

from benchmarks.rounds import ROOT, SECOND, Fleet, version
from cranecleat.interface import Bootstrap, Route

SIZES = ((200, 1536, 5), (1024, 1600, 256), (1024, 1600, 5), (2048, 1600, 5))  # backends, proxies, coordinators
STEPS, JOINING, REPLACED = 20, 15, 15  # rounds a second; seconds
PACE, BACKLOG, GRACE, COLD, INTAKE = 5000.0, 50_600, 10_800_000, 17_000_000, 120.0


class Paced(Fleet):
    """`Fleet`, whose messages leave at the channel's pace."""

    def __init__(self, backends, proxies, coordinators):
        super().__init__(version(ROOT), backends, proxies)
        routes = tuple(Route(worth, SECOND, False, None, None) for worth in (3.0, 2.0, 1.0))
        boot = Bootstrap(
            routes=routes,
            zones=3,
            coordinators=coordinators,
            must_watch=False,
            watch_timeout=10 * SECOND,
            admission="fraction",
            cycle=SECOND,
            backlog=BACKLOG,
            channel_lines_per_second=PACE,
            message_overhead=10.0,
            message_limit=0,
            message_limit_window=10 * SECOND,
            grace=GRACE,
            warm_up_time=COLD,
            cold_start_capacity=0.21,
            proxies=proxies,
            report_lines_per_second=INTAKE,
        )
        self.planner = type(self.planner)(boot, 7)
        self.sending, self.credit, self.peak = deque(), 0.0, 0.0

    def play(self, *calls, after=0.0):
        self.credit = min(self.credit + PACE * after, PACE) if self.sending else 0.0
        sent = []
        while self.sending and self.sending[0][1] <= self.credit:
            p, lines, mark = self.sending.popleft()
            self.credit -= lines
            sent.append(("acknowledged", p, mark))
        super().play(*sent, *calls, after=after)
        self.acks, channel = [], self.planner.channel
        if (
            channel.unacknowledged
            and channel.unacknowledged[-1][0] == self.planner.ack_number
            and self.messages > getattr(self, "seen", 0)
        ):
            self.sending += [(p, lines, self.planner.ack_number) for p, lines in channel.unacknowledged[-1][1].items()]
        self.seen = self.messages
        self.peak = max(self.peak, sum(lines for _, lines, _ in self.sending))

    def listed(self, *entries, how="changes"):
        self.cores.update((b, 2) for b, _ in entries if b not in self.cores)
        call = super().listed(*entries, how=how)
        self.streams.backends_listed(how, call[2])
        return call

    def seconds(self, count):
        for _ in range(count * STEPS):
            self.play(after=1 / STEPS)


def measure(backends, proxies, coordinators):
    fleet, row = Paced(backends, proxies, coordinators), {"backends": backends, "proxies": proxies, "of": coordinators}

    def phase(name, act):
        fleet.times.clear()
        begun = time.process_time()
        act()
        row[name] = {"cpu": round(time.process_time() - begun, 2), "longest": round(max(fleet.times), 3)}

    def start():
        fleet.play(fleet.listed(*((b, "running") for b in fleet.backends), how="held"))
        fleet.seconds(1)

    def join():
        fleet.play(*(fleet.join(p) for p in fleet.proxies))
        fleet.seconds(JOINING)

    def replace():
        old = list(fleet.backends)
        for second in range(7):
            going = old[second * len(old) // 7 : (second + 1) * len(old) // 7]
            fresh = [fleet.names(f"n-{b}") for b in going]
            fleet.play(fleet.listed(*((b, "running") for b in fresh), *((b, "draining") for b in going)))
            fleet.seconds(1)
        fleet.seconds(REPLACED - 7)

    phase("start", start)
    phase("join", join)
    row["sections"], row["unbound"] = fleet.planner.subset_count, len(fleet.planner.users.waiting)
    phase("replace", replace)
    row["peak"] = round(fleet.peak)
    return row


def main():
    rows = [measure(*size) for size in SIZES[: -1 if "--quick" in sys.argv else None]]
    missed = [row for row in rows if row["peak"] > BACKLOG or row["unbound"] or row["replace"]["cpu"] > REPLACED]
    if "--json" in sys.argv:
        print(json.dumps({"rows": rows, "missed": len(missed)}))
    else:
        for row in rows:
            print(
                "{backends} backends, {proxies} proxies, one of {of}: sections {sections}, unbound {unbound}".format(
                    **row
                )
            )
            for name in ("start", "join", "replace"):
                print(f"    {name}: CPU {row[name]['cpu']} s, longest round {row[name]['longest'] * 1000:.0f} ms")
            print(f"    most in the channel {row['peak']} of {BACKLOG}")
        print(f"aims missed: {len(missed)}")
    sys.exit(bool(missed))


if __name__ == "__main__":
    main()
