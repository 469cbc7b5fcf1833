"""Who is joined, what each stream is bound to and was told; turns a round of decisions into messages.

The planner speaks of tables that many proxies use; a stream knows only its own. A round's decisions are kept
until `messages` and go out as what has to change at each proxy, the same bytes made once for many of them.
"""

from cranecleat.protocol.lines import encode_assign, join_lines


class Stream:
    def __init__(self, connection, typical, ever, brought, place):
        self.connection, self.typical = connection, typical  # its calls a second, as it said
        self.place, self.is_subset = place, False  # in the order of joining, in which messages go out; see `bind`
        self.bound = {}  # route -> table
        self.shut, self.ever = set(), ever  # backends shut out on this stream, and on any of the proxy's
        self.brought = brought  # those that it may still shut out from earlier ones


class Streams:
    """The planner's `Writer`."""

    def __init__(self, names, routes, set_timer, watch, log):
        self.names, self.routes = names, routes  # backends' names; routes' names
        self.set_timer, self.watch, self.log = set_timer, watch, log
        self.places, self.users = 0, {}  # streams so far; table -> proxies with a route bound to it
        self.joined, self.ever = {}, {}  # proxy -> stream; proxy -> backends that it was ever told to shut out
        self.tables, self.withdrawn = {}, set()  # table -> {backend: weight}; backends withdrawn
        self.left = set()  # backends that may have been withdrawn elsewhere and run again: see `listed`
        self.levels = {}  # (table or None for all, route) -> (level, tries)
        self.clear()

    def clear(self):
        """Forgets what this round has changed."""
        self.lines, self.fresh, self.moved, self.admitted = {}, {}, set(), set()
        self.ack_number, self.ready, self.made, self.held = None, [], {}, {}

    # Who is joined

    def backends_listed(self, scope, entries):
        """Which backends a proxy may bring shut out by another coordinator: those that have ever left, as seen here,
        and of the list that was held at the start those that have been restarted, which may have been before it."""
        if scope == "whole":
            self.left.update(set(self.names.index.values()).difference(b for b, *_ in entries))
        self.left.update(b for b, state, *_, started in entries if state != "running" or scope == "held" and started)

    def typical_rate(self):
        return sum(stream.typical for stream in self.joined.values())

    def join(self, proxy, connection, typical, standing):
        """Returns the stream that this one replaces, and how many backends the proxy may come with shut out.
        One that holds ordered tables may have them from another coordinator, or from an earlier life of this
        one: it may shut out anything that has ever left."""
        old, ever = self.joined.get(proxy), self.ever.setdefault(proxy, set())
        brought = set(ever) if standing else ever | self.left
        if old:
            self.unbind(proxy, old)
        self.places += 1
        self.joined.pop(proxy, None)  # it is the last to have joined
        self.joined[proxy] = Stream(connection, typical, ever, brought, self.places)
        return old, len(brought - self.withdrawn)  # what is withdrawn here is not let back

    def leave(self, proxy, connection):
        """Whether that was the proxy's stream: the end of one that was replaced means nothing."""
        stream = self.joined.get(proxy)
        current = stream is not None and stream.connection is connection
        if current:
            self.unbind(proxy, stream)
            del self.joined[proxy]
        return current

    def unbind(self, proxy, stream):
        for table in set(stream.bound.values()):
            self.users[table].discard(proxy)

    # What the planner decides

    def set_weight(self, table, backend, weight):
        lines = self.tables.setdefault(table, {})
        lines[backend] = weight
        if not weight:
            del lines[backend]
        self.lines.setdefault(table, {})[backend] = weight

    def bind(self, proxy, table, routes, is_subset=False):
        """`narrow`: what the proxy brings shut out is let back where a table names it, not all at once."""
        if proxy in self.joined:
            self.joined[proxy].is_subset, bound = is_subset, self.joined[proxy].bound
            for route in routes:
                before, bound[route] = bound.get(route), table
                if before is not None and before not in bound.values():
                    self.users[before].discard(proxy)
                self.users.setdefault(table, set()).add(proxy)
                self.fresh.setdefault(proxy, set()).add(route)

    def withdraw(self, backend, out):
        (self.withdrawn.add if out else self.withdrawn.discard)(backend)
        self.moved.add(backend)

    def forget(self, backend):
        """No table names it and no proxy is told of it any more: its name and its index are free."""
        self.withdrawn.discard(backend)
        self.left.discard(backend)
        for told in (*self.ever.values(), *(held for s in self.joined.values() for held in (s.shut, s.brought))):
            told.discard(backend)
        self.names.forget(backend)

    def set_admission(self, table, routes, level, tries):
        for route in routes:
            self.levels[table, route] = level, tries
            self.admitted.add((table, route))

    def request_ack(self, number):
        """Comes last in a round. Returns who gets a message: a proxy that knows all of it already gets none."""
        self.ack_number = number
        self.ready = list(self.written())
        return {proxy for proxy, *_ in self.ready}

    # What each proxy has to be told

    def messages(self):
        """The round's messages as (connection, bytes), at most one a proxy."""
        ready = list(self.written()) if self.ack_number is None else self.ready
        self.clear()
        return [message for _, *message in ready]

    def written(self):
        self.shuts = bool(self.moved) or any(b in self.withdrawn for lines in self.lines.values() for b in lines)
        for proxy in self.concerned():
            stream = self.joined[proxy]
            parts = self.parts(stream, self.fresh.get(proxy, ()))
            if parts:
                if self.ack_number is not None:
                    parts.append(self.once(encode_assign, stamp=self.ack_number))
                yield proxy, stream.connection, self.once(join_lines, tuple(parts))

    def concerned(self):
        """Whom this round may have something for, in the order of joining: all, or users of what has changed."""
        if self.moved or any(table is None for table, _ in self.admitted):
            return list(self.joined)
        some = {p for p in self.fresh if p in self.joined}
        for table in (*self.lines, *(table for table, _ in self.admitted)):
            some |= self.users.get(table, set())
        return sorted(some, key=lambda p: self.joined[p].place)

    def once(self, make, *values, **named):
        """The same bytes are made once a round, however many proxies they go to."""
        key = make, values, tuple(named.items())
        if key not in self.made:
            self.made[key] = make(*values, **named)
        return self.made[key]

    def parts(self, stream, fresh):
        parts, groups = [], {}
        for route, table in sorted(stream.bound.items()):
            groups.setdefault((route in fresh, table), []).append(route)
        for (new, table), routes in groups.items():
            if new or table in self.lines:
                parts.append(self.once(self.rows, table, tuple(routes), new))
        levels = {}
        for route in range(len(self.routes)):
            table = stream.bound.get(route)
            if route in fresh or {(None, route), (table, route)} & self.admitted:
                levels.setdefault(self.level(table, route), []).append(route)
        parts += [
            self.once(encode_assign, self.named(routes), level=level) for level, routes in levels.items() if level
        ]
        told = stream.is_subset and (stream.shut or stream.brought)
        changed = self.shuts or told and not self.lines.keys().isdisjoint(stream.bound.values())
        return parts + (self.shutting(stream, bool(fresh)) if fresh or changed else [])

    def rows(self, table, routes, new):
        lines = self.tables.get(table, {}) if new else self.lines[table]
        return encode_assign(self.named(routes), new, tuple((self.names.ids[b], w) for b, w in lines.items()))

    def named(self, routes):
        return tuple(self.routes[route] for route in routes)

    def level(self, table, route):
        """Where a level for all and one of the table are set the lower one holds, with the table's tries."""
        both = [self.levels[key] for key in ((None, route), (table, route)) if key in self.levels]
        return (min(level for level, _ in both), both[-1][1]) if both else None

    def shutting(self, stream, bound):
        """A proxy that was bound keeps to what is withdrawn here: the rest that it may hold is let back."""
        tables = frozenset(stream.bound.values())
        if tables not in self.held:
            self.held[tables] = {b for table in tables for b in self.tables.get(table, ())}
        held = self.held[tables]
        loose = len(stream.bound) < len(self.routes)  # for some routes its lines are not known
        out = sorted(b for b in self.withdrawn - stream.shut if b in held or loose and b in self.moved)
        back = sorted(
            b
            for b in (stream.shut | stream.brought) - self.withdrawn
            if (b in held or loose and b in self.moved if stream.is_subset else bound or b in self.moved)
        )
        stream.shut.update(out)
        stream.ever.update(out)
        stream.shut.difference_update(back)
        stream.brought.difference_update(back)
        return [
            self.once(encode_assign, **{word: tuple(self.names.ids[b] for b in which)})
            for word, which in (("drop", out), ("undrop", back))
            if which
        ]
