"""Measures subsets of large fleets: the start, all proxies joining at once, and the whole fleet replaced within seven
seconds, through a channel of a limited rate.

    python -m benchmarks.sections [--quick] [--json]

One coordinator: the planner and `Streams` alone. A message occupies the channel for the lines that the planner counted
for it, and is acknowledged once the channel has sent it. `--quick` leaves out the size of 2,048 backends. CPU time
depends on the machine. The exit code is 1 where a target is missed: the channel's limit kept, all proxies bound, less
CPU time than simulated time.
"""

import json
import sys
import time
from collections import deque

from benchmarks.rounds import ROOT, SECOND, Fleet, load_version
from cranecleat.interface import Bootstrap, Route

SIZES = ((200, 1536, 5), (1024, 1600, 256), (1024, 1600, 5), (2048, 1600, 5))  # backends, proxies, coordinators
ROUNDS_PER_SECOND = 20
JOIN_SECONDS = 15
REPLACE_SECONDS = 15
CHANNEL_LINES_PER_SECOND = 5000.0
BACKLOG_LINES = 50_600
GRACE_US = 10_800_000
WARM_UP_US = 17_000_000
REPORT_LINES_PER_SECOND = 120.0


class RateLimitedFleet(Fleet):
    """A `Fleet` whose messages leave at the channel's rate."""

    def __init__(self, backends, proxies, coordinators):
        super().__init__(load_version(ROOT), backends, proxies)
        routes = tuple(Route(importance, SECOND, False, None, None) for importance in (3.0, 2.0, 1.0))
        bootstrap = Bootstrap(
            routes=routes,
            zones=3,
            coordinators=coordinators,
            must_watch=False,
            watch_timeout=10 * SECOND,
            admission="fraction",
            cycle=SECOND,
            backlog=BACKLOG_LINES,
            channel_lines_per_second=CHANNEL_LINES_PER_SECOND,
            message_overhead=10.0,
            message_limit=0,
            message_limit_window=10 * SECOND,
            grace=GRACE_US,
            warm_up_time=WARM_UP_US,
            cold_start_capacity=0.21,
            proxies=proxies,
            report_lines_per_second=REPORT_LINES_PER_SECOND,
        )
        self.planner = type(self.planner)(bootstrap, 7)
        self.sending = deque()  # (proxy, lines, acknowledgement's number) of the messages that wait
        self.credit = 0.0  # lines that the channel may send now
        self.max_queued_lines = 0.0

    def play_round(self, *events, after=0.0):
        self.credit = (
            min(self.credit + CHANNEL_LINES_PER_SECOND * after, CHANNEL_LINES_PER_SECOND) if self.sending else 0.0
        )
        acknowledgements = []
        while self.sending and self.sending[0][1] <= self.credit:
            p, lines, ack_number = self.sending.popleft()
            self.credit -= lines
            acknowledgements.append(("acknowledged", p, ack_number))
        super().play_round(*acknowledgements, *events, after=after)
        self.acknowledgements, channel = [], self.planner.channel
        if (
            channel.unacknowledged
            and channel.unacknowledged[-1][0] == self.planner.ack_number
            and self.message_count > getattr(self, "messages_seen", 0)
        ):
            self.sending += [(p, lines, self.planner.ack_number) for p, lines in channel.unacknowledged[-1][1].items()]
        self.messages_seen = self.message_count
        self.max_queued_lines = max(self.max_queued_lines, sum(lines for _, lines, _ in self.sending))

    def list_backends(self, *entries, scope="changes"):
        self.cores.update((b, 2) for b, _ in entries if b not in self.cores)
        event = super().list_backends(*entries, scope=scope)
        self.streams.backends_listed(scope, event[2])
        return event

    def run_seconds(self, count):
        for _ in range(count * ROUNDS_PER_SECOND):
            self.play_round(after=1 / ROUNDS_PER_SECOND)


def measure(backends, proxies, coordinators):
    fleet = RateLimitedFleet(backends, proxies, coordinators)
    row = {"backends": backends, "proxies": proxies, "of": coordinators}

    def measure_phase(name, run):
        fleet.round_times.clear()
        begun = time.process_time()
        run()
        row[name] = {"cpu": round(time.process_time() - begun, 2), "longest": round(max(fleet.round_times), 3)}

    def start():
        fleet.play_round(fleet.list_backends(*((b, "running") for b in fleet.backends), scope="held"))
        fleet.run_seconds(1)

    def join():
        fleet.play_round(*(fleet.join(p) for p in fleet.proxies))
        fleet.run_seconds(JOIN_SECONDS)

    def replace():
        old = list(fleet.backends)
        for second in range(7):
            replaced = old[second * len(old) // 7 : (second + 1) * len(old) // 7]
            new = [fleet.names(f"n-{b}") for b in replaced]
            fleet.play_round(fleet.list_backends(*((b, "running") for b in new), *((b, "draining") for b in replaced)))
            fleet.run_seconds(1)
        fleet.run_seconds(REPLACE_SECONDS - 7)

    measure_phase("start", start)
    measure_phase("join", join)
    row["sections"], row["unbound"] = fleet.planner.subset_count, len(fleet.planner.users.waiting)
    measure_phase("replace", replace)
    row["peak"] = round(fleet.max_queued_lines)
    return row


def main():
    rows = [measure(*size) for size in SIZES[: -1 if "--quick" in sys.argv else None]]
    missed = [
        row for row in rows if row["peak"] > BACKLOG_LINES or row["unbound"] or row["replace"]["cpu"] > REPLACE_SECONDS
    ]
    if "--json" in sys.argv:
        print(json.dumps({"rows": rows, "missed": len(missed)}))
    else:
        for row in rows:
            print(
                "{backends} backends, {proxies} proxies, one of {of}: {sections} subsets, {unbound} unbound".format(
                    **row
                )
            )
            for name in ("start", "join", "replace"):
                print(f"    {name}: CPU {row[name]['cpu']} s, longest round {row[name]['longest'] * 1000:.0f} ms")
            print(f"    most lines in the channel: {row['peak']} of {BACKLOG_LINES}")
        print(f"targets missed: {len(missed)}")
    sys.exit(bool(missed))


if __name__ == "__main__":
    main()
