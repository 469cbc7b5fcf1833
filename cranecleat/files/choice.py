"""Which transport speaks to each proxy: its stream, files, or neither. No I/O; the time is handed in.

Going over needs the other way to be gone for a while, and going back needs the stream to have stood for longer, so
that a stream that comes and goes does not drag its proxy along: each change costs a whole set of tables. Nobody is
served by two.
"""

STREAM_LOST_AFTER_US, STREAM_STABLE_AFTER_US = (
    1_500_000,
    10_000_000,
)  # without a stream before files take over; with one before it is gone back to
STREAM, FILES = "stream", "files"


class Side:
    __slots__ = ("serves", "stream", "files", "changed")

    def __init__(self, now):
        self.serves, self.stream, self.files = None, None, None  # who serves; since when each of the two stands
        self.changed = now  # when the stream last came or went


class Choice:
    def __init__(self, lose=STREAM_LOST_AFTER_US, hold=STREAM_STABLE_AFTER_US):
        self.lose, self.hold, self.sides = lose, hold, {}

    def stream(self, now, proxy, up):
        side = self.sides.setdefault(proxy, Side(now))
        side.stream, side.changed = now if up else None, now

    def files(self, now, proxy, up):
        side = self.sides.setdefault(proxy, Side(now))
        if up and side.files is None or not up:
            side.files = now if up else None

    def serves(self, proxy):
        side = self.sides.get(proxy)
        return side and side.serves

    def decide(self, now):
        """Changes as (proxy, who serves from now on); who has neither any more is forgotten."""
        changes = []
        for proxy, side in list(self.sides.items()):
            best = self.best(now, side)
            if best != side.serves:
                side.serves = best
                changes.append((proxy, best))
            if best is None and side.stream is None and side.files is None:
                del self.sides[proxy]
        return changes

    def best(self, now, side):
        if side.serves == STREAM or side.serves is None:
            if side.stream is not None:
                return STREAM
            waited = now - side.changed >= self.lose
            return FILES if side.files is not None and waited else None
        if side.stream is not None and (side.files is None or now - side.stream >= self.hold):
            return STREAM
        return FILES if side.files is not None else None

    def due(self, now):
        """When `decide` may change something by itself, or None."""
        times = [
            side.changed + self.lose
            for side in self.sides.values()
            if side.serves is None and side.files is not None and side.stream is None
        ]
        times += [
            side.stream + self.hold for side in self.sides.values() if side.serves == FILES and side.stream is not None
        ]
        return min((at for at in times if at > now), default=None)
