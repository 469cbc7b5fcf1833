"""Merges the statements of members about backends, and computes how many missing answers they count for. No I/O, no
clock of its own.

A statement holds all that its origin claims at one time, so a merge takes the later statement of each origin. The same
statements give the same state in any order, any number of times and over any path (a join semilattice).
"""

from dataclasses import dataclass

from cranecleat.gossip.wire import PARTS_PER_ANSWER

TENTH_OF_SECOND_US = 100_000  # statements count time in tenths of a second
HALF_LIFE_US = 2_500_000  # the weight of a claim halves in this time; its origin repeats it every 2 s
LIFETIME_US = 12_000_000  # a claim as old as this no longer counts
RECENT_US = 3_000_000  # a statement younger than this is sent before all others
# The claim of one member about a backend counts for no more missing answers than this: the number that the planner
# itself needs to see as proof that a backend does not answer.
MAX_MISSING_PER_MEMBER = 8.0


@dataclass(slots=True)
class ReceivedStatement:
    """A statement, when it was received (or made, for a statement of this member), and how many datagrams from here
    have carried it."""

    statement: object
    received_at: int
    times_sent: int = 0


class Claims:
    """The latest statement of each member of the roster, including this one."""

    def __init__(self, me):
        self.me = me
        self.latest = {}  # origin -> ReceivedStatement
        # origin -> (life, least offset). The offset is the time of receipt here minus the time that the version tells,
        # in microseconds.
        self.offsets = {}

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
        # The least offset in a life is that of the statement that arrived fastest, whatever the clock of the origin
        # shows.
        offset = now - statement.version * TENTH_OF_SECOND_US
        self.offsets[statement.origin] = (
            statement.life,
            min(offset, least_offset) if life == statement.life else offset,
        )
        return True

    def age(self, statement, now):
        """Microseconds since the statement was made, less the delay of the fastest statement of the same origin and
        life. A statement that was passed on late therefore counts as old."""
        _, offset = self.offsets[statement.origin]
        return max(now - statement.version * TENTH_OF_SECOND_US - offset, 0)

    def retain(self, members):
        """Forgets all origins that are not among `members`."""
        for by_origin in (self.latest, self.offsets):
            for origin in [origin for origin in by_origin if origin not in members]:
                del by_origin[origin]

    def current(self, now):
        """Yields origin, received statement and age in microseconds for each statement of another member that holds
        claims and is not older than a claim's lifetime."""
        for origin, received in self.latest.items():
            if origin != self.me and received.statement.entries:
                age = self.age(received.statement, now)
                if age < LIFETIME_US:
                    yield origin, received, age

    def pooled(self, now, counted_members, max_faulty):
        """Number of answers that the other members miss, by backend key. Only statements of `counted_members` count.

        For each backend this is the sum of the claims without the `max_faulty` largest ones, so that up to that many
        members can claim anything without effect. A member that claims nothing about a backend is taken to get answers
        from it. The sum is therefore multiplied by a weight that grows with the fraction of the counted members that
        claim something about the backend: 0 up to one half, 1 for all of them. `max_faulty` members are subtracted from
        both numbers of the fraction.
        """
        claims = {}
        counted_members = set(counted_members)
        for origin, received, age in self.current(now):
            if origin in counted_members:
                for key, missing, age_tenths in received.statement.entries:
                    claim_age = age + age_tenths * TENTH_OF_SECOND_US
                    if claim_age < LIFETIME_US:
                        claims.setdefault(key, []).append(
                            min(missing / PARTS_PER_ANSWER, MAX_MISSING_PER_MEMBER) * 0.5 ** (claim_age / HALF_LIFE_US)
                        )
        pooled = {}
        for key, amounts in claims.items():
            weight = 2 * (len(amounts) - max_faulty) / max(len(counted_members) - max_faulty, 1) - 1
            if weight > 0:
                pooled[key] = sum(sorted(amounts)[: len(amounts) - max_faulty]) * weight
        return pooled

    def next_to_send(self, now, limit):
        """The `ReceivedStatement` that a datagram should carry; None if all were sent `limit` times or are too old.

        Recent statements come first, as many members may not know them yet; among these the one sent least often, then
        the newest. A statement without entries still tells the life and incarnation of its origin, so it is sent
        whatever its age.
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
