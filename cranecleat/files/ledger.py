"""What is published and what of it is in force: the planner's decisions as files to be written, in an order in which
every instant is safe, and reports of what is applied as answers to the planner's marks. No I/O, no clock of its own.

A publication is a list of steps, each done before the next: new bodies, then the shared tables, then the orders of
single proxies, then the removal of bodies that no reader can need. A proxy's orders name the least generation of the
tables that they go with, which stands by then; tables name bodies that stand by then. What fails is tried again
whole, under new generations: a step that failed half way may have become visible, and a generation is never used for
two contents.
"""

from cranecleat.files.format import Again, Body, Header, Orders, Tables, write_body, write_orders, write_tables

KEPT = 64  # publications whose bodies are kept for readers that lag; one that lags more reads the tables anew
NUMBERS = 1 << 24  # orders to try again in one writer's life
ABOUT = 8  # orders to try again that one proxy may be given at a time


class ProxyState:
    """One proxy that is served through files."""

    def __init__(self):
        self.bound, self.retries = {}, []
        self.active, self.dirty = True, True
        self.generation = self.needs = 0  # of its orders as published
        self.applied = (0, 0)  # generations of tables and orders that it has in force
        self.told_at = None  # when the oldest thing that it has not applied was published


class Ledger:
    """The planner's `Writer` for proxies served through files, but for what the service does (`watch`, `wake`,
    `log`)."""

    def __init__(self, names, routes, fence, life, generation=0):
        self.names, self.routes = names, routes  # backends' names; routes' names
        self.fence, self.life, self.generation = fence, life, generation
        self.proxies, self.gone = (
            {},
            set(),
        )  # proxies joined; those whose orders have to say that they are served no more
        self.tables, self.levels, self.out = {}, {}, set()
        self.published = None  # the tables as last published
        self.bodies, self.recent = {}, []  # body's name -> its bytes, as they stand; (generation, names) lately
        self.shared, self.touched = True, set()  # whether tables differ from what stands; tables with other lines
        self.unsent, self.unacknowledged = (
            [],
            [],
        )  # marks of rounds not yet published; (mark, proxy -> generations) not applied
        self.numbered = fence * NUMBERS
        self.counters = {"publications": 0, "bytes": 0, "swaps": 0}

    # Who is joined

    def join(self, proxy):
        state = self.proxies.get(proxy) or ProxyState()
        again, state = state.retries, ProxyState()
        state.retries = again  # what it was told to try again stands until it says that it has taken that on
        self.proxies[proxy] = state
        self.gone.discard(proxy)

    def leave(self, proxy):
        if self.proxies.pop(proxy, None):
            self.gone.add(proxy)
            for _, who in self.unacknowledged:
                who.pop(proxy, None)

    # What the planner decides

    def set_weight(self, table, backend, weight):
        lines = self.tables.setdefault(table, {})
        lines[backend] = weight
        if not weight:
            del lines[backend]
        self.touched.add(table)
        self.shared = True

    def bind(self, proxy, table, routes, is_subset=False):
        state = self.proxies.get(proxy)
        if state:
            state.bound.update(dict.fromkeys(routes, table))
            self.tables.setdefault(table, {})
            self.touched.add(table)
            self.shared = state.dirty = True

    def withdraw(self, backend, out):
        (self.out.add if out else self.out.discard)(backend)
        self.shared = True

    def set_admission(self, table, routes, level, tries):
        for route in routes:
            self.levels[table, route] = level, tries
        self.shared = True

    def forget(self, backend):
        """No table names it; its name is free once the planner's round has been published without it."""
        self.out.discard(backend)
        self.shared = True

    def request_ack(self, number):
        """Returns who gets anything of this round. What stands in the shared tables concerns all."""
        concerned = {p for p, state in self.proxies.items() if self.shared or state.dirty}
        if concerned:
            self.unsent.append((number, concerned))
        return concerned

    def order_retry(self, proxy, call, proof):
        """Orders one call to be tried again; returns the order's number, or None where the proxy has too many. Whoever
        orders it holds the proof. A number is never given twice, as each life of a writer has its own."""
        state = self.proxies.get(proxy)
        if state is None or len(state.retries) >= ABOUT:
            return None
        self.numbered += 1
        state.retries.append(Again(self.numbered, call, proof))
        state.dirty = True
        return self.numbered

    # What is to be written

    def has_changes(self):
        return self.shared or bool(self.gone) or any(state.dirty for state in self.proxies.values())

    def steps(self):
        """What has to be done now, in order: ("body", name, bytes), ("tables", bytes), ("orders", proxy, bytes),
        ("drop", body's name). Ends with `done` or `failed` of the same publication."""
        steps, bodies = [], dict(self.published.bodies) if self.published else {}
        if self.shared:
            for table in self.touched | (self.tables.keys() - bodies.keys()):
                data, called = write_body(
                    Body(tuple(sorted((self.names.ids[b], weight) for b, weight in self.tables[table].items())))
                )
                bodies[table] = called
                if called not in self.bodies:
                    steps.append(("body", called, data))
            tables = Tables(
                self.next_header(self.published.header.generation if self.published else 0),
                bodies,
                {(table, self.routes[route]): level for (table, route), level in self.levels.items()},
                frozenset(self.names.ids[b] for b in self.out),
            )
            steps.append(("tables", write_tables(tables)))
            self.writing = tables
        else:
            self.writing = self.published
        self.orders = {}
        for proxy, state in self.proxies.items():
            if state.dirty:
                self.orders[proxy] = self.orders_of(proxy, state, self.writing.header.generation)
        for proxy in self.gone:
            self.orders[proxy] = Orders(self.next_header(0), proxy, False, 0, {})
        steps += [("orders", proxy, write_orders(orders)) for proxy, orders in self.orders.items()]
        return steps

    def orders_of(self, proxy, state, needs):
        bound = {self.routes[route]: table for route, table in state.bound.items()}
        return Orders(self.next_header(state.generation), proxy, state.active, needs, bound, tuple(state.retries))

    def next_header(self, after):
        self.generation += 1
        return Header(self.fence, self.life, self.generation, after)

    def step_done(self, step):
        """One step stands."""
        kind, *what = step
        if kind == "body":
            self.bodies[what[0]] = len(what[1])
        if kind != "drop":
            self.counters["bytes"] += len(what[-1])
            self.counters["swaps"] += 1

    def publication_done(self, now):
        """All of `steps` stands. Returns bodies that may go, as further steps."""
        self.published, self.shared, self.touched = self.writing, False, set()
        self.gone.clear()
        self.counters["publications"] += 1
        tables = self.published.header.generation
        for proxy, orders in self.orders.items():
            state = self.proxies.get(proxy)
            if state:
                state.generation, state.needs, state.dirty = orders.header.generation, orders.needs, False
        for mark, concerned in self.unsent:
            who = {p: (tables, self.proxies[p].generation) for p in concerned if p in self.proxies}
            self.unacknowledged.append((mark, who))
            for p in who:
                self.proxies[p].told_at = self.proxies[p].told_at if self.proxies[p].told_at is not None else now
        self.unsent = []
        self.recent = [(g, names) for g, names in self.recent if g != tables][-KEPT:]
        self.recent.append((tables, frozenset(self.published.bodies.values())))
        return self.spare()

    def publication_failed(self):
        """Some step did not work. All that was to be written is written again, under new generations."""
        self.shared = True
        for proxy in self.orders:
            if proxy in self.proxies:
                self.proxies[proxy].dirty = True

    def spare(self):
        """Bodies that no table that a reader may still hold names."""
        oldest = min((state.applied[0] for state in self.proxies.values()), default=self.published.header.generation)
        self.recent = [
            one for i, one in enumerate(self.recent) if i + 1 == len(self.recent) or self.recent[i + 1][0] > oldest
        ]
        needed = frozenset().union(*(names for _, names in self.recent))
        spare = sorted(self.bodies.keys() - needed)
        for called in spare:
            del self.bodies[called]
        return [("drop", called) for called in spare]

    # What comes back

    def acknowledge(self, proxy, tables, orders, again, now):
        """What a proxy says that it has in force. Returns the marks that it has answered thereby, the oldest first."""
        state = self.proxies.get(proxy)
        if state is None:
            return []
        if tables > self.generation or orders > self.generation:
            return []  # of another writer: it has nothing of ours yet
        state.applied = max(state.applied[0], tables), max(state.applied[1], orders)
        if state.retries and again >= state.retries[0].number:
            state.retries = [one for one in state.retries if one.number > again]
            state.dirty = True
        answered, open_ones = [], False
        for mark, who in self.unacknowledged:
            if proxy in who:
                if state.applied[0] >= who[proxy][0] and state.applied[1] >= who[proxy][1]:
                    del who[proxy]
                    answered.append(mark)
                else:
                    open_ones = True
        self.unacknowledged = [(mark, who) for mark, who in self.unacknowledged if who]
        if not open_ones:
            state.told_at = None
        elif answered:
            state.told_at = now
        return answered

    def lags(self, now):
        """Microseconds for which each proxy has had something that it has not applied; 0: nothing."""
        return {p: now - state.told_at if state.told_at is not None else 0 for p, state in self.proxies.items()}
