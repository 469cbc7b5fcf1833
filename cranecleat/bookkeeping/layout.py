"""Which tables exist, and their numbers. This follows from the start-up settings and the number of subsets alone."""


class Layout:
    """All tables; iterates over (table, its routes, zone, subset).

    There is one shared table for each route, or one for each zone if the route may not leave the proxy's zone. Where
    the fleet is split into subsets, each subset has one table for all routes that may go to the same backends. A
    table's number modulo the number of routes is its first route.
    """

    def __init__(self, routes, zones, subsets=0):
        groups = {}
        for number, route in enumerate(routes):
            groups.setdefault((route.own_zone, route.kinds, route.zones) if subsets else number, []).append(number)
        self.route_groups = [tuple(numbers) for numbers in groups.values()]  # a proxy is bound to one table for each
        self.tables = []
        for numbers in self.route_groups:
            for zone in range(zones) if routes[numbers[0]].own_zone else [None]:
                for subset in range(subsets or 1):
                    place = (0 if zone is None else 1 + zone) + (1 + zones) * subset
                    self.tables.append((numbers[0] + len(routes) * place, numbers, zone, subset))
        self.by_place = {}  # (subset, zone) -> [(table, its routes)]
        for table, numbers, zone, subset in self.tables:
            self.by_place.setdefault((subset, zone), []).append((table, numbers))

    def __iter__(self):
        return iter(self.tables)

    def tables_for(self, subset, zone):
        """The tables of a proxy of that subset and zone, as (table, its routes)."""
        return self.by_place.get((subset, None), []) + self.by_place.get((subset, zone), [])


def sum_by_table(wants):
    """Sums values that are kept by (table, route); the keys of the result are (table, None)."""
    totals = {}
    for (table, _), want in wants.items():
        totals[table, None] = totals.get((table, None), 0.0) + want
    return totals
