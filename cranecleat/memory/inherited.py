"""Which backends proxies may still hold as withdrawn from an earlier stream, here or at another coordinator.

A proxy keeps a withdrawal when its stream ends, and nothing that this run records shows what an earlier run or another
coordinator withdrew. But only a backend that was not running is withdrawn, and the list shows most of these: see
`InheritedWithdrawals.list_changed`. Nothing here makes a decision.
"""


class InheritedWithdrawals:
    """What the list of backends says about withdrawals that proxies may hold from earlier streams.

    Backends are given by index; a `stream` is a `streams.Stream`.
    """

    def __init__(self):
        self.running = set()  # backends that the list shows as running
        self.inheritable = set()  # those of them that a proxy may hold as withdrawn
        # Backend that was ever listed as not running -> the number of streams opened until it first was.
        self.first_away = {}

    def list_changed(self, scope, entries, stream_count):
        """Notes which running backends a proxy may hold as withdrawn. Returns those that are noted newly, sorted.

        A backend that is listed as running is noted if it

        - was listed as not running, was missing from a complete list, or was not listed before, or
        - has a start time: it was restarted, and may have been away before the list was read or between two changes.

        In the list that is held at the start, only the latter can be told. `scope` and `entries` are those of
        `Planner.backends_listed`, `stream_count` is the number of streams that have been opened so far.
        """
        if scope != "changes":
            self.mark_away(self.running.difference(b for b, *_ in entries), stream_count)
        self.mark_away({b for b, state, *_ in entries if state != "running"}, stream_count)
        running = {b: started for b, state, *_, started in entries if state == "running"}
        appeared = set() if scope == "held" else running.keys() - self.running
        restarted = {b for b, started in running.items() if started}
        found = appeared | (restarted - self.inheritable)
        self.running.update(running)
        self.inheritable.update(found)
        return sorted(found)

    def mark_away(self, backends, stream_count):
        """Notes that backends are not listed as running."""
        self.running.difference_update(backends)
        self.inheritable.difference_update(backends)
        for b in backends:
            self.first_away.setdefault(b, stream_count)

    def may_inherit(self, stream):
        """Whether a proxy that joins with this stream may hold any withdrawal from an earlier one."""
        return stream.inherits_any or bool(self.first_away)

    def held_by(self, stream, backends):
        """Those of the backends that the proxy may still hold as withdrawn from an earlier stream."""
        not_reinstated = backends - stream.reinstated
        if stream.inherits_any:
            return not_reinstated
        return {b for b in not_reinstated if b in self.first_away and self.first_away[b] < stream.join_number}

    def forget(self, backend):
        """Frees the index of a backend."""
        self.running.discard(backend)
        self.inheritable.discard(backend)
        self.first_away.pop(backend, None)
