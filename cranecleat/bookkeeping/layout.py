"""Which tables exist, and their numbers. This follows from the start-up settings and the number of subsets alone.

`sum_by_table` sums values that are kept by table and route.
"""


class Layout:
    """All tables; iterates over (table, its routes, zone, subset), with zone None in a table for all zones.

    There is one shared table for each route. Where the fleet is split into subsets, each subset has one table for each
    group of routes that may go to the same backends; without subsets all tables have subset 0. If the routes may not
    leave the proxy's zone, there is one such table for each zone instead. A table's number modulo the number of routes
    is its first route.
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
                    # Counts the tables of a group; 0 is that for all zones in subset 0.
                    block = (0 if zone is None else 1 + zone) + (1 + zones) * subset
                    self.tables.append((numbers[0] + len(routes) * block, numbers, zone, subset))
        self.tables_by_subset_and_zone = {}  # (subset, zone) -> [(table, its routes)]
        for table, numbers, zone, subset in self.tables:
            self.tables_by_subset_and_zone.setdefault((subset, zone), []).append((table, numbers))

    def __iter__(self):
        return iter(self.tables)

    def tables_for(self, subset, zone):
        """The tables of a proxy of that subset and zone, as (table, its routes)."""
        return self.tables_by_subset_and_zone.get((subset, None), []) + self.tables_by_subset_and_zone.get(
            (subset, zone), []
        )


def sum_by_table(values):
    """Sums values, such as rates, that are kept by (table, route).

    The keys of the result are (table, None), so that callers can use it in the place of values by table and route.
    """
    totals = {}
    for (table, _), value in values.items():
        totals[table, None] = totals.get((table, None), 0.0) + value
    return totals
