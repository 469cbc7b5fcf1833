"""What a reader may believe of the files that it finds. No I/O.

A reader never goes back: the fence first, then the generation of each kind of file, only rise. Orders and tables go
together where the tables are at least as new as the orders need; any newer tables go with them too, as they name all
that proxies are bound to. Until something new fits whole, what was in force stays.
"""

from dataclasses import dataclass, field

from cranecleat.files.format import UnusableFileError


@dataclass(slots=True)
class Force:
    """What is in force at one proxy."""

    active: bool = False
    weights: dict = field(default_factory=dict)  # route -> {backend: weight}
    levels: dict = field(default_factory=dict)  # route -> (level, tries)
    withdrawn: frozenset = frozenset()
    applied: tuple = (0, 0)  # generations of tables and orders


class View:
    """One proxy's. `done`: the last order to try again that was taken on, as it was kept by the reader."""

    def __init__(self, proxy, done=0, fence=0):
        self.proxy, self.done, self.fence = proxy, done, fence
        self.seen = (0, 0)  # of the fence: generations of tables and orders
        self.in_force = Force()

    def offer(self, orders, tables, body_of):
        """Takes files as they were read. `body_of(name)` gives a body or raises `UnusableFileError`.

        Returns the orders to try again that are new, to be kept by `take_on` before any is acted on. Raises
        `UnusableFileError` where they cannot be used."""
        if orders.proxy != self.proxy:
            raise UnusableFileError(f"orders of proxy {orders.proxy}, not {self.proxy}")
        if min(orders.header.fence, tables.header.fence) < self.fence:
            raise UnusableFileError(
                f"of writer {min(orders.header.fence, tables.header.fence)}, where {self.fence} has been seen"
            )
        if orders.header.fence != tables.header.fence:
            raise UnusableFileError("orders and tables of two writers")
        seen = self.seen if orders.header.fence == self.fence else (0, 0)
        new = tables.header.generation, orders.header.generation
        if new[0] < seen[0] or new[1] < seen[1]:
            raise UnusableFileError(f"generations {new[0]} and {new[1]}, where {seen[0]} and {seen[1]} have been seen")
        if orders.active and tables.header.generation < orders.needs:
            raise UnusableFileError(f"orders that need tables {orders.needs}; {tables.header.generation} stand")
        if new == seen and self.in_force.applied == new:
            return ()
        force = Force(orders.active, {}, {}, tables.out, new)
        for route, table in orders.bound.items():
            if table not in tables.bodies:
                raise UnusableFileError(f"bound to table {table}, which does not stand")
            force.weights[route] = dict(body_of(tables.bodies[table]).lines)
            both = [tables.levels[key] for key in ((None, route), (table, route)) if key in tables.levels]
            if both:
                force.levels[route] = min(level for level, _ in both), both[-1][1]
        self.fence, self.seen, self.in_force = orders.header.fence, new, force
        return tuple(one for one in orders.again if one.number > self.done) if orders.active else ()

    def take_on(self, order):
        """Whether this order may be acted on, now that `done` has been kept: each once, ever."""
        if order.number <= self.done:
            return False
        self.done = order.number
        return True

    def pick_from(self, route):
        """{backend: weight} that calls of a route may go to."""
        return {
            b: w for b, w in self.in_force.weights.get(route, {}).items() if w > 0 and b not in self.in_force.withdrawn
        }
