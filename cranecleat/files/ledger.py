"""Plans what is published through files and tracks what of it is in force: turns the planner's decisions into files, in
an order that is safe at every instant, and what proxies have applied into acknowledgements. No I/O, no clock.

A publication is a list of steps, each completed before the next: new bodies, then the shared tables, then the orders of
single proxies, then the removal of bodies that no reader can need any more. A proxy's orders name the oldest generation
of the tables with which they may be applied, which is in place by then, as are the bodies that the tables name. After a
failure everything is published again under new generations: a step that failed half way may have become visible, and
a generation is never used for two contents.
"""

from cranecleat.files.format import Body, Header, Orders, RetryOrder, Tables, write_body, write_orders, write_tables

KEPT_PUBLICATIONS = 64  # bodies of so many publications are kept for lagging readers; others read the tables again
RETRY_NUMBERS_PER_LIFE = 1 << 24  # retry orders that one run of a writer can number
MAX_RETRIES_PER_PROXY = 8  # retry orders that one proxy may hold at a time


class ProxyState:
    """One proxy that is served through files.

    bound: route -> table.
    retries: its retry orders that it has not yet reported as taken on.
    active: whether the proxy is to follow files; written into its orders.
    dirty: whether its orders have to be published again.
    generation: of its orders as last published.
    needs: oldest generation of the tables with which those orders may be applied.
    applied: generations of tables and orders that it has reported as in force.
    unapplied_since: since when it has had published decisions to apply; set anew each time it has applied some but not
    all of them. None if it has applied all.
    """

    def __init__(self):
        self.bound, self.retries = {}, []
        self.active, self.dirty = True, True
        self.generation = self.needs = 0
        self.applied = (0, 0)
        self.unapplied_since = None


class Ledger:
    """The planner's `Writer` for proxies that are served through files, without `watch`, `set_timer` and `log`, which
    the service provides.

    names: maps backends' names to indices and back, see `decoding.IndexMap`.
    routes: names of the routes.
    fence, life, generation: of the header last written, see `format.Header`.
    pending_tables, pending_orders: the tables, and proxy -> orders, of the publication that `steps` has begun.
    counters: publications completed, bytes written, and files replaced ("swaps").
    """

    def __init__(self, names, routes, fence, life, generation=0):
        self.names, self.routes = names, routes
        self.fence, self.life, self.generation = fence, life, generation
        self.proxies = {}  # proxy -> ProxyState
        self.departed = set()  # proxies whose orders have yet to say that files serve them no more
        self.tables = {}  # table -> {backend: weight}
        self.levels = {}  # (table or None for all, route) -> (level, tries)
        self.withdrawn = set()
        self.published = None  # the `Tables` last published
        self.bodies = {}  # name of each body in the folder -> its size in bytes
        self.recent_bodies = []  # (generation of tables, names of their bodies), the latest last
        self.shared_changed = True  # whether the shared tables differ from those published
        self.changed_tables = set()
        self.unpublished_acks = []  # (ack number, proxies concerned) of rounds not yet published
        self.unacknowledged = []  # (ack number, proxy -> generations that it has yet to apply)
        self.last_retry_number = fence * RETRY_NUMBERS_PER_LIFE
        self.counters = {"publications": 0, "bytes": 0, "swaps": 0}

    # Which proxies are served

    def join(self, proxy):
        """Begins to serve a proxy, without any bindings."""
        state = self.proxies.get(proxy) or ProxyState()
        retries, state = state.retries, ProxyState()
        state.retries = retries  # retry orders stay until the proxy reports that it has taken them on
        self.proxies[proxy] = state
        self.departed.discard(proxy)

    def leave(self, proxy):
        """Stops serving a proxy. Its orders are published once more, to say so."""
        if self.proxies.pop(proxy, None):
            self.departed.add(proxy)
            for _, awaited in self.unacknowledged:
                awaited.pop(proxy, None)

    # What the planner decides

    def set_weight(self, table, backend, weight):
        weights = self.tables.setdefault(table, {})
        weights[backend] = weight
        if not weight:
            del weights[backend]
        self.changed_tables.add(table)
        self.shared_changed = True

    def bind(self, proxy, table, routes, is_subset=False):
        state = self.proxies.get(proxy)
        if state:
            state.bound.update(dict.fromkeys(routes, table))
            self.tables.setdefault(table, {})
            self.changed_tables.add(table)
            self.shared_changed = state.dirty = True

    def withdraw(self, backend, is_withdrawn):
        (self.withdrawn.add if is_withdrawn else self.withdrawn.discard)(backend)
        self.shared_changed = True

    def set_admission(self, table, routes, level, tries):
        for route in routes:
            self.levels[table, route] = level, tries
        self.shared_changed = True

    def forget(self, backend):
        """No table names the backend any more. Its index may be used again once this round is published without it."""
        self.withdrawn.discard(backend)
        self.shared_changed = True

    def request_ack(self, number):
        """Returns the proxies that have to acknowledge this round. A change of the shared tables concerns all of
        them."""
        concerned = {p for p, state in self.proxies.items() if self.shared_changed or state.dirty}
        if concerned:
            self.unpublished_acks.append((number, concerned))
        return concerned

    def order_retry(self, proxy, call, proof):
        """Orders one call to be retried. Returns the order's number, or None if the proxy is not served through files
        or holds too many orders. Whoever orders it has the proof that the call never ran. A number is never used twice,
        as each life of a writer has a range of its own."""
        state = self.proxies.get(proxy)
        if state is None or len(state.retries) >= MAX_RETRIES_PER_PROXY:
            return None
        self.last_retry_number += 1
        state.retries.append(RetryOrder(self.last_retry_number, call, proof))
        state.dirty = True
        return self.last_retry_number

    # Publication

    def has_changes(self):
        """Whether anything has to be published."""
        return self.shared_changed or bool(self.departed) or any(state.dirty for state in self.proxies.values())

    def steps(self):
        """Begins a publication and returns its steps, in order: ("body", name, bytes), ("tables", bytes) and
        ("orders", proxy, bytes). Each publication ends with a call of `publication_done`, which returns further steps
        of the form ("drop", name of a body), or of `publication_failed`."""
        steps, bodies = [], dict(self.published.bodies) if self.published else {}
        if self.shared_changed:
            for table in self.changed_tables | (self.tables.keys() - bodies.keys()):
                data, name = write_body(
                    Body(
                        tuple(
                            sorted((self.names.ids[backend], weight) for backend, weight in self.tables[table].items())
                        )
                    )
                )
                bodies[table] = name
                if name not in self.bodies:
                    steps.append(("body", name, data))
            tables = Tables(
                self.next_header(self.published.header.generation if self.published else 0),
                bodies,
                {(table, self.routes[route]): level for (table, route), level in self.levels.items()},
                frozenset(self.names.ids[backend] for backend in self.withdrawn),
            )
            steps.append(("tables", write_tables(tables)))
            self.pending_tables = tables
        else:
            self.pending_tables = self.published
        self.pending_orders = {}
        for proxy, state in self.proxies.items():
            if state.dirty:
                self.pending_orders[proxy] = self.orders_of(proxy, state, self.pending_tables.header.generation)
        for proxy in self.departed:
            self.pending_orders[proxy] = Orders(self.next_header(0), proxy, False, 0, {})
        steps += [("orders", proxy, write_orders(orders)) for proxy, orders in self.pending_orders.items()]
        return steps

    def orders_of(self, proxy, state, needs):
        """The orders of a proxy, under a new generation. `needs`: the oldest tables that they may be applied with."""
        bound = {self.routes[route]: table for route, table in state.bound.items()}
        return Orders(self.next_header(state.generation), proxy, state.active, needs, bound, tuple(state.retries))

    def next_header(self, after):
        """A header with a new generation. `after`: generation of the file that is replaced, 0 where there is none."""
        self.generation += 1
        return Header(self.fence, self.life, self.generation, after)

    def step_done(self, step):
        """Records that one step is completed: the bodies in the folder, and the counters."""
        kind, *values = step
        if kind == "body":
            self.bodies[values[0]] = len(values[1])
        if kind != "drop":
            self.counters["bytes"] += len(values[-1])
            self.counters["swaps"] += 1

    def publication_done(self, now):
        """Records that all of `steps` are completed. Returns further steps, which remove bodies."""
        self.published, self.shared_changed, self.changed_tables = self.pending_tables, False, set()
        self.departed.clear()
        self.counters["publications"] += 1
        tables = self.published.header.generation
        for proxy, orders in self.pending_orders.items():
            state = self.proxies.get(proxy)
            if state:
                state.generation, state.needs, state.dirty = orders.header.generation, orders.needs, False
        for number, concerned in self.unpublished_acks:
            awaited = {p: (tables, self.proxies[p].generation) for p in concerned if p in self.proxies}
            self.unacknowledged.append((number, awaited))
            for p in awaited:
                self.proxies[p].unapplied_since = (
                    self.proxies[p].unapplied_since if self.proxies[p].unapplied_since is not None else now
                )
        self.unpublished_acks = []
        self.recent_bodies = [(generation, names) for generation, names in self.recent_bodies if generation != tables][
            -KEPT_PUBLICATIONS:
        ]
        self.recent_bodies.append((tables, frozenset(self.published.bodies.values())))
        return self.drop_unneeded_bodies()

    def publication_failed(self):
        """Records that some step failed. All of the publication is written again, under new generations."""
        self.shared_changed = True
        for proxy in self.pending_orders:
            if proxy in self.proxies:
                self.proxies[proxy].dirty = True

    def drop_unneeded_bodies(self):
        """Steps that remove the bodies which none of the tables that a proxy may still use refer to.

        `oldest` is the lowest generation of tables that a proxy has reported as in force. A publication is no longer
        needed once the one after it is not newer than `oldest`. The last publication is always needed.
        """
        oldest = min((state.applied[0] for state in self.proxies.values()), default=self.published.header.generation)
        self.recent_bodies = [
            recent
            for i, recent in enumerate(self.recent_bodies)
            if i + 1 == len(self.recent_bodies) or self.recent_bodies[i + 1][0] > oldest
        ]
        needed = frozenset().union(*(names for _, names in self.recent_bodies))
        unneeded = sorted(self.bodies.keys() - needed)
        for name in unneeded:
            del self.bodies[name]
        return [("drop", name) for name in unneeded]

    # What proxies report

    def acknowledge(self, proxy, tables, orders, last_retry, now):
        """Records what a proxy reports to have in force. Returns the ack numbers that it thereby acknowledges, the
        oldest first."""
        state = self.proxies.get(proxy)
        if state is None:
            return []
        if tables > self.generation or orders > self.generation:
            return []  # generations of another writer: the proxy holds nothing of this one yet
        state.applied = max(state.applied[0], tables), max(state.applied[1], orders)
        if state.retries and last_retry >= state.retries[0].number:
            state.retries = [retry for retry in state.retries if retry.number > last_retry]
            state.dirty = True
        acknowledged, some_left = [], False
        for number, awaited in self.unacknowledged:
            if proxy in awaited:
                if state.applied[0] >= awaited[proxy][0] and state.applied[1] >= awaited[proxy][1]:
                    del awaited[proxy]
                    acknowledged.append(number)
                else:
                    some_left = True
        self.unacknowledged = [(number, awaited) for number, awaited in self.unacknowledged if awaited]
        if not some_left:
            state.unapplied_since = None
        elif acknowledged:
            state.unapplied_since = now
        return acknowledged

    def lags(self, now):
        """Proxy -> microseconds since its `unapplied_since`; 0 if it has applied all decisions."""
        return {
            p: now - state.unapplied_since if state.unapplied_since is not None else 0
            for p, state in self.proxies.items()
        }
