"""Which proxies are joined, which tables each stream is bound to, and what it was sent; encodes a round as messages.

The planner works with tables that many proxies share, while a stream knows only its own routes. The decisions of a
round are collected until `messages`, which returns what has to change at each proxy. Equal parts are encoded once for
many proxies.
"""

from cranecleat.protocol.lines import encode_assign, join_lines


class Stream:
    """The current stream of one proxy."""

    def __init__(self, connection, typical_rate, ever_withdrawn, inherited, join_number):
        self.connection = connection
        self.typical_rate = typical_rate  # calls per second, as the proxy stated when it joined
        self.join_number = join_number  # messages go out in the order of joining
        self.is_subset = False  # see `Streams.bind`
        self.table_by_route = {}
        self.withdrawn = set()  # backends that are withdrawn on this stream
        self.ever_withdrawn = ever_withdrawn  # backends that were ever withdrawn on any stream of the proxy
        self.inherited = inherited  # backends that the proxy may still hold as withdrawn from an earlier stream


class Streams:
    """The planner's `Writer` for proxies that are served through streams."""

    def __init__(self, names, routes, set_timer, watch, log):
        self.names, self.routes = names, routes  # backend ids and their indices; the names of the routes
        self.set_timer, self.watch, self.log = set_timer, watch, log
        self.join_count = 0  # streams so far
        self.proxies_by_table = {}  # table -> proxies with a route bound to it
        self.joined = {}  # proxy -> stream
        self.ever_withdrawn = {}  # proxy -> backends that it was ever told to withdraw
        self.tables = {}  # table -> {backend: weight}
        self.withdrawn = set()
        self.returned = set()  # backends that may have been withdrawn elsewhere and run again: see `backends_listed`
        self.levels = {}  # (table or None for all, route) -> (level, tries)
        self.clear()

    def clear(self):
        """Forgets what this round has changed."""
        self.changed_weights = {}  # table -> {backend: weight}
        self.new_bindings = {}  # proxy -> routes
        self.changed_withdrawals = set()  # backends that were withdrawn or reinstated
        self.changed_levels = set()  # (table or None for all, route)
        self.ack_number = None
        self.prepared_messages = []  # (proxy, connection, bytes)
        # Caches: encoded parts, and the backends in each set of tables.
        self.encoded = {}
        self.backends_in_tables = {}

    # Which proxies are joined

    def backends_listed(self, scope, entries):
        """Notes which backends a proxy may hold as withdrawn because another coordinator withdrew them.

        These are all backends that have ever left, as seen here. Of the list that is held at the start they are those
        that have been restarted, as they may have been withdrawn before.
        """
        if scope == "whole":
            self.returned.update(set(self.names.index.values()).difference(b for b, *_ in entries))
        self.returned.update(
            b for b, state, *_, started in entries if state != "running" or scope == "held" and started
        )

    def typical_rate(self):
        """The sum of the typical rates of all joined proxies."""
        return sum(stream.typical_rate for stream in self.joined.values())

    def join(self, proxy, connection, typical_rate, uses_initial_table):
        """Adds a stream; returns the stream it replaces, and how many withdrawals the proxy may hold from earlier ones.

        A proxy that holds ordered tables may have them from another coordinator, or from an earlier life of this one.
        It may therefore hold any backend as withdrawn that has ever left.
        """
        replaced, ever_withdrawn = self.joined.get(proxy), self.ever_withdrawn.setdefault(proxy, set())
        inherited = set(ever_withdrawn) if uses_initial_table else ever_withdrawn | self.returned
        if replaced:
            self.unbind(proxy, replaced)
        self.join_count += 1
        self.joined.pop(proxy, None)  # so that it becomes the last in the order of joining
        self.joined[proxy] = Stream(connection, typical_rate, ever_withdrawn, inherited, self.join_count)
        return replaced, len(inherited - self.withdrawn)  # those that are withdrawn here are not reinstated

    def leave(self, proxy, connection):
        """Ends a stream. Returns False, and does nothing, if the proxy has a newer stream or none."""
        stream = self.joined.get(proxy)
        is_current = stream is not None and stream.connection is connection
        if is_current:
            self.unbind(proxy, stream)
            del self.joined[proxy]
        return is_current

    def unbind(self, proxy, stream):
        for table in set(stream.table_by_route.values()):
            self.proxies_by_table[table].discard(proxy)

    # What the planner decides

    def set_weight(self, table, backend, weight):
        weights = self.tables.setdefault(table, {})
        weights[backend] = weight
        if not weight:
            del weights[backend]
        self.changed_weights.setdefault(table, {})[backend] = weight

    def bind(self, proxy, table, routes, is_subset=False):
        """Binds routes of a proxy to a table.

        With `is_subset`, an inherited withdrawal is taken back once a table of the proxy names the backend; otherwise
        all of them are taken back at once.
        """
        if proxy in self.joined:
            self.joined[proxy].is_subset, table_by_route = is_subset, self.joined[proxy].table_by_route
            for route in routes:
                before, table_by_route[route] = table_by_route.get(route), table
                if before is not None and before not in table_by_route.values():
                    self.proxies_by_table[before].discard(proxy)
                self.proxies_by_table.setdefault(table, set()).add(proxy)
                self.new_bindings.setdefault(proxy, set()).add(route)

    def withdraw(self, backend, withdrawn):
        (self.withdrawn.add if withdrawn else self.withdrawn.discard)(backend)
        self.changed_withdrawals.add(backend)

    def forget(self, backend):
        """Frees the name and the index of a backend that no table names and no proxy is told of any more."""
        self.withdrawn.discard(backend)
        self.returned.discard(backend)
        on_streams = (held for s in self.joined.values() for held in (s.withdrawn, s.inherited))
        for backends in (*self.ever_withdrawn.values(), *on_streams):
            backends.discard(backend)
        self.names.forget(backend)

    def set_admission(self, table, routes, level, tries):
        for route in routes:
            self.levels[table, route] = level, tries
            self.changed_levels.add((table, route))

    def request_ack(self, ack_number):
        """Comes last in a round. Returns the proxies that get a message; one that knows everything gets none."""
        self.ack_number = ack_number
        self.prepared_messages = list(self.build_messages())
        return {proxy for proxy, *_ in self.prepared_messages}

    # What each proxy is sent

    def messages(self):
        """The round's messages as (connection, bytes), at most one for each proxy; clears the round."""
        prepared = list(self.build_messages()) if self.ack_number is None else self.prepared_messages
        self.clear()
        return [message for _, *message in prepared]

    def build_messages(self):
        self.affects_withdrawals = bool(self.changed_withdrawals) or any(
            b in self.withdrawn for weights in self.changed_weights.values() for b in weights
        )
        for proxy in self.affected_proxies():
            stream = self.joined[proxy]
            parts = self.message_parts(stream, self.new_bindings.get(proxy, ()))
            if parts:
                if self.ack_number is not None:
                    parts.append(self.encode_once(encode_assign, stamp=self.ack_number))
                yield proxy, stream.connection, self.encode_once(join_lines, tuple(parts))

    def affected_proxies(self):
        """Proxies that the round may change something for, in the order of joining: all, or users of changed tables."""
        if self.changed_withdrawals or any(table is None for table, _ in self.changed_levels):
            return list(self.joined)
        proxies = {p for p in self.new_bindings if p in self.joined}
        for table in (*self.changed_weights, *(table for table, _ in self.changed_levels)):
            proxies |= self.proxies_by_table.get(table, set())
        return sorted(proxies, key=lambda p: self.joined[p].join_number)

    def encode_once(self, encode, *values, **named):
        """Encodes equal values once in a round, however many proxies they go to."""
        key = encode, values, tuple(named.items())
        if key not in self.encoded:
            self.encoded[key] = encode(*values, **named)
        return self.encoded[key]

    def message_parts(self, stream, new_routes):
        """The encoded parts of a message: weights, levels, then withdrawals."""
        parts, groups = [], {}
        for route, table in sorted(stream.table_by_route.items()):
            groups.setdefault((route in new_routes, table), []).append(route)
        for (is_new, table), routes in groups.items():
            if is_new or table in self.changed_weights:
                parts.append(self.encode_once(self.encode_rows, table, tuple(routes), is_new))
        levels = {}
        for route in range(len(self.routes)):
            table = stream.table_by_route.get(route)
            if route in new_routes or {(None, route), (table, route)} & self.changed_levels:
                levels.setdefault(self.effective_level(table, route), []).append(route)
        parts += [
            self.encode_once(encode_assign, self.route_names(routes), level=level)
            for level, routes in levels.items()
            if level
        ]
        may_reinstate = stream.is_subset and (stream.withdrawn or stream.inherited)
        bound_tables = stream.table_by_route.values()
        changed = self.affects_withdrawals or may_reinstate and not self.changed_weights.keys().isdisjoint(bound_tables)
        return parts + (self.withdrawal_parts(stream, bool(new_routes)) if new_routes or changed else [])

    def encode_rows(self, table, routes, is_new):
        """The whole table for a new binding, otherwise only the weights that have changed."""
        weights = self.tables.get(table, {}) if is_new else self.changed_weights[table]
        rows = tuple((self.names.ids[b], weight) for b, weight in weights.items())
        return encode_assign(self.route_names(routes), is_new, rows)

    def route_names(self, routes):
        return tuple(self.routes[route] for route in routes)

    def effective_level(self, table, route):
        """Where a level is set for all tables and one for this table, the lower one holds, with this table's tries."""
        both = [self.levels[key] for key in ((None, route), (table, route)) if key in self.levels]
        return (min(level for level, _ in both), both[-1][1]) if both else None

    def withdrawal_parts(self, stream, has_new_binding):
        """Withdrawals and reinstatements that the stream lacks.

        A proxy that was bound keeps exactly what is withdrawn here; anything else that it may hold is reinstated.
        """
        tables = frozenset(stream.table_by_route.values())
        if tables not in self.backends_in_tables:
            self.backends_in_tables[tables] = {b for table in tables for b in self.tables.get(table, ())}
        named = self.backends_in_tables[tables]
        is_partly_bound = len(stream.table_by_route) < len(self.routes)  # for some routes its weights are not known
        drop = sorted(
            b
            for b in self.withdrawn - stream.withdrawn
            if b in named or is_partly_bound and b in self.changed_withdrawals
        )
        undrop = sorted(
            b
            for b in (stream.withdrawn | stream.inherited) - self.withdrawn
            if (
                b in named or is_partly_bound and b in self.changed_withdrawals
                if stream.is_subset
                else has_new_binding or b in self.changed_withdrawals
            )
        )
        stream.withdrawn.update(drop)
        stream.ever_withdrawn.update(drop)
        stream.withdrawn.difference_update(undrop)
        stream.inherited.difference_update(undrop)
        return [
            self.encode_once(encode_assign, **{word: tuple(self.names.ids[b] for b in backends)})
            for word, backends in (("drop", drop), ("undrop", undrop))
            if backends
        ]
