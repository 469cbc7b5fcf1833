"""Which proxies are joined, which tables each stream is bound to, and what it was sent; encodes a round as messages.

The planner works with tables that many proxies share, while a stream knows only its own routes. The decisions of a
round are collected until `messages`, which returns what has to change at each proxy. Equal parts are encoded once for
many proxies. A `proxy` is a proxy's id here, and a `Stream` holds what is known of it.
"""

from cranecleat.memory.inherited import InheritedWithdrawals
from cranecleat.protocol.lines import encode_assign, join_lines


class Stream:
    """The current stream of one proxy."""

    def __init__(self, connection, typical_rate, inherits_any, join_number):
        self.connection = connection
        self.typical_rate = typical_rate  # calls per second, as the proxy stated when it joined
        self.join_number = join_number  # messages go out in the order of joining
        self.is_subset = False  # see `Streams.bind`
        self.table_by_route = {}  # only the routes that are bound
        self.withdrawn = set()  # backends that were withdrawn on this stream and not reinstated
        # Whether the proxy may hold any backend as withdrawn from an earlier stream: see `Streams.join`.
        self.inherits_any = inherits_any
        self.reinstated = set()  # backends that the proxy was told on this stream to use again


class Streams:
    """The planner's `Writer` for proxies that are served through streams."""

    def __init__(self, names, routes, set_timer, watch, log):
        self.names, self.routes = names, routes  # backend ids and their indices; the names of the routes
        self.set_timer, self.watch, self.log = set_timer, watch, log
        self.join_count = 0  # streams so far
        self.proxies_by_table = {}  # table -> proxies with a route bound to it
        self.joined = {}  # proxy -> stream
        self.tables = {}  # table -> {backend: weight}
        self.withdrawn = set()  # backends that the planner has withdrawn
        self.inherited = InheritedWithdrawals()
        self.admissions = {}  # (table or None for all, route) -> (level, tries)
        self.clear()

    def clear(self):
        """Forgets what this round has changed."""
        self.changed_weights = {}  # table -> {backend: weight}
        self.new_bindings = {}  # proxy -> routes
        self.changed_withdrawals = set()  # backends that were withdrawn or reinstated
        self.changed_admissions = set()  # (table or None for all, route)
        self.ack_number = None
        self.prepared_messages = []  # (proxy, connection, bytes)
        # Caches: encoded parts, and what `withdrawal_parts` needs of each set of tables.
        self.encoded = {}
        self.backends_in_tables = {}
        self.reinstatable_in_tables = {}

    # Which proxies are joined

    def backends_listed(self, scope, entries):
        """Takes a list of backends, with the values of `Planner.backends_listed`. Returns the running backends that
        proxies may hold as withdrawn, as far as that was not known before."""
        return self.inherited.list_changed(scope, entries, self.join_count)

    def typical_rate(self):
        """The sum of the typical rates of all joined proxies."""
        return sum(stream.typical_rate for stream in self.joined.values())

    def join(self, proxy, connection, typical_rate, uses_initial_table):
        """Adds a stream; returns the stream that it replaces, and the new one.

        A proxy with tables from a coordinator may hold any backend as withdrawn, also one that this run gets to know
        later: another coordinator or an earlier run may have told it so. A proxy without such tables may have been
        withdrawn backends while it waited for its tables. These are taken to be among those that this run has by then
        seen listed as not running, which spares new proxies a line for each backend of a roll-out.
        """
        replaced = self.joined.get(proxy)
        if replaced:
            self.unbind(proxy, replaced)
        self.join_count += 1
        self.joined.pop(proxy, None)  # so that it becomes the last in the order of joining
        self.joined[proxy] = Stream(connection, typical_rate, not uses_initial_table, self.join_count)
        return replaced, self.joined[proxy]

    def may_inherit(self, stream):
        """Whether the proxy may hold any withdrawal from an earlier stream, as far as is known when it joins."""
        return self.inherited.may_inherit(stream)

    def inherited_count(self, stream):
        """How many backends are to be reinstated at a proxy because it may hold them as withdrawn."""
        return len(self.inherited.held_by(stream, self.inherited.inheritable - self.withdrawn))

    def leave(self, proxy, connection):
        """Ends a stream. Returns False, and does nothing, if the proxy has a newer stream or none."""
        stream = self.joined.get(proxy)
        is_current = stream is not None and stream.connection is connection
        if is_current:
            self.unbind(proxy, stream)
            del self.joined[proxy]
        return is_current

    def unbind(self, proxy, stream):
        """Takes a proxy off the tables that its stream is bound to."""
        for table in set(stream.table_by_route.values()):
            self.proxies_by_table[table].discard(proxy)

    # What the planner decides

    def set_weight(self, table, backend, weight):
        """Sets an entry of a table; weight 0 removes it."""
        weights = self.tables.setdefault(table, {})
        weights[backend] = weight
        if not weight:
            del weights[backend]
        self.changed_weights.setdefault(table, {})[backend] = weight

    def bind(self, proxy, table, routes, is_subset=False):
        """Binds routes of a proxy to a table.

        With `is_subset`, a backend that the proxy may hold as withdrawn, and that is not withdrawn here, is reinstated
        once a table of the proxy names it; otherwise all of them are reinstated at once. See `withdrawal_parts`.
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
        """Withdraws a backend, or reinstates it if `withdrawn` is false."""
        (self.withdrawn.add if withdrawn else self.withdrawn.discard)(backend)
        self.changed_withdrawals.add(backend)

    def forget(self, backend):
        """Frees the name and the index of a backend that no table names and no proxy is told of any more.

        Returns the proxies that may hold it as withdrawn: they may hold it still when it is listed again, as new.
        """
        holders = []
        for proxy, stream in self.joined.items():
            if backend in stream.withdrawn or self.inherited.held_by(stream, {backend}):
                holders.append(proxy)
                stream.inherits_any = True
            stream.withdrawn.discard(backend)
            stream.reinstated.discard(backend)
        self.withdrawn.discard(backend)
        self.inherited.forget(backend)
        self.names.forget(backend)
        return holders

    def set_admission(self, table, routes, level, tries):
        """Sets level and tries of routes in one table or, with `table` None, in all."""
        for route in routes:
            self.admissions[table, route] = level, tries
            self.changed_admissions.add((table, route))

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
        """Yields (proxy, connection, bytes) for each proxy with something new, and records withdrawals as sent.

        It runs once a round: what it has yielded counts as sent.
        """
        # Whether the round changed a withdrawal, or the weight of a withdrawn backend, which its table may name by now.
        self.affects_withdrawals = bool(self.changed_withdrawals) or any(
            b in self.withdrawn for weights in self.changed_weights.values() for b in weights
        )
        self.reinstatable = self.inherited.inheritable - self.withdrawn
        # Tables in which the round wrote an entry of a backend that their proxies may hold as withdrawn.
        self.reinstating_tables = {
            table
            for table, weights in self.changed_weights.items()
            if not self.reinstatable.isdisjoint(b for b, weight in weights.items() if weight)
        }
        for proxy in self.affected_proxies():
            stream = self.joined[proxy]
            parts = self.message_parts(stream, self.new_bindings.get(proxy, ()))
            if parts:
                if self.ack_number is not None:
                    parts.append(self.encode_once(encode_assign, stamp=self.ack_number))
                yield proxy, stream.connection, self.encode_once(join_lines, tuple(parts))

    def affected_proxies(self):
        """Proxies that the round may change something for, in the order of joining: all, or users of changed tables."""
        if self.changed_withdrawals or any(table is None for table, _ in self.changed_admissions):
            return list(self.joined)
        proxies = {p for p in self.new_bindings if p in self.joined}
        for table in (*self.changed_weights, *(table for table, _ in self.changed_admissions)):
            proxies |= self.proxies_by_table.get(table, set())
        return sorted(proxies, key=lambda p: self.joined[p].join_number)

    def encode_once(self, encode, *values, **named):
        """Encodes equal values once in a round, however many proxies they go to."""
        key = encode, values, tuple(named.items())
        if key not in self.encoded:
            self.encoded[key] = encode(*values, **named)
        return self.encoded[key]

    def message_parts(self, stream, new_routes):
        """The encoded parts of a message: weights, levels, then withdrawals, which it records as sent."""
        parts, routes_by_table = [], {}
        for route, table in sorted(stream.table_by_route.items()):
            routes_by_table.setdefault((route in new_routes, table), []).append(route)
        for (is_new, table), routes in routes_by_table.items():
            if is_new or table in self.changed_weights:
                parts.append(self.encode_once(self.encode_rows, table, tuple(routes), is_new))
        routes_by_admission = {}  # (level, tries), or None where none is set -> routes
        for route in range(len(self.routes)):
            table = stream.table_by_route.get(route)
            if route in new_routes or {(None, route), (table, route)} & self.changed_admissions:
                routes_by_admission.setdefault(self.effective_admission(table, route), []).append(route)
        parts += [
            self.encode_once(encode_assign, self.route_names(routes), level=admission)
            for admission, routes in routes_by_admission.items()
            if admission
        ]
        changed = self.affects_withdrawals or not self.reinstating_tables.isdisjoint(stream.table_by_route.values())
        return parts + (self.withdrawal_parts(stream, bool(new_routes)) if new_routes or changed else [])

    def encode_rows(self, table, routes, is_new):
        """The whole table for a new binding, otherwise only the weights that have changed."""
        weights = self.tables.get(table, {}) if is_new else self.changed_weights[table]
        rows = tuple((self.names.ids[b], weight) for b, weight in weights.items())
        return encode_assign(self.route_names(routes), is_new, rows)

    def route_names(self, routes):
        """The names of routes given by index."""
        return tuple(self.routes[route] for route in routes)

    def effective_admission(self, table, route):
        """The (level, tries) of a route in a table; None if none is set.

        Where one is set for all tables and one for this table, the lower level holds, with this table's tries.
        """
        found = [self.admissions[key] for key in ((None, route), (table, route)) if key in self.admissions]
        return (min(level for level, _ in found), found[-1][1]) if found else None

    def withdrawal_parts(self, stream, has_new_binding):
        """Withdrawals and reinstatements that the stream lacks; they count as sent from now on.

        The withdrawal of a backend is sent if a table of the proxy names it. While some routes of the proxy are not
        bound, it is also sent if the round changed it, as the proxy may use the backend on these routes.

        A backend that was withdrawn on this stream, and is not withdrawn any more, is reinstated at each new binding,
        or if the round changed its withdrawal. With `is_subset`, the conditions are those by which a withdrawal is
        sent; other backends stay as they are at the proxy. The same holds for backends that the proxy may hold as
        withdrawn from an earlier stream (`inherited_reinstatements`).
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
        reinstated_here = {
            b
            for b in stream.withdrawn - self.withdrawn
            if (
                b in named or is_partly_bound and b in self.changed_withdrawals
                if stream.is_subset
                else has_new_binding or b in self.changed_withdrawals
            )
        }
        undrop = sorted(reinstated_here | self.inherited_reinstatements(stream, tables, has_new_binding))
        stream.withdrawn.update(drop)
        stream.withdrawn.difference_update(undrop)
        stream.reinstated.update(undrop)
        return [
            self.encode_once(encode_assign, **{word: tuple(self.names.ids[b] for b in backends)})
            for word, backends in (("drop", drop), ("undrop", undrop))
            if backends
        ]

    def inherited_reinstatements(self, stream, tables, has_new_binding):
        """Backends that the proxy may hold as withdrawn from an earlier stream and that are reinstated in this round.

        These are, as far as they were not reinstated on this stream before: at a new binding, all of them or, with
        `is_subset`, those that the proxy's tables name; else those whose entry in these tables the round wrote, and,
        while some routes of the proxy are not bound, those whose withdrawal it changed.
        """
        if not self.reinstatable:
            return set()
        if has_new_binding and not stream.is_subset:
            return self.inherited.held_by(stream, self.reinstatable)
        key = tables, has_new_binding
        if key not in self.reinstatable_in_tables:
            weights_of = self.tables if has_new_binding else self.changed_weights
            named = {b for table in tables for b, weight in weights_of.get(table, {}).items() if weight}
            self.reinstatable_in_tables[key] = self.reinstatable & named
        found = self.reinstatable_in_tables[key]
        if len(stream.table_by_route) < len(self.routes):
            found = found | (self.reinstatable & self.changed_withdrawals)
        return self.inherited.held_by(stream, found)
