"""One member of the gossip, whole and without I/O: datagrams and the time in, datagrams and claims out.

Called as `agent.received(now, unix, data, address)` and `agent.tick(now, unix)`, both of which return datagrams as
(address, bytes); `agent.observe(now, misses)` with what is missed here, `agent.pooled(now)` for what others miss.
Times are whole microseconds of any clock that does not step back; `unix` is in seconds and only guards lives.
"""

import zlib
from collections import Counter

from cranecleat.gossip import seal, wire
from cranecleat.gossip.claims import TENTH, Claims
from cranecleat.gossip.members import PERIOD, Members, rounds
from cranecleat.gossip.pace import Bucket
from cranecleat.gossip.wire import DatagramError, Kind, Refused

DEFAULT_BYTES_PER_SECOND = (
    6144  # bytes a second that an instance sends at the most, if the operator's file says nothing else
)
CARRIED = 28  # bytes of IP and UDP headers, which count
PROBES = 0.5  # of the rate is for probes and answers, the rest for rumours: neither can starve the other
BURST = 8 * (wire.LONGEST + CARRIED)  # bytes at once
ROUND = PERIOD // 5  # from one round of rumours to the next
FANOUT = 2  # members that a round's rumour goes to
SOON, REFRESH = ROUND, 2 * PERIOD  # least time between statements of ours, and the most while they claim something
MOVED = 1.5  # times what was stated last: a claim is stated anew
ASKED = 16  # probes for others that may be under way at a time
LIFE_MOST = 2**32 - 2
NO_SUSPICION = 65535  # for an incarnation: only the life is told


class Agent:
    def __init__(self, roster, signer, seed, life, now, checker=None, rate=DEFAULT_BYTES_PER_SECOND):
        self.roster, self.signer, self.seed, self.draws = roster, signer, seed, 0
        self.life, self.incarnation, self.counter = min(life, LIFE_MOST), 0, 0
        self.began, self.left = now, False
        self.members = Members(roster.me, roster.others(), self.draw, now)
        self.claims = Claims(roster.me)
        self.door = seal.Door(roster, checker or seal.Checker(roster), now)
        self.probe_bucket = Bucket(rate * PROBES, BURST, now)
        self.rumour_bucket = Bucket(rate * (1 - PROBES), BURST, now)
        self.misses, self.stated, self.stated_at = {}, {}, now
        self.asked = {}  # nonce of ours -> (who asked, its nonce, whom, when)
        self.next_round, self.events = now + self.draw(ROUND), []
        self.refused, self.counts = Counter(), Counter()
        self.state(now)

    def draw(self, below):
        self.draws += 1
        return zlib.crc32(f"{self.seed}:{self.draws}".encode()) % below

    def update_roster(self, roster, signer, now):
        """Another roster or key, while all goes on."""
        self.roster, self.signer = roster, signer
        self.door.update_roster(roster)
        self.members.update_roster(roster.others(), now)
        self.claims.keep(roster.members)
        self.state(now)

    # What is said here

    def observe(self, now, misses):
        """Answers that are missed here, by backend's key: all of it each time. What is no longer among them has
        answered, or has gone, and is withdrawn with the next statement."""
        self.misses = misses
        soon = now - self.stated_at >= SOON
        grown = any(missing > MOVED * self.stated.get(key, 0.0) for key, missing in misses.items())
        if soon and (grown or self.stated.keys() - misses.keys()) or misses and now - self.stated_at >= REFRESH:
            self.state(now)

    def state(self, now):
        """A statement of ours: what we miss most, with our life and incarnation."""
        most = sorted(self.misses.items(), key=lambda claim: (-claim[1], claim[0]))[: wire.ENTRIES]
        entries = [(key, min(round(missing * wire.PARTS), 255), 0) for key, missing in most]
        mine = self.claims.latest.get(self.roster.me)
        version = (now - self.began) // TENTH
        if mine and mine.statement.life == self.life:
            version = max(version, mine.statement.version + 1)
        raw = wire.pack_statement(self.roster.me, self.life, self.incarnation, version, self.left, entries)
        raw += self.signer.sign(seal.STATEMENT, self.roster.digest, raw)
        self.claims.merge(wire.read_statement(raw), now)
        self.stated, self.stated_at = dict(most), now
        self.counts["stated"] += 1

    def leave(self, now):
        """The last words: told at once to as many as the pace allows."""
        self.left = True
        self.misses = {}
        self.state(now)
        return [
            one
            for to in self.members.pick(self.members.live(), len(self.members.standing))
            for one in self.send(now, self.rumour_bucket, to, Kind.RUMOUR)
        ]

    def pooled(self, now):
        """Answers that others miss, by backend's key, without what as many as may lie could have made up."""
        return self.claims.pooled(now, self.members.live(), self.roster.liars())

    # Out

    def send(self, now, bucket, to, kind, nonce=0, subject=0, about=()):
        """A datagram to one member, with the statement that is worth it most; none where the pace is used up."""
        if not bucket.take(wire.LONGEST + CARRIED, now):
            self.counts["held_back"] += 1
            return []
        held = self.claims.to_tell(now, rounds(len(self.roster.members)))
        self.counter += 1
        head = wire.Header(self.roster.tag, self.roster.me, to, self.life, self.counter, kind, nonce, subject, 0)
        suspects = self.members.suspects()
        start = self.draw(len(suspects)) if suspects else 0
        data = wire.pack(head, [*about, *suspects[start:], *suspects[:start]], held and held.statement.raw)
        if held:
            held.told += 1
        data += self.signer.sign(seal.DATAGRAM, self.roster.digest, data)
        bucket.held += wire.LONGEST - len(data)  # the rest was not needed
        self.counts["sent"] += 1
        self.counts["sent_bytes"] += len(data) + CARRIED
        return [(self.roster.members[to].address, data)]

    def tick(self, now, unix):
        """All that is due; call it again at `due()`."""
        out = []
        for what, to, *rest in self.members.step(now):
            if what == "ping":
                out += self.send(now, self.probe_bucket, to, Kind.PING, rest[0])
            else:
                out += self.send(now, self.probe_bucket, to, Kind.ASK, rest[1], rest[0])
        for nonce, (asker, theirs, whom, at) in list(self.asked.items()):
            if now - at >= PERIOD // 2:
                del self.asked[nonce]
                out += self.send(now, self.probe_bucket, asker, Kind.NACK, theirs, whom)
        if now >= self.next_round:
            self.next_round = now + ROUND
            if self.claims.to_tell(now, rounds(len(self.roster.members))) or self.members.suspects():
                for to in self.members.pick(self.members.of("alive", "suspect", "unheard"), FANOUT):
                    out += self.send(now, self.rumour_bucket, to, Kind.RUMOUR)
        self.notice(now)
        return out

    def due(self):
        return min(self.members.due(), self.next_round)

    # In

    def received(self, now, unix, data, address):
        """What one datagram calls for. One that is refused is counted by its reason, and costs nothing else."""
        self.counts["received"] += 1
        try:
            head = wire.read_head(data)
            self.door.look(head, address, unix)
            self.door.verify(head, data, now)
            suspicions, statement = wire.read_body(data, head)
        except DatagramError as wrong:
            self.refused[wrong.why] += 1
            if wrong.why is Refused.OLD_LIFE:  # signed: an older datagram, or one whose clock was set back
                known = self.members.standing[head.sender]
                return self.send(
                    now, self.probe_bucket, head.sender, Kind.RUMOUR, about=[(head.sender, known.life, NO_SUSPICION)]
                )
            return []
        out = []
        known = self.members.standing[head.sender]
        back = known.state in ("dead", "left") and (head.sender, known.life, known.incarnation)
        if self.members.spoke(head.sender, head.life, now):
            self.claims.tell_again()
        if statement:
            self.take(statement, head.sender, now)
        for one, life, incarnation in suspicions:
            if one == self.roster.me:
                self.refute(life, incarnation, now, unix)
            else:
                self.members.accused(one, life, incarnation, head.sender, now)
        out += self.answer(head, now, [back] if back else [])
        self.notice(now)
        return out

    def answer(self, head, now, about):
        kind, sender = head.kind, head.sender
        if kind == Kind.PING:
            return self.send(now, self.probe_bucket, sender, Kind.ACK, head.nonce, about=about)
        if kind == Kind.ASK:
            if head.subject not in self.members.standing or len(self.asked) >= ASKED:
                return []
            self.members.nonce = nonce = (self.members.nonce + 1) % 65536
            self.asked[nonce] = sender, head.nonce, head.subject, now
            return self.send(now, self.probe_bucket, head.subject, Kind.PING, nonce)
        if kind == Kind.ACK and not head.subject:
            asker, theirs, whom, _ = self.asked.pop(head.nonce, (None,) * 4)
            if asker is not None and whom == sender:
                return self.send(now, self.probe_bucket, asker, Kind.ACK, theirs, whom)
            if self.members.probe and self.members.probe.target == sender:
                self.members.answered(head.nonce, now)
        elif kind in (Kind.ACK, Kind.NACK):
            self.members.answered(head.nonce, now, helper=sender, lives=kind == Kind.ACK)
        return []

    def take(self, statement, sender, now):
        """What a statement says is merged if its origin has signed it, whoever passed it on."""
        if statement.origin == self.roster.me or statement.origin not in self.roster.members:
            return
        if not self.claims.newer(statement):
            return
        if not self.door.vouched(statement, sender, now):
            self.refused["statement"] += 1
            return
        self.claims.merge(statement, now)
        if self.members.heard(statement.origin, statement.life, statement.incarnation, now, statement.left):
            self.claims.tell_again()

    def refute(self, life, incarnation, now, unix):
        """Somebody suspects us, or knows a later life of ours: a clock was set back between two starts. Lives follow
        only as far as a clock may be off, so that a lie cannot use them up."""
        if self.left:
            return
        if life > self.life and life < min(unix + seal.AHEAD, LIFE_MOST):
            self.life, self.incarnation, self.counter = life + 1, 0, 0
            self.events.append(("life_raised", None, life + 1))
        elif life == self.life and incarnation == self.incarnation < NO_SUSPICION - 1:
            self.incarnation += 1
            self.members.unwell(+1)
        else:
            return
        self.counts["refuted"] += 1
        self.state(now)

    def notice(self, now):
        for one, old, new in self.members.events:
            self.events.append(("member", self.roster.name(one), f"{old} to {new}"))
        self.members.events.clear()

    # For people

    def figures(self, now):
        """What `gossip status` shows; all of it bounded by the roster."""
        members = {
            self.roster.name(one): {"state": s.state, "life": s.life, "seconds": max(now - s.since, 0) // 10**6}
            for one, s in sorted(self.members.standing.items(), key=lambda item: self.roster.name(item[0]))
        }
        claims = {
            self.roster.name(origin): {
                key.hex(): round(missing / wire.PARTS, 2) for key, missing, _ in held.statement.entries
            }
            for origin, held, _ in self.claims.current(now)
        }
        return {
            "me": self.roster.name(self.roster.me),
            "group": self.roster.group,
            "life": self.life,
            "health": self.members.health,
            "members": members,
            "claims": claims,
            "pooled": {key.hex(): round(missing, 2) for key, missing in self.pooled(now).items()},
            "refused": {getattr(why, "value", why): count for why, count in sorted(self.refused.items(), key=str)},
            "counts": dict(self.counts),
        }
