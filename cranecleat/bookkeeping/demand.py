"""Demand by route and zone, as sums that change with each join, leave and report.

Rates are kept as whole numbers of 2**-52 calls per second (see `UNIT`), so that sums are exact: a value that is added
and later subtracted leaves nothing behind, in any order and however often. A rate is off by at most 2**-53 calls per
second.
"""

from bisect import bisect_right

UNIT = 2**52  # units in one call per second


class Demand:
    """Sums over proxies, which are kept in the order in which they joined, that is, by time.

    `routes` is the number of routes. A newcomer is a proxy that joined after the time given to `update_settled`; the
    others are settled. A proxy's typical rate is the rate that it states when it joins. It stands in for reports that
    are missing: on every route while the proxy has reported nothing, later, while it is a newcomer, on the routes that
    it has not reported. A settled proxy that has reported some routes counts as 0 on the others.
    """

    def __init__(self, routes):
        self.routes = range(routes)
        # Sums by route. A proxy is in the last two with its full typical rate on each route, so that they do not add up
        # to a rate of the fleet.
        self.reported = [0] * routes  # rates that were reported
        self.unreported = [0] * routes  # typical rates of proxies that have reported nothing yet
        self.partly_reported_newcomers = [0] * routes  # typical rates of newcomers that have reported other routes only
        self.total = 0  # rates of all proxies
        self.rate_by_zone = {}
        self.newcomer_total = 0  # rates of newcomers, which are in `total` as well
        self.typical_by_zone = {}  # zone -> sum of typical rates
        # proxy id -> [zone, typical rate, joined at, {route: reported rate}, is settled, its number in `order`]
        self.proxies = {}
        self.order = []  # (joined at, number, proxy id) by time
        self.settled_count = 0  # so many of `order`, from its start, have settled
        self.join_count = 0  # gives the numbers in `order`

    # Changes by one proxy

    def rate_of(self, record):
        """The rate of one proxy by its entry in `proxies`: what it has reported, or its typical rate until then."""
        _, typical, _, reported, _, _ = record
        return sum(reported.values()) if reported else typical

    def add_to_sums(self, proxy_id, record, sign):
        """Adds a proxy with its entry in `proxies` to all sums, or takes it away again with a `sign` of -1."""
        zone, typical, _, reported, is_settled, _ = record
        rate = sign * self.rate_of(record)
        self.total += rate
        self.newcomer_total += 0 if is_settled else rate
        self.typical_by_zone[zone] = self.typical_by_zone.get(zone, 0) + sign * typical
        self.rate_by_zone[zone] = self.rate_by_zone.get(zone, 0) + rate
        for route in self.routes:
            if route in reported:
                self.reported[route] += sign * reported[route]
            elif not reported:
                self.unreported[route] += sign * typical
            elif not is_settled:
                self.partly_reported_newcomers[route] += sign * typical

    def join(self, proxy_id, zone, typical_rate, joined_at):
        """Adds a proxy; returns its typical rate as it is counted."""
        self.leave(proxy_id)
        self.join_count += 1
        typical = round(typical_rate * UNIT)
        record = self.proxies[proxy_id] = [zone, typical, joined_at, {}, False, self.join_count]
        self.order.append((joined_at, self.join_count, proxy_id))
        if len(self.order) > 2 * len(self.proxies) + 64:  # many are entries of proxies that have left in the meantime
            self.prune()
        self.add_to_sums(proxy_id, record, 1)
        return typical / UNIT

    def leave(self, proxy_id):
        """Removes a proxy, if it is there."""
        record = self.proxies.pop(proxy_id, None)
        if record:
            self.add_to_sums(proxy_id, record, -1)

    def prune(self):
        """Drops entries of proxies that have left or joined again, so that the joined proxies bound the memory."""
        # An entry is current if its number is that of its proxy's latest join.
        current = [entry for entry in self.order if entry[2] in self.proxies and self.proxies[entry[2]][5] == entry[1]]
        last_settled = self.order[self.settled_count - 1] if self.settled_count else None
        self.order = current
        self.settled_count = bisect_right(current, last_settled) if last_settled else 0

    def report_rate(self, proxy_id, route, rate):
        """Sets the rate of a proxy's calls on a route from now on; returns it as it is counted."""
        record = self.proxies[proxy_id]
        _, _, _, reported, _, _ = record
        self.add_to_sums(proxy_id, record, -1)
        reported[route] = round(rate * UNIT)
        self.add_to_sums(proxy_id, record, 1)
        return reported[route] / UNIT

    def update_settled(self, since):
        """Proxies that joined at `since` or before are settled.

        `since` may also go back, as it depends on the learned report interval. Settled proxies then become newcomers
        again.
        """
        settled_count = self.settled_count  # searched from the present one, as it seldom moves far
        while settled_count < len(self.order) and self.order[settled_count][0] <= since:
            settled_count += 1
        while settled_count and self.order[settled_count - 1][0] > since:
            settled_count -= 1
        if settled_count == self.settled_count:
            return
        moved = self.order[min(settled_count, self.settled_count) : max(settled_count, self.settled_count)]
        for _, number, proxy_id in moved:
            record = self.proxies.get(proxy_id)
            if record and record[5] == number:  # else the proxy has left, or has joined again
                self.add_to_sums(proxy_id, record, -1)
                record[4] = settled_count > self.settled_count  # is settled
                self.add_to_sums(proxy_id, record, 1)
        self.settled_count = settled_count

    # Results, in calls per second

    def by_route(self):
        """Two lists by route: rates that were reported, and typical rates that stand in for missing reports.

        A proxy without a report is in the second list with its full typical rate on each route.
        """
        return (
            [reported / UNIT for reported in self.reported],
            [
                (nothing_reported + partly_reported) / UNIT
                for nothing_reported, partly_reported in zip(
                    self.unreported, self.partly_reported_newcomers, strict=True
                )
            ],
        )

    def expected_rates(self):
        """By route: the reported rate, plus the route's unreported rate times its share of all reported rates.

        Without any reports the routes have equal shares.
        """
        reported, unreported = self.by_route()
        total = sum(reported)
        return [
            reported_rate + unreported_rate * (reported_rate / total if total else 1 / len(reported))
            for reported_rate, unreported_rate in zip(reported, unreported, strict=True)
        ]

    def total_rate(self):
        """The rate of all proxies, newcomers included."""
        return self.total / UNIT

    def newcomer_rate(self):
        """The rate of the newcomers."""
        return self.newcomer_total / UNIT

    def zone_rate(self, zone):
        """The rate of all proxies of a zone."""
        return self.rate_by_zone.get(zone, 0) / UNIT

    def active_zone_count(self):
        """How many zones have proxies with calls."""
        return sum(rate > 0 for rate in self.rate_by_zone.values())

    def typical_rate(self, zone=None):
        """The sum of the proxies' typical rates, in one zone or in all."""
        return (sum(self.typical_by_zone.values()) if zone is None else self.typical_by_zone.get(zone, 0)) / UNIT


def equal_limit(rates, total):
    """The limit that, applied equally to each of these rates, admits `total`: max-min fair sharing of it.

    If all rates fit into `total`, it is the largest rate.
    """
    remaining, limit = min(total, sum(rates)), 0.0
    for index, rate in enumerate(sorted(rates)):
        limit = remaining / (len(rates) - index)
        if rate >= limit:
            break
        remaining -= rate
    return limit
