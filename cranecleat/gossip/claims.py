"""What members state of backends, merged, and what of it may be believed. No I/O, no clock of its own.

A statement is all that its origin has to say at one time, so that merging is taking the later one of each origin: in
any order, any number of times, over any path the same statements give the same state (a join semilattice).
"""

from dataclasses import dataclass

from cranecleat.gossip.wire import PARTS

TENTH = 100_000  # microseconds: statements count time in tenths of a second
HALF, LASTS = 2_500_000, 12_000_000  # a claim, said again each 2 s, counts half after this long, then nothing
LATELY = 3_000_000  # a statement younger than this goes before all others
MOST = 8.0  # answers missing that one member's claim may count for: no more than a proof of one's own takes


@dataclass(slots=True)
class Held:
    statement: object
    at: int  # when it came
    told: int = 0  # datagrams that carried it from here


class Claims:
    """The last statement of each member of the roster, our own among them."""

    def __init__(self, me):
        self.me, self.latest, self.offsets = me, {}, {}

    def newer(self, statement):
        known = self.latest.get(statement.origin)
        return known is None or statement.order > known.statement.order

    def merge(self, statement, now):
        """Whether it says something that was not known."""
        if not self.newer(statement):
            return False
        self.latest[statement.origin] = Held(statement, now)
        life, offset = self.offsets.get(statement.origin, (-1, 0))
        took = now - statement.version * TENTH  # the least of them is the quickest way here, whatever its clock says
        self.offsets[statement.origin] = statement.life, min(took, offset) if life == statement.life else took
        return True

    def age(self, statement, now):
        """Microseconds since it was made, beyond the quickest way here. What was passed on late counts as old."""
        _, offset = self.offsets[statement.origin]
        return max(now - statement.version * TENTH - offset, 0)

    def keep(self, members):
        for kept in (self.latest, self.offsets):
            for one in [one for one in kept if one not in members]:
                del kept[one]

    def current(self, now):
        """Of the others, those statements that still say something of backends."""
        for origin, held in self.latest.items():
            if origin != self.me and held.statement.entries:
                age = self.age(held.statement, now)
                if age < LASTS:
                    yield origin, held, age

    def pooled(self, now, counted, liars):
        """Answers that the others miss, by backend's key: the sum of what they claim without the `liars` largest
        claims, so that as many members may say what they like, times how far the part of the rest that claims anything
        is over a half, as whoever says nothing of a backend has answers from it. `counted`: whose statements count."""
        claims, counted = {}, set(counted)
        for origin, held, age in self.current(now):
            if origin in counted:
                for key, missing, tenths in held.statement.entries:
                    old = age + tenths * TENTH
                    if old < LASTS:
                        claims.setdefault(key, []).append(min(missing / PARTS, MOST) * 0.5 ** (old / HALF))
        pooled = {}
        for key, each in claims.items():
            part = 2 * (len(each) - liars) / max(len(counted) - liars, 1) - 1
            if part > 0:
                pooled[key] = sum(sorted(each)[: len(each) - liars]) * part
        return pooled

    def to_tell(self, now, limit):
        """The statement that is worth a datagram most: of those made lately (as many others may never have been told),
        the one told least often, then the newest; None if all were told `limit` times or are old. A statement without
        entries says who is alive and does not grow old."""
        best = None
        for held in self.latest.values():
            if held.told < limit:
                age = self.age(held.statement, now)
                if not held.statement.entries or age < LASTS:
                    rank = age > LATELY, held.told, age
                    if best is None or rank < best[0]:
                        best = rank, held
        return best and best[1]

    def tell_again(self):
        """Somebody has come back and may have missed what the rest knows."""
        for held in self.latest.values():
            held.told = 0
