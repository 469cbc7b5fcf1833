"""Membership after SWIM (Das, Gupta and Motivala, DSN 2002) and Lifeguard (Dadgar, Phillips and Currey, 2017).

One small state machine a member. No I/O; the time and chance are handed in. A member is believed dead only on what was
seen here: a probe of our own that nobody could get answered, and a time to refute. What others say starts or shortens
that time and never replaces the probe. Incarnations are raised by their owner alone, in a signed statement.
"""

from dataclasses import dataclass, field
from math import log, log2, log10

SECOND = 1_000_000
PERIOD = SECOND  # from one probe to the next
ANSWER = 3 * PERIOD // 10  # for a direct answer, before others are asked
HELPERS = 3  # others that are asked
UNHEALTHY = 8  # the most that one's own time-outs are stretched by
SUSPECTED, STRETCH = 4, 3  # periods by log10 of the roster: the least time to refute; how much longer it is at the most
CONFIRMED = 3  # others that suspect it too, after which the least time holds
SELDOM = 3  # every third probe goes to one that is dead or was never heard
LATE = PERIOD // 2  # a probe step that comes this late shows that we stood still ourselves


@dataclass(slots=True)
class Standing:
    """What is believed of one member. `state`: unheard, alive, suspect, dead or left."""

    state: str = "unheard"
    life: int = 0
    incarnation: int = 0
    since: int = 0  # of the state
    by: set = field(default_factory=set)  # who suspects it beside us
    tested: bool = False  # a probe of our own has failed since it was suspected


@dataclass(slots=True)
class Probe:
    target: int
    nonce: int
    at: int
    helpers: tuple = ()
    heard: bool = False  # of any helper


class Members:
    """Calls return what to do as tuples: ("ping", member, nonce), ("ask", helper, target, nonce)."""

    def __init__(self, me, others, draw, now):
        self.me, self.draw = me, draw  # draw(n): a whole number under n
        self.standing = {one: Standing(since=now) for one in others}
        self.health, self.probe, self.nonce, self.turns = 0, None, 0, 0
        self.order, self.next_at, self.last = [], now + draw(PERIOD), now
        self.events = []  # (member, from, to), for the log

    def update_roster(self, others, now):
        """Another roster: who is no longer in it is forgotten, who is new is unheard."""
        self.standing = {one: self.standing.get(one) or Standing(since=now) for one in others}
        if self.probe and self.probe.target not in self.standing:
            self.probe = None

    def of(self, *states):
        return [one for one, s in self.standing.items() if s.state in states]

    def live(self):
        return self.of("alive", "suspect")

    def stretch(self):
        """Lifeguard: one that is slow itself gives others more time before it accuses them."""
        return 1 + self.health

    def unwell(self, change):
        self.health = min(max(self.health + change, 0), UNHEALTHY)

    def move(self, one, state, now):
        s = self.standing[one]
        if s.state != state:
            self.events.append((one, s.state, state))
            s.state, s.since = state, now
        s.by, s.tested = set(), False

    # What is heard

    def heard(self, one, life, incarnation, now, left=False):
        """One has said this of itself, in a datagram or a statement with its signature. Returns whether it has come
        back, and so may have missed what is known."""
        s = self.standing.get(one)
        if s is None or (life, incarnation) < (s.life, s.incarnation):
            return False
        newer = (life, incarnation) > (s.life, s.incarnation)
        s.life, s.incarnation = life, incarnation
        if left:
            self.move(one, "left", now)
            return False
        if not newer:
            return False  # what others still pass on of one that has died since
        back = s.state in ("dead", "unheard", "left")
        self.move(one, "alive", now)
        return back

    def spoke(self, one, life, now):
        """A datagram of its own has just come and was verified: whatever is said of it, it lives."""
        s = self.standing.get(one)
        if s is None or life < s.life or s.state == "left" and life == s.life:
            return False
        if life > s.life:
            s.life, s.incarnation = life, 0
        back = s.state in ("dead", "unheard", "left")
        self.move(one, "alive", now)
        return back

    def accused(self, one, life, incarnation, by, now):
        """A member says that it suspects another: true only of the incarnation that the other has signed."""
        s = self.standing.get(one)
        if s is None or (life, incarnation) != (s.life, s.incarnation) or s.state not in ("alive", "suspect"):
            return
        if s.state == "alive":
            self.move(one, "suspect", now)
        s.by.add(by)

    def answered(self, nonce, now, helper=None, lives=True):
        """An answer to our probe: from its target, through a helper, or a helper's word that it has none yet."""
        probe = self.probe
        if probe is None or probe.nonce != nonce or helper is not None and helper not in probe.helpers:
            return
        probe.heard = True
        if lives and helper is None:
            self.unwell(-1)
            self.probe = None
        elif lives:
            s = self.standing[probe.target]
            if s.state == "suspect":
                self.move(probe.target, "alive", now)
            self.probe = None

    def suspects(self):
        return [(one, s.life, s.incarnation) for one, s in self.standing.items() if s.state == "suspect"]

    # What time brings

    def patience(self, s):
        """How long a suspect has to refute: shorter the more others suspect it as well, longer while we are unwell."""
        least = SUSPECTED * max(log10(max(len(self.standing) + 1, 2)), 1.0) * PERIOD
        part = min(log(len(s.by) + 1) / log(CONFIRMED + 1), 1.0)
        return int(least * (STRETCH - (STRETCH - 1) * part) * self.stretch())

    def due(self):
        if self.probe and not self.probe.helpers:
            return min(self.next_at, self.probe.at + ANSWER * self.stretch())
        return self.next_at

    def step(self, now):
        """All that is due. One that stood still for a while accuses nobody for what it missed."""
        orders, stood = [], now - self.last > PERIOD * self.stretch() + LATE
        if stood:
            self.unwell(+1)
            self.probe = None
            for s in self.standing.values():
                s.since += now - self.last
        self.last = now
        probe = self.probe
        if probe and not probe.helpers and now >= probe.at + ANSWER * self.stretch():
            able = [one for one in self.live() if one != probe.target]
            probe.helpers = tuple(self.pick(able, HELPERS)) or (self.me,)
            orders += [("ask", one, probe.target, probe.nonce) for one in probe.helpers if one != self.me]
        if now >= self.next_at:
            self.failed(now)
            self.bury(now)
            target = self.target()
            if target is not None:
                self.nonce = (self.nonce + 1) % 65536
                self.probe = Probe(target, self.nonce, now)
                orders.append(("ping", target, self.nonce))
            self.next_at = now + PERIOD * self.stretch()
        return orders

    def failed(self, now):
        probe, self.probe = self.probe, None
        if probe is None:
            return
        s = self.standing[probe.target]
        if s.state not in ("alive", "suspect"):
            return
        if probe.helpers != (self.me,) and not probe.heard and len(probe.helpers) > 1:
            self.unwell(+1)  # nobody of them said anything: more likely it is us
        if s.state == "alive":
            self.move(probe.target, "suspect", now)
        s.tested = True

    def bury(self, now):
        for one in self.of("suspect"):
            s = self.standing[one]
            if s.tested and now - s.since >= self.patience(s):
                self.move(one, "dead", now)

    def target(self):
        """Suspects that were not probed from here first, then all in an order drawn anew each time round; now and
        then one that is dead, as a cut-off part would never be found again."""
        self.turns += 1
        untested = [one for one in self.of("suspect") if not self.standing[one].tested]
        if untested:
            return untested[self.draw(len(untested))]
        missing = self.of("dead", "unheard")
        if missing and (self.turns % SELDOM == 0 or not self.live()):
            return missing[self.draw(len(missing))]
        while True:
            self.order = [one for one in self.order if one in self.standing]
            if not self.order:
                self.order = self.pick(self.live(), len(self.standing))
                if not self.order:
                    return None
            one = self.order.pop()
            if self.standing[one].state in ("alive", "suspect"):
                return one

    def pick(self, some, count):
        """`count` of them by chance, each once."""
        some = sorted(some)
        return [some.pop(self.draw(len(some))) for _ in range(min(count, len(some)))]


def rounds(members):
    """How often a statement is told until nearly all have heard it: some times the logarithm of their number."""
    return 3 * max(round(log2(members + 1)), 1)
