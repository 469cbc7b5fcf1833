"""Decides which of the files that a reader finds it may apply. No I/O.

A reader never goes back: it accepts only a fence that is at least as high as the last one and, under the same fence,
generations of tables and of orders that are at least as high. Orders and tables fit together if the tables are at
least as new as the orders require. Any newer tables fit as well, as they name every table that a proxy is bound to.
Until new files fit as a whole, the last accepted ones stay in force.
"""

from dataclasses import dataclass, field

from cranecleat.files.format import UnusableFileError


@dataclass(slots=True)
class InForce:
    """What is in force at one proxy."""

    active: bool = False
    weights: dict = field(default_factory=dict)  # route -> {backend: weight}
    levels: dict = field(default_factory=dict)  # route -> (level, tries)
    withdrawn: frozenset = frozenset()  # backends
    applied: tuple = (0, 0)  # generations of the tables and orders that are in force


class View:
    """The files that one proxy has accepted.

    last_retry: number of the last retry order that was taken on, as the reader has stored it.
    fence: the highest fence accepted.
    seen: generations of tables and orders last accepted under `fence`.
    """

    def __init__(self, proxy, last_retry=0, fence=0):
        self.proxy, self.last_retry, self.fence = proxy, last_retry, fence
        self.seen = (0, 0)
        self.in_force = InForce()

    def offer(self, orders, tables, body_of):
        """Checks orders and tables that were read, and puts them in force if they may be applied together.
        `body_of(name)` returns a body or raises `UnusableFileError`.

        Returns the retry orders that are new; the caller passes each to `take_on` before it acts on it. Raises
        `UnusableFileError` if the files cannot be used; what is in force then stays."""
        if orders.proxy != self.proxy:
            raise UnusableFileError(f"orders of proxy {orders.proxy}, not {self.proxy}")
        if min(orders.header.fence, tables.header.fence) < self.fence:
            raise UnusableFileError(
                f"written under fence {min(orders.header.fence, tables.header.fence)}, "
                f"but fence {self.fence} has been seen"
            )
        if orders.header.fence != tables.header.fence:
            raise UnusableFileError("orders and tables have different fences")
        seen = self.seen if orders.header.fence == self.fence else (0, 0)
        new = tables.header.generation, orders.header.generation
        if new[0] < seen[0] or new[1] < seen[1]:
            raise UnusableFileError(f"generations {new[0]} and {new[1]}, but {seen[0]} and {seen[1]} have been seen")
        if orders.active and tables.header.generation < orders.needs:
            raise UnusableFileError(
                f"orders require tables of generation {orders.needs}, found {tables.header.generation}"
            )
        if new == seen and self.in_force.applied == new:
            return ()
        in_force = InForce(orders.active, {}, {}, tables.withdrawn, new)
        for route, table in orders.bound.items():
            if table not in tables.bodies:
                raise UnusableFileError(f"bound to table {table}, which does not exist")
            in_force.weights[route] = dict(body_of(tables.bodies[table]).entries)
            # The level for all proxies and that of the table: the lower level counts, with the table's `tries` if set.
            both = [tables.levels[key] for key in ((None, route), (table, route)) if key in tables.levels]
            if both:
                in_force.levels[route] = min(level for level, _ in both), both[-1][1]
        self.fence, self.seen, self.in_force = orders.header.fence, new, in_force
        return tuple(retry for retry in orders.retries if retry.number > self.last_retry) if orders.active else ()

    def take_on(self, retry):
        """Marks a retry order as taken on and returns whether the reader may act on it: False if it was taken on
        before. The caller has stored the order's number first, so that no order is acted on twice."""
        if retry.number <= self.last_retry:
            return False
        self.last_retry = retry.number
        return True

    def pick_from(self, route):
        """{backend: weight} to which the route's calls may go."""
        return {
            backend: weight
            for backend, weight in self.in_force.weights.get(route, {}).items()
            if weight > 0 and backend not in self.in_force.withdrawn
        }
