"""Reports that come back as files: joinings, signs of life, answers and sums, as calls of the planner. No I/O.

A report holds sums since its writer's life began, so each interval counts once, however often a file is read or how
many were replaced unread. After a start of ours the first report of each only says from where on to count.
"""

from cranecleat.files.format import UnusableFileError

MISSED, LEAST, MOST = 4, 300_000, 10_000_000  # beats without one, and the least and most time of it, until one has left
COVERED = 120  # cycles that the sums of one report may cover
SURGE = 1e7  # calls or tries in one report: far beyond what COVERED cycles can hold


class Party:
    """`at`: when its last new report was read; `base`: the one up to which sums have been counted, at `counted`."""

    def __init__(self, report, now):
        self.report = self.base = report
        self.at = self.counted = now


class Intake:
    """`zones` and `routes`: name -> index; `names`: backends' names and indices, as `decoding.Names` keeps them."""

    def __init__(self, zones, routes, proxies, names, cycle):
        self.zones, self.routes, self.proxies, self.names, self.cycle = zones, routes, proxies, names, cycle
        self.parties = {}  # who -> its last report; bounded by the configuration's proxies and zones

    def known(self, who):
        """The proxy's number, or None for a collector; raises for what the configuration does not have."""
        kind, rest = who[:1], who[1:]
        if kind == "p" and rest.isascii() and rest.isdigit() and str(int(rest)) == rest and int(rest) < self.proxies:
            return int(rest)
        if kind == "z" and rest in self.zones:
            return None
        raise UnusableFileError(f"{who[:40]!r} is no proxy and no zone of the configuration")

    def take(self, now, report):
        """Planner's calls for one report that was read. One that is older than the last one says nothing."""
        proxy = self.known(report.who)
        if report.zone not in self.zones or not 1 <= report.every <= 60_000:
            raise UnusableFileError(f"zone {report.zone[:40]!r} or beat of {report.every} ms that cannot be")
        party, calls = self.parties.get(report.who), []
        if party and (report.life, report.beat) <= (party.report.life, party.report.beat):
            return []
        if party is None or report.life != party.report.life:
            self.parties[report.who] = Party(report, now)
            if proxy is not None:
                if party:
                    calls.append(("proxy_left", proxy))
                calls.append(("proxy_joined", proxy, self.zones[report.zone], report.typical, report.standing, 0))
            return calls
        self.check(party.report, report)
        party.report, party.at = report, now
        covers = min(now - party.counted, COVERED * self.cycle)
        if covers >= self.cycle:  # signs of life come more often than sums are worth a call
            calls = self.sums(proxy, party.base, report, covers)
            party.base, party.counted = report, now
        return calls

    def check(self, old, new):
        for route in new.calls:
            if route not in self.routes:
                raise UnusableFileError(f"{route[:40]!r} is no route")
        if any(new.calls.get(route, 0) < calls for route, calls in old.calls.items()):
            raise UnusableFileError("sums of calls that go back within a life")
        if any(calls - old.calls.get(route, 0) > SURGE for route, calls in new.calls.items()):
            raise UnusableFileError("more calls in one report than can be")
        for backend, (tries, lost, took) in new.met.items():
            before = old.met.get(backend, (0, 0, 0))
            if tries < before[0] or lost < before[1] or took < before[2] or lost - before[1] > tries - before[0]:
                raise UnusableFileError(f"sums of {backend[:40]!r} that go back within a life")
            if tries - before[0] > SURGE:
                raise UnusableFileError(f"{tries - before[0]} tries at {backend[:40]!r} in one report")

    def sums(self, proxy, old, report, covers):
        calls = []
        if proxy is not None:
            for route, index in self.routes.items():
                came = report.calls.get(route, 0) - old.calls.get(route, 0)
                calls.append(("demand_reported", proxy, index, came, covers))
        zone = self.zones[report.zone]
        for backend, (tries, lost, took) in report.met.items():
            before = old.met.get(backend, (0, 0, 0))
            tries, lost, took = tries - before[0], lost - before[1], took - before[2]
            if tries and backend in self.names.index:
                calls.append(
                    (
                        "attempts_reported",
                        self.names(backend),
                        zone,
                        tries,
                        lost,
                        took * 1000 // max(tries - lost, 1),
                        covers,
                        report.load.get(backend),
                    )
                )
        return calls

    def silent(self, now):
        """Planner's calls for those that have not renewed their sign of life, and who they are."""
        ended = [who for who, party in self.parties.items() if now - party.at > self.patience(party)]
        calls = []
        for who in ended:
            del self.parties[who]
            proxy = self.known(who)
            if proxy is not None:
                calls.append(("proxy_left", proxy))
        return calls, ended

    @staticmethod
    def patience(party):
        return min(max(MISSED * party.report.every * 1000, LEAST), MOST)
