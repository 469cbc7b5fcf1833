"""Maps the planner's backend indices to keys that every member computes alike for one backend in one life. No I/O.

If a backend is unknown here, was forgotten, or has started again since, no backend here has the key of a claim about
it. Such a claim has no effect without any further check.
"""

import hashlib

KEY_BYTES = 8


def backend_key(name, started):
    """The key of a backend in one life: a hash of its id and of the time at which it started (Unix time in
    microseconds; 0 if it is unknown, which means long ago)."""
    return hashlib.blake2b(f"{name} {started}".encode(), digest_size=KEY_BYTES, person=b"backend").digest()


class Bridge:
    """Turns the planner's missing answers into claims for peers, and peers' claims into events for the planner.

    `planner` and `names` are those of the coordinator.
    """

    def __init__(self, planner, names):
        self.planner = planner
        self.names = names
        self.keys = {}  # backend index -> (id, start time, key)
        self.reported = set()  # indices of the backends that the last events named as missed by peers

    def key(self, b):
        """The key of the backend with index `b`. It is computed again after the backend has restarted."""
        name, started = self.names.ids[b], self.planner.backends[b].started
        known = self.keys.get(b)
        if known is None or known[:2] != (name, started):
            known = self.keys[b] = name, started, backend_key(name, started)
        return known[2]

    def missing_answers(self):
        """Number of missing answers by backend key, for the agent."""
        return {self.key(b): missing for b, missing in self.planner.missing_answers().items()}

    def events(self, pooled):
        """Events for the planner with the number of answers that the other members miss. `pooled`: this number by
        backend key. A backend from which they no longer miss answers gets one last event with 0."""
        backends = self.planner.backends
        for b in [b for b in self.keys if b not in backends]:
            del self.keys[b]
        self.reported &= backends.keys()
        missing_by_backend = {}
        if pooled:
            missing_by_backend = {b: pooled[key] for b in backends if (key := self.key(b)) in pooled}
        events = [("peers_reported_missing", b, 0.0) for b in sorted(self.reported - missing_by_backend.keys())]
        self.reported = set(missing_by_backend)
        return events + [("peers_reported_missing", b, missing) for b, missing in sorted(missing_by_backend.items())]
