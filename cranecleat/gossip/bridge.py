"""Between the planner's small indices and the keys that mean the same backend, in the same life, to every member.

No I/O. A suspicion of a backend that is unknown here, was forgotten, or has started anew since has a key that nothing
here has, and so no effect: nothing else has to check for it.
"""

import hashlib

KEY_BYTES = 8


def backend_key(name, started):
    """A backend in one life: its id and when it started (Unix time in microseconds; 0: long ago)."""
    return hashlib.blake2b(f"{name} {started}".encode(), digest_size=KEY_BYTES, person=b"backend").digest()


class Bridge:
    """What the planner misses, for peers; what peers miss, for the planner. `planner` and `names` are the service's."""

    def __init__(self, planner, names):
        self.planner, self.names = planner, names
        self.keys = {}  # index -> (name, start, key)
        self.reported = set()  # indices that peers' claims stand for

    def key(self, b):
        name, started = self.names.ids[b], self.planner.backends[b].started
        known = self.keys.get(b)
        if known is None or known[:2] != (name, started):
            known = self.keys[b] = name, started, backend_key(name, started)
        return known[2]

    def missing_answers(self):
        return {self.key(b): missing for b, missing in self.planner.missing_answers().items()}

    def events(self, pooled):
        """Calls of the planner for what the others miss: also once for each that they miss no more."""
        backends = self.planner.backends
        for b in [b for b in self.keys if b not in backends]:
            del self.keys[b]
        self.reported &= backends.keys()
        doubts = {}
        if pooled:
            doubts = {b: pooled[key] for b in backends if (key := self.key(b)) in pooled}
        calls = [("peers_reported_missing", b, 0.0) for b in sorted(self.reported - doubts.keys())]
        self.reported = set(doubts)
        return calls + [("peers_reported_missing", b, missing) for b, missing in sorted(doubts.items())]
