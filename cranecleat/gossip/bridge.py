"""Maps the planner's backend indices to keys that mean the same backend in the same life to every member. No I/O.

A claim about a backend that is unknown here, was forgotten, or has started again since has a key that no backend here
has. Such a claim has no effect, so nothing else needs to check for it.
"""

import hashlib

KEY_BYTES = 8


def backend_key(name, started):
    """The key of a backend in one life: of its id and its start (Unix time in microseconds; 0: unknown, long ago)."""
    return hashlib.blake2b(f"{name} {started}".encode(), digest_size=KEY_BYTES, person=b"backend").digest()


class Bridge:
    """Turns the planner's unanswered calls into claims for peers, and peers' claims into events for the planner.

    `planner` and `names` are those of the coordinator.
    """

    def __init__(self, planner, names):
        self.planner = planner
        self.names = names
        self.keys = {}  # backend index -> (name, start, key)
        self.reported = set()  # indices that the planner was last told of with claims of peers

    def key(self, b):
        """The key of a backend by its index. It is computed again after the backend has started anew."""
        name, started = self.names.ids[b], self.planner.backends[b].started
        known = self.keys.get(b)
        if known is None or known[:2] != (name, started):
            known = self.keys[b] = name, started, backend_key(name, started)
        return known[2]

    def missing_answers(self):
        """Unanswered calls by backend key, for the agent."""
        return {self.key(b): missing for b, missing in self.planner.missing_answers().items()}

    def events(self, pooled):
        """Events for the planner with what the other members miss. A backend that they no longer miss answers from gets
        one last event with 0."""
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
