"""Demand by route and zone, as sums that change with each join, leave and report.

Rates are kept as whole numbers of 2**-52 calls a second, so that sums are exact: what is added and taken away again
leaves nothing behind, in any order and however often. A rate is off by 2**-53 calls a second at the most.
"""

from bisect import bisect_right

UNIT = 2**52


class Demand:
    """`routes`: how many. Proxies are kept in the order in which they joined, which is that of time."""

    def __init__(self, routes):
        self.routes = range(routes)
        self.totals, self.mute, self.young = [0] * routes, [0] * routes, [0] * routes
        self.whole, self.zones, self.newcomers, self.typicals = 0, {}, 0, {}
        self.known = {}  # proxy -> [zone, typical, since, {route: rate}, settled, its place's count]
        self.order, self.edge = [], 0  # (since, count, proxy) by time; how many of them have settled
        self.count = 0

    # One proxy: `totals` is what was heard, `mute` the typical rates of those not heard at all, `young` those of
    # newcomers that were heard of other routes only.

    def calls(self, known):
        return sum(known[3].values()) if known[3] else known[1]

    def change(self, proxy, known, sign):
        calls = sign * self.calls(known)
        self.whole += calls
        self.newcomers += 0 if known[4] else calls
        self.typicals[known[0]] = self.typicals.get(known[0], 0) + sign * known[1]
        self.zones[known[0]] = self.zones.get(known[0], 0) + calls
        for route in self.routes:
            if route in known[3]:
                self.totals[route] += sign * known[3][route]
            elif not known[3]:
                self.mute[route] += sign * known[1]
            elif not known[4]:
                self.young[route] += sign * known[1]

    def join(self, proxy, zone, typical, since):
        """Returns the typical rate as it is counted."""
        self.leave(proxy)
        self.count += 1
        known = self.known[proxy] = [zone, round(typical * UNIT), since, {}, False, self.count]
        self.order.append((since, self.count, proxy))
        if len(self.order) > 2 * len(self.known) + 64:  # those that have left meanwhile
            self.prune()
        self.change(proxy, known, 1)
        return known[1] / UNIT

    def leave(self, proxy):
        known = self.known.pop(proxy, None)
        if known:
            self.change(proxy, known, -1)

    def prune(self):
        """Forgets places of those that have left or joined anew; what is kept is bounded by who is joined."""
        live = [place for place in self.order if place[2] in self.known and self.known[place[2]][5] == place[1]]
        settled = self.order[self.edge - 1] if self.edge else None
        self.order = live
        self.edge = bisect_right(live, settled) if settled else 0

    def report_rate(self, proxy, route, rate):
        """What one proxy's calls of a route are from now on; returns it as it is counted."""
        known = self.known[proxy]
        self.change(proxy, known, -1)
        known[3][route] = round(rate * UNIT)
        self.change(proxy, known, 1)
        return known[3][route] / UNIT

    def update_settled(self, since):
        """Who joined at `since` or before is no newcomer. It may go back, too, as it rests on what is learned."""
        edge = self.edge  # it seldom moves far
        while edge < len(self.order) and self.order[edge][0] <= since:
            edge += 1
        while edge and self.order[edge - 1][0] > since:
            edge -= 1
        if edge == self.edge:
            return
        for _, count, proxy in self.order[min(edge, self.edge) : max(edge, self.edge)]:
            known = self.known.get(proxy)
            if known and known[5] == count:
                self.change(proxy, known, -1)
                known[4] = edge > self.edge
                self.change(proxy, known, 1)
        self.edge = edge

    # What the planner reads, in calls a second

    def by_route(self):
        """What was heard; what is only typical, of those not heard of it that count."""
        return (
            [total / UNIT for total in self.totals],
            [(mute + young) / UNIT for mute, young in zip(self.mute, self.young, strict=True)],
        )

    def expected_rates(self):
        """By route: what was heard, and what is only typical in the mix of what was heard."""
        totals, mute = self.by_route()
        heard = sum(totals)
        return [t + more * (t / heard if heard else 1 / len(totals)) for t, more in zip(totals, mute, strict=True)]

    def total_rate(self):
        return self.whole / UNIT

    def newcomer_rate(self):
        return self.newcomers / UNIT

    def zone_rate(self, zone):
        return self.zones.get(zone, 0) / UNIT

    def active_zone_count(self):
        """How many zones have proxies with calls."""
        return sum(calls > 0 for calls in self.zones.values())

    def typical_rate(self, zone=None):
        """What proxies call typical, of one zone or of all."""
        return (sum(self.typicals.values()) if zone is None else self.typicals.get(zone, 0)) / UNIT


def equal_limit(rates, whole):
    """The limit that, the same for each of these rates, lets `whole` in; where all of them fit, the largest rate's part
    of what is left."""
    left, limit = min(whole, sum(rates)), 0.0
    for place, rate in enumerate(sorted(rates)):
        limit = left / (len(rates) - place)
        if rate >= limit:
            break
        left -= rate
    return limit
