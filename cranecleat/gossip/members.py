"""Membership after SWIM (Das, Gupta and Motivala, DSN 2002) and Lifeguard (Dadgar, Phillips and Currey, 2017).

Each member is a small state machine. No I/O; the time and the random numbers are passed in. A member is declared dead
only after a failure that was observed here: a probe sent by this member got no sign of life of the target, neither
directly nor through a helper, and the target did not refute the suspicion in time. Suspicions from others start or
shorten that time and never replace the probe. Only a member itself raises its incarnation, in a signed statement.
"""

from dataclasses import dataclass, field
from math import log, log2, log10

SECOND = 1_000_000  # microseconds
PROBE_PERIOD_US = SECOND  # from one probe to the next, while this member is healthy
DIRECT_ANSWER_US = 3 * PROBE_PERIOD_US // 10  # time for a direct answer, before helpers are asked
HELPER_COUNT = 3  # members that are asked to probe a target that has not answered directly
MAX_HEALTH_SCORE = 8  # timeouts are multiplied by 1 plus the score
# The shortest time to refute, in probe periods; multiplied by the decimal logarithm of the roster's size, at least 1.
MIN_SUSPICION_PERIODS = 4
MAX_SUSPICION_FACTOR = 3  # the longest time to refute, as a multiple of the shortest
CONFIRMATIONS = 3  # the time to refute is shortest when this many other members suspect the target as well
UNREACHABLE_PROBE_EVERY = 3  # every third probe goes to a member that is dead or was never heard from
MAX_STEP_DELAY_US = PROBE_PERIOD_US // 2  # a step later than due by more than this: this process was stalled


@dataclass(slots=True)
class MemberRecord:
    """What is believed of one member."""

    state: str = "unheard"  # unheard, alive, suspect, dead or left
    life: int = 0
    incarnation: int = 0
    since: int = 0  # when the state began, later by the time for which this process was stalled
    suspected_by: set = field(default_factory=set)  # other members that suspect it
    probe_failed: bool = False  # a probe from here has failed since the suspicion began


@dataclass(slots=True)
class Probe:
    """The probe in progress."""

    target: int
    nonce: int
    sent_at: int
    helpers: tuple = ()  # members asked to probe the target; (this member,) if there are none to ask
    any_answer: bool = False  # whether the target or a helper has answered; a helper also with a NACK


class Members:
    """The states of all other members, and the probes that check them.

    `step` returns what to send as tuples: ("ping", member, nonce), ("ask", helper, target, nonce).
    """

    def __init__(self, me, others, random_below, now):
        self.me = me
        self.random_below = random_below  # random_below(n): a whole number below n
        self.records = {number: MemberRecord(since=now) for number in others}
        self.health = 0  # Lifeguard's local health score: 0 is healthy
        self.probe = None  # the `Probe` in progress
        self.nonce = 0  # of the last probe
        self.probe_count = 0
        self.probe_order = []  # members still to be probed in this pass, the next one last
        self.next_probe_at = now + random_below(PROBE_PERIOD_US)
        self.last_step_at = now
        self.events = []  # (member, old state, new state), for the log

    def update_roster(self, others, now):
        """Forgets members that are no longer in the roster; new ones begin as unheard."""
        self.records = {number: self.records.get(number) or MemberRecord(since=now) for number in others}
        if self.probe and self.probe.target not in self.records:
            self.probe = None

    def in_state(self, *states):
        return [number for number, record in self.records.items() if record.state in states]

    def live(self):
        return self.in_state("alive", "suspect")

    def timeout_factor(self):
        """Lifeguard: a member that is slow itself gives others more time before it suspects them."""
        return 1 + self.health

    def adjust_health(self, change):
        self.health = min(max(self.health + change, 0), MAX_HEALTH_SCORE)

    def set_state(self, number, state, now):
        """Sets the state of a member and forgets who suspected it and whether a probe failed."""
        record = self.records[number]
        if record.state != state:
            self.events.append((number, record.state, state))
            record.state = state
            record.since = now
        record.suspected_by = set()
        record.probe_failed = False

    # What is received

    def statement_received(self, number, life, incarnation, now, has_left=False):
        """Takes what a member says of itself in a signed statement. Returns whether the member has come back, and so
        may have missed statements of others."""
        record = self.records.get(number)
        if record is None or (life, incarnation) < (record.life, record.incarnation):
            return False
        is_newer = (life, incarnation) > (record.life, record.incarnation)
        record.life = life
        record.incarnation = incarnation
        if has_left:
            self.set_state(number, "left", now)
            return False
        if not is_newer:
            return False  # no proof of life: others may still pass on a statement of a member that has died since
        has_come_back = record.state in ("dead", "unheard", "left")
        self.set_state(number, "alive", now)
        return has_come_back

    def datagram_received(self, number, life, now):
        """Takes note of a verified datagram that a member itself has just sent: it is alive, whatever others say of it.
        Returns whether it has come back."""
        record = self.records.get(number)
        if record is None or life < record.life or (record.state == "left" and life == record.life):
            return False
        if life > record.life:
            record.life = life
            record.incarnation = 0
        has_come_back = record.state in ("dead", "unheard", "left")
        self.set_state(number, "alive", now)
        return has_come_back

    def suspicion_received(self, number, life, incarnation, accuser, now):
        """Takes note that the member `accuser` suspects another one. This counts only for the incarnation that the
        suspect has signed last."""
        record = self.records.get(number)
        if (
            record is None
            or (life, incarnation) != (record.life, record.incarnation)
            or record.state not in ("alive", "suspect")
        ):
            return
        if record.state == "alive":
            self.set_state(number, "suspect", now)
        record.suspected_by.add(accuser)

    def answer_received(self, nonce, now, helper=None, is_alive=True):
        """Handles an answer to the probe in progress: from its target (`helper` is None), from a helper that the target
        has answered, or from a helper that the target has not answered yet (`is_alive` is false)."""
        probe = self.probe
        if probe is None or probe.nonce != nonce or (helper is not None and helper not in probe.helpers):
            return
        probe.any_answer = True
        if is_alive and helper is None:
            self.adjust_health(-1)
            self.probe = None
        elif is_alive:
            record = self.records[probe.target]
            if record.state == "suspect":
                self.set_state(probe.target, "alive", now)
            self.probe = None

    def suspects(self):
        """All suspects as (member, life, incarnation), to be sent to other members."""
        return [
            (number, record.life, record.incarnation)
            for number, record in self.records.items()
            if record.state == "suspect"
        ]

    # What is due

    def suspicion_timeout(self, record):
        """The time in microseconds that a suspect has to refute. It is shorter the more members suspect it as well, and
        longer while this member is not healthy itself."""
        shortest_us = MIN_SUSPICION_PERIODS * max(log10(max(len(self.records) + 1, 2)), 1.0) * PROBE_PERIOD_US
        confirmed_fraction = min(log(len(record.suspected_by) + 1) / log(CONFIRMATIONS + 1), 1.0)
        stretch = MAX_SUSPICION_FACTOR - (MAX_SUSPICION_FACTOR - 1) * confirmed_fraction
        return int(shortest_us * stretch * self.timeout_factor())

    def due(self):
        """When `step` has something to do next."""
        if self.probe and not self.probe.helpers:
            return min(self.next_probe_at, self.probe.sent_at + DIRECT_ANSWER_US * self.timeout_factor())
        return self.next_probe_at

    def step(self, now):
        """Asks helpers, ends a probe and begins the next one, as they are due. Returns what to send. A process that was
        stalled does not suspect others because of the answers that it could not receive meanwhile."""
        actions = []
        was_stalled = now - self.last_step_at > PROBE_PERIOD_US * self.timeout_factor() + MAX_STEP_DELAY_US
        if was_stalled:
            self.adjust_health(+1)
            self.probe = None
            for record in self.records.values():
                record.since += now - self.last_step_at  # the time of the stall does not count as time to refute
        self.last_step_at = now
        probe = self.probe
        if probe and not probe.helpers and now >= probe.sent_at + DIRECT_ANSWER_US * self.timeout_factor():
            candidates = [number for number in self.live() if number != probe.target]
            probe.helpers = tuple(self.sample(candidates, HELPER_COUNT)) or (self.me,)
            actions += [("ask", helper, probe.target, probe.nonce) for helper in probe.helpers if helper != self.me]
        if now >= self.next_probe_at:
            self.end_probe(now)
            self.declare_dead(now)
            target = self.next_target()
            if target is not None:
                self.nonce = (self.nonce + 1) % 65536
                self.probe = Probe(target, self.nonce, now)
                actions.append(("ping", target, self.nonce))
            self.next_probe_at = now + PROBE_PERIOD_US * self.timeout_factor()
        return actions

    def end_probe(self, now):
        """Ends the probe in progress, if there is one, as failed. An answer of the target has ended it before."""
        probe, self.probe = self.probe, None
        if probe is None:
            return
        record = self.records[probe.target]
        if record.state not in ("alive", "suspect"):
            return
        if probe.helpers != (self.me,) and not probe.any_answer and len(probe.helpers) > 1:
            self.adjust_health(+1)  # no helper has answered either, so the fault is more likely here
        if record.state == "alive":
            self.set_state(probe.target, "suspect", now)
        record.probe_failed = True

    def declare_dead(self, now):
        """Declares those suspects dead whose time to refute is over, if a probe from here has also failed."""
        for number in self.in_state("suspect"):
            record = self.records[number]
            if record.probe_failed and now - record.since >= self.suspicion_timeout(record):
                self.set_state(number, "dead", now)

    def next_target(self):
        """The member to probe next, or None. First comes a suspect for which no probe from here has failed yet, then
        all live members in a random order, which is drawn again for each pass. Every third probe goes to a member that
        is dead or unheard, if no such suspect waits; otherwise members that were cut off would never be found again."""
        self.probe_count += 1
        untested = [number for number in self.in_state("suspect") if not self.records[number].probe_failed]
        if untested:
            return untested[self.random_below(len(untested))]
        unreachable = self.in_state("dead", "unheard")
        if unreachable and (self.probe_count % UNREACHABLE_PROBE_EVERY == 0 or not self.live()):
            return unreachable[self.random_below(len(unreachable))]
        while True:
            self.probe_order = [number for number in self.probe_order if number in self.records]
            if not self.probe_order:
                self.probe_order = self.sample(self.live(), len(self.records))
                if not self.probe_order:
                    return None
            number = self.probe_order.pop()
            if self.records[number].state in ("alive", "suspect"):
                return number

    def sample(self, candidates, count):
        """Up to `count` of the candidates at random, each at most once."""
        candidates = sorted(candidates)
        return [candidates.pop(self.random_below(len(candidates))) for _ in range(min(count, len(candidates)))]


def retransmission_limit(member_count):
    """How often each member sends a statement, so that nearly all members receive it. It grows with the logarithm of
    their number."""
    return 3 * max(round(log2(member_count + 1)), 1)
