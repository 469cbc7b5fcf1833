"""Merges the statements of members about backends, and decides how much of them counts. No I/O, no clock of its own.

A statement holds all that its origin claims at one time, so a merge takes the later statement of each origin. The same
statements give the same state in any order, any number of times and over any path (a join semilattice).
"""

from dataclasses import dataclass

from cranecleat.gossip.wire import PARTS_PER_ANSWER

TENTH_OF_SECOND_US = 100_000  # statements count time in tenths of a second
# A claim is repeated every 2 s. It counts half after the half-life and no longer counts after the lifetime.
HALF_LIFE_US = 2_500_000
LIFETIME_US = 12_000_000
RECENT_US = 3_000_000  # a statement younger than this is sent before all others
# The most missing answers that the claim of one member counts for: no more than the planner needs to see missing itself
# as proof that a backend does not answer.
MAX_MISSING_PER_MEMBER = 8.0


@dataclass(slots=True)
class ReceivedStatement:
    """A statement, when it was received, and how many datagrams from here have carried it."""

    statement: object
    received_at: int
    times_sent: int = 0


class Claims:
    """The latest statement of each member of the roster, including this one."""

    def __init__(self, me):
        self.me = me
        self.latest = {}  # origin -> ReceivedStatement
        self.offsets = {}  # origin -> (life, least difference of the time here and the version, in microseconds)

    def is_newer(self, statement):
        """Whether the statement is later than the one known of its origin."""
        known = self.latest.get(statement.origin)
        return known is None or statement.order > known.statement.order

    def merge(self, statement, now):
        """Keeps the statement if it is newer. Returns whether it was."""
        if not self.is_newer(statement):
            return False
        self.latest[statement.origin] = ReceivedStatement(statement, now)
        life, least_offset = self.offsets.get(statement.origin, (-1, 0))
        # The least offset in a life belongs to the quickest way here, whatever the clock of the origin shows.
        offset = now - statement.version * TENTH_OF_SECOND_US
        self.offsets[statement.origin] = (
            statement.life,
            min(offset, least_offset) if life == statement.life else offset,
        )
        return True

    def age(self, statement, now):
        """Microseconds since the statement was made, without the time of the quickest way here. A statement that was
        passed on late therefore counts as old."""
        _, offset = self.offsets[statement.origin]
        return max(now - statement.version * TENTH_OF_SECOND_US - offset, 0)

    def retain(self, members):
        """Forgets all origins that are not among `members`."""
        for by_origin in (self.latest, self.offsets):
            for origin in [origin for origin in by_origin if origin not in members]:
                del by_origin[origin]

    def current(self, now):
        """Yields origin, received statement and age for each statement of another member that still claims
        something."""
        for origin, received in self.latest.items():
            if origin != self.me and received.statement.entries:
                age = self.age(received.statement, now)
                if age < LIFETIME_US:
                    yield origin, received, age

    def pooled(self, now, counted, max_faulty):
        """Answers that the others miss, by backend key.

        For each backend this is the sum of the claims without the `max_faulty` largest ones, so that many members may
        claim anything without effect. A member that claims nothing of a backend gets answers from it. The sum is
        therefore scaled with the part of the members that claim something: from 0 at half of them to 1 at all, the
        `max_faulty` members left out of the count. `counted`: the members whose statements count.
        """
        claims = {}
        counted = set(counted)
        for origin, received, age in self.current(now):
            if origin in counted:
                for key, missing, tenths in received.statement.entries:
                    claim_age = age + tenths * TENTH_OF_SECOND_US
                    if claim_age < LIFETIME_US:
                        claims.setdefault(key, []).append(
                            min(missing / PARTS_PER_ANSWER, MAX_MISSING_PER_MEMBER) * 0.5 ** (claim_age / HALF_LIFE_US)
                        )
        pooled = {}
        for key, amounts in claims.items():
            weight = 2 * (len(amounts) - max_faulty) / max(len(counted) - max_faulty, 1) - 1
            if weight > 0:
                pooled[key] = sum(sorted(amounts)[: len(amounts) - max_faulty]) * weight
        return pooled

    def next_to_send(self, now, limit):
        """The statement that a datagram should carry; None if all were sent `limit` times or are old.

        Recent statements come first, as many others may not know them yet; among these the one sent least often, then
        the newest. A statement without entries tells who is alive and does not grow old.
        """
        best = None
        for received in self.latest.values():
            if received.times_sent < limit:
                age = self.age(received.statement, now)
                if not received.statement.entries or age < LIFETIME_US:
                    rank = age > RECENT_US, received.times_sent, age
                    if best is None or rank < best[0]:
                        best = rank, received
        return best and best[1]

    def reset_send_counts(self):
        """Lets all statements be sent again, as a member that has come back may have missed them."""
        for received in self.latest.values():
            received.times_sent = 0
