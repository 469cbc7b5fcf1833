"""Demand by route and zone, as sums that change with each join, leave and report.

Rates are kept as whole numbers of 2**-52 calls per second, so that sums are exact: a value that is added and later
subtracted leaves nothing behind, in any order and however often. A rate is off by at most 2**-53 calls per second.
"""

from bisect import bisect_right

UNIT = 2**52  # units in one call per second


class Demand:
    """Sums over proxies, which are kept in the order in which they joined, that is, by time.

    `routes` is the number of routes. A newcomer is a proxy that joined after the time given to `update_settled`; the
    others are settled. A proxy's typical rate is the rate that it states when it joins.
    """

    def __init__(self, routes):
        self.routes = range(routes)
        # By route: rates that were reported, typical rates of proxies that have reported nothing yet, and typical rates
        # of newcomers that have reported other routes only.
        self.reported, self.unreported, self.unreported_newcomers = [0] * routes, [0] * routes, [0] * routes
        self.total = 0  # rates of all proxies
        self.rate_by_zone = {}
        self.newcomers = 0  # rates of newcomers
        self.typical_by_zone = {}
        self.known = {}  # proxy -> [zone, typical rate, joined at, {route: rate}, is settled, its number in `order`]
        self.order = []  # (joined at, number, proxy) by time
        self.settled_count = 0  # so many of `order`, from its start, have settled
        self.join_count = 0

    # Changes by one proxy

    def rate_of(self, known):
        """The rate of one proxy: what it has reported, or its typical rate until then."""
        return sum(known[3].values()) if known[3] else known[1]

    def add_to_sums(self, proxy, known, sign):
        """Adds a proxy to all sums, or takes it away again with a `sign` of -1."""
        zone, typical, _, reported, is_settled, _ = known
        rate = sign * self.rate_of(known)
        self.total += rate
        self.newcomers += 0 if is_settled else rate
        self.typical_by_zone[zone] = self.typical_by_zone.get(zone, 0) + sign * typical
        self.rate_by_zone[zone] = self.rate_by_zone.get(zone, 0) + rate
        for route in self.routes:
            if route in reported:
                self.reported[route] += sign * reported[route]
            elif not reported:
                self.unreported[route] += sign * typical
            elif not is_settled:
                self.unreported_newcomers[route] += sign * typical

    def join(self, proxy, zone, typical_rate, joined_at):
        """Adds a proxy; returns its typical rate as it is counted."""
        self.leave(proxy)
        self.join_count += 1
        known = self.known[proxy] = [zone, round(typical_rate * UNIT), joined_at, {}, False, self.join_count]
        self.order.append((joined_at, self.join_count, proxy))
        if len(self.order) > 2 * len(self.known) + 64:  # entries of proxies that have left in the meantime
            self.prune()
        self.add_to_sums(proxy, known, 1)
        return known[1] / UNIT

    def leave(self, proxy):
        known = self.known.pop(proxy, None)
        if known:
            self.add_to_sums(proxy, known, -1)

    def prune(self):
        """Drops entries of proxies that have left or joined again, so that the joined proxies bound the memory."""
        current = [entry for entry in self.order if entry[2] in self.known and self.known[entry[2]][5] == entry[1]]
        last_settled = self.order[self.settled_count - 1] if self.settled_count else None
        self.order = current
        self.settled_count = bisect_right(current, last_settled) if last_settled else 0

    def report_rate(self, proxy, route, rate):
        """Sets the rate of a proxy's calls on a route from now on; returns it as it is counted."""
        known = self.known[proxy]
        self.add_to_sums(proxy, known, -1)
        known[3][route] = round(rate * UNIT)
        self.add_to_sums(proxy, known, 1)
        return known[3][route] / UNIT

    def update_settled(self, since):
        """Proxies that joined at `since` or before are settled.

        `since` may also go back, as it depends on the learned report interval.
        """
        settled_count = self.settled_count  # it seldom moves far
        while settled_count < len(self.order) and self.order[settled_count][0] <= since:
            settled_count += 1
        while settled_count and self.order[settled_count - 1][0] > since:
            settled_count -= 1
        if settled_count == self.settled_count:
            return
        moved = self.order[min(settled_count, self.settled_count) : max(settled_count, self.settled_count)]
        for _, number, proxy in moved:
            known = self.known.get(proxy)
            if known and known[5] == number:
                self.add_to_sums(proxy, known, -1)
                known[4] = settled_count > self.settled_count
                self.add_to_sums(proxy, known, 1)
        self.settled_count = settled_count

    # Results, in calls per second

    def by_route(self):
        """Two lists by route: rates that were reported, and typical rates that stand in for missing reports."""
        return (
            [reported / UNIT for reported in self.reported],
            [
                (unreported + newcomers) / UNIT
                for unreported, newcomers in zip(self.unreported, self.unreported_newcomers, strict=True)
            ],
        )

    def expected_rates(self):
        """By route: the reported rate, plus the unreported one, split by route as the reported rates are."""
        reported, unreported = self.by_route()
        total = sum(reported)
        return [
            rate + more * (rate / total if total else 1 / len(reported))
            for rate, more in zip(reported, unreported, strict=True)
        ]

    def total_rate(self):
        return self.total / UNIT

    def newcomer_rate(self):
        return self.newcomers / UNIT

    def zone_rate(self, zone):
        return self.rate_by_zone.get(zone, 0) / UNIT

    def active_zone_count(self):
        """How many zones have proxies with calls."""
        return sum(rate > 0 for rate in self.rate_by_zone.values())

    def typical_rate(self, zone=None):
        """The sum of the proxies' typical rates, in one zone or in all."""
        return (sum(self.typical_by_zone.values()) if zone is None else self.typical_by_zone.get(zone, 0)) / UNIT


def equal_limit(rates, total):
    """The limit that, applied equally to each of these rates, admits `total`.

    If all rates fit into `total`, it is the largest rate.
    """
    remaining, limit = min(total, sum(rates)), 0.0
    for place, rate in enumerate(sorted(rates)):
        limit = remaining / (len(rates) - place)
        if rate >= limit:
            break
        remaining -= rate
    return limit
