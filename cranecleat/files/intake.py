"""Turns the report files into events for the planner: joins, heartbeats, demand and attempts. No I/O.

A report holds sums since its writer's life began. Each interval therefore counts once, however often a file is read and
however many were replaced before they were read. After the coordinator has started, the first report of each writer
only sets the values from which to count.
"""

from cranecleat.files.format import UnusableFileError

MISSED_BEATS = 4  # beat intervals without a new report after which a writer counts as having left
MIN_SILENCE_US = 300_000  # lower limit of that time, however short the beat interval is
MAX_SILENCE_US = 10_000_000  # upper limit of that time, however long the beat interval is
MAX_COVERED_CYCLES = 120  # longest period, in cycles, that the sums of one event are said to cover
MAX_COUNT_PER_REPORT = 1e7  # new calls or tries in one report; MAX_COVERED_CYCLES can hold far fewer


class ReportWriter:
    """A proxy or a collector that writes reports.

    report: its last report.
    received_at: when that was read.
    base: the report whose sums the next events are counted from.
    counted_at: when `base` was read.
    """

    def __init__(self, report, now):
        self.report = self.base = report
        self.received_at = self.counted_at = now


class Intake:
    """Turns reports into events for the planner.

    zones, routes: name -> index.
    proxies: number of proxies in the configuration.
    backend_names: maps backends' names to indices, see `decoding.IndexMap`.
    cycle: length of the planner's cycle in microseconds; the events of one writer cover at least so much time.
    """

    def __init__(self, zones, routes, proxies, backend_names, cycle):
        self.zones, self.routes, self.proxies, self.backend_names = zones, routes, proxies, backend_names
        self.cycle = cycle
        self.writers = {}  # who -> ReportWriter; no more than the configuration has proxies and zones

    def proxy_of(self, who):
        """The proxy's number, or None for a collector. Raises `UnusableFileError` for a name that the configuration
        does not have."""
        kind, rest = who[:1], who[1:]
        if kind == "p" and rest.isascii() and rest.isdigit() and str(int(rest)) == rest and int(rest) < self.proxies:
            return int(rest)
        if kind == "z" and rest in self.zones:
            return None
        raise UnusableFileError(f"{who[:40]!r} is not a proxy or zone of the configuration")

    def process_report(self, now, report):
        """The planner's events for one report that was read. A report that is not newer than the last one of its
        writer yields none."""
        proxy = self.proxy_of(report.who)
        if report.zone not in self.zones or not 1 <= report.every <= 60_000:
            raise UnusableFileError(f"unknown zone {report.zone[:40]!r} or invalid beat interval of {report.every} ms")
        writer = self.writers.get(report.who)
        events = []
        if writer and (report.life, report.beat) <= (writer.report.life, writer.report.beat):
            return []
        if writer is None or report.life != writer.report.life:
            self.writers[report.who] = ReportWriter(report, now)
            if proxy is not None:
                if writer:
                    events.append(("proxy_left", proxy))
                events.append(
                    (
                        "proxy_joined",
                        proxy,
                        self.zones[report.zone],
                        report.typical_rate,
                        report.uses_initial_table,
                        0,
                    )
                )
            return events
        self.check_sums(writer.report, report)
        writer.report, writer.received_at = report, now
        covered = min(now - writer.counted_at, MAX_COVERED_CYCLES * self.cycle)
        if covered >= self.cycle:  # reports may come more often; their sums go into the events of a later report
            events = self.events_between(proxy, writer.base, report, covered)
            writer.base, writer.counted_at = report, now
        return events

    def check_sums(self, old, new):
        """Raises `UnusableFileError` where the sums of `new` cannot have grown from those of `old`, the report before
        it."""
        for route in new.calls:
            if route not in self.routes:
                raise UnusableFileError(f"{route[:40]!r} is not a route")
        if any(new.calls.get(route, 0) < calls for route, calls in old.calls.items()):
            raise UnusableFileError("sums of calls that decrease within a life")
        if any(calls - old.calls.get(route, 0) > MAX_COUNT_PER_REPORT for route, calls in new.calls.items()):
            raise UnusableFileError("too many calls in one report")
        for backend, (tries, unanswered, answer_time) in new.attempts.items():
            before = old.attempts.get(backend, (0, 0, 0))
            if (
                tries < before[0]
                or unanswered < before[1]
                or answer_time < before[2]
                or unanswered - before[1] > tries - before[0]
            ):
                raise UnusableFileError(f"sums of {backend[:40]!r} that decrease or are inconsistent within a life")
            if tries - before[0] > MAX_COUNT_PER_REPORT:
                raise UnusableFileError(f"{tries - before[0]} tries at {backend[:40]!r} in one report")

    def events_between(self, proxy, old, report, covered):
        """Events for the differences between the sums of two reports, which cover `covered` microseconds."""
        events = []
        if proxy is not None:
            for route, index in self.routes.items():
                calls = report.calls.get(route, 0) - old.calls.get(route, 0)
                events.append(("demand_reported", proxy, index, calls, covered))
        zone = self.zones[report.zone]
        for backend, (tries, unanswered, answer_time) in report.attempts.items():
            before = old.attempts.get(backend, (0, 0, 0))
            tries, unanswered, answer_time = tries - before[0], unanswered - before[1], answer_time - before[2]
            if tries and backend in self.backend_names.index:
                events.append(
                    (
                        "attempts_reported",
                        self.backend_names(backend),
                        zone,
                        tries,
                        unanswered,
                        answer_time * 1000 // max(tries - unanswered, 1),
                        covered,
                        report.load.get(backend),
                    )
                )
        return events

    def remove_silent_writers(self, now):
        """Forgets writers whose reports have stopped. Returns the planner's events for them, and their names."""
        ended = [who for who, writer in self.writers.items() if now - writer.received_at > self.allowed_silence(writer)]
        events = []
        for who in ended:
            del self.writers[who]
            proxy = self.proxy_of(who)
            if proxy is not None:
                events.append(("proxy_left", proxy))
        return events, ended

    @staticmethod
    def allowed_silence(writer):
        """Microseconds without a new report after which the writer has left."""
        return min(max(MISSED_BEATS * writer.report.every * 1000, MIN_SILENCE_US), MAX_SILENCE_US)
