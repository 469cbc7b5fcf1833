"""Which tables there are, and their numbers. Follows from the start-up figures and the number of sections alone."""


class Layout:
    """One shared table a route, or one for each zone where it may not leave the proxy's. Where the fleet is parted into
    sections, one in each for all routes that may go to the same backends. Iterates over (table, its routes, zone,
    section); a table's number modulo that of the routes is its first route."""

    def __init__(self, routes, zones, sections=0):
        groups = {}
        for number, route in enumerate(routes):
            groups.setdefault((route.own_zone, route.kinds, route.zones) if sections else number, []).append(number)
        self.route_groups = [tuple(numbers) for numbers in groups.values()]  # a proxy is bound to a table for each
        self.tables = []
        for numbers in self.route_groups:
            for zone in range(zones) if routes[numbers[0]].own_zone else [None]:
                for section in range(sections or 1):
                    place = (0 if zone is None else 1 + zone) + (1 + zones) * section
                    self.tables.append((numbers[0] + len(routes) * place, numbers, zone, section))
        self.of = {}  # (section, zone) -> [(table, its routes)]
        for table, numbers, zone, section in self.tables:
            self.of.setdefault((section, zone), []).append((table, numbers))

    def __iter__(self):
        return iter(self.tables)

    def tables_for(self, section, zone):
        """Tables of a proxy of that zone."""
        return self.of.get((section, None), []) + self.of.get((section, zone), [])


def sum_by_table(wants):
    """Sums of what is kept by (table, route), as (table, None)."""
    whole = {}
    for (table, _), want in wants.items():
        whole[table, None] = whole.get((table, None), 0.0) + want
    return whole
