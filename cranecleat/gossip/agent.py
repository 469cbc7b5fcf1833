"""One member of the gossip group without I/O: it takes datagrams and the time and returns datagrams and claims.

`agent.received(now, unix, data, address)` and `agent.tick(now, unix)` return the datagrams to send as pairs of address
and bytes. `agent.observe(now, missing_answers)` takes the answers that are missing here; `agent.pooled(now)` returns
those that the other members miss. Times are whole microseconds of any clock that does not step back. `unix` is in
seconds and is only used to check lives.
"""

import zlib
from collections import Counter

from cranecleat.gossip import seal, wire
from cranecleat.gossip.claims import TENTH_OF_SECOND_US, Claims
from cranecleat.gossip.members import PROBE_PERIOD_US, Members, retransmission_limit
from cranecleat.gossip.pace import TokenBucket
from cranecleat.gossip.wire import DatagramError, Kind, Refused

# The most that a member sends a second, unless the operator's file sets another rate.
DEFAULT_BYTES_PER_SECOND = 6144
PACKET_OVERHEAD_BYTES = 28  # IP and UDP headers, which count towards the rate
# The part of the rate that is for probes and answers. The rest is for rumours, so neither can starve the other.
PROBE_SHARE = 0.5
BURST_BYTES = 8 * (wire.MAX_DATAGRAM_BYTES + PACKET_OVERHEAD_BYTES)
RUMOUR_INTERVAL_US = PROBE_PERIOD_US // 5
RUMOUR_FANOUT = 2  # members that get a rumour at each interval
MIN_STATEMENT_INTERVAL_US = RUMOUR_INTERVAL_US
STATEMENT_REFRESH_US = 2 * PROBE_PERIOD_US  # a statement with claims is repeated at least this often
RESTATE_FACTOR = 1.5  # a claim that exceeds the last stated value by this factor is stated again
MAX_RELAYED_PROBES = 16  # probes on behalf of other members in progress at a time
MAX_LIFE = 2**32 - 2
NO_SUSPICION = 65535  # as an incarnation in a suspicion entry: the entry only tells the life


class Agent:
    """The protocol state of this member: membership, claims, verification of datagrams, and the send rate."""

    def __init__(self, roster, signer, seed, life, now, checker=None, rate=DEFAULT_BYTES_PER_SECOND):
        self.roster = roster
        self.signer = signer
        self.seed = seed
        self.draws = 0
        self.life = min(life, MAX_LIFE)
        self.incarnation = 0
        self.counter = 0
        self.started_at = now
        self.has_left = False
        self.members = Members(roster.me, roster.others(), self.random_below, now)
        self.claims = Claims(roster.me)
        self.verifier = seal.DatagramVerifier(roster, checker or seal.SignatureChecker(roster), now)
        self.probe_bucket = TokenBucket(rate * PROBE_SHARE, BURST_BYTES, now)
        self.rumour_bucket = TokenBucket(rate * (1 - PROBE_SHARE), BURST_BYTES, now)
        self.missing_answers = {}
        self.stated = {}
        self.stated_at = now
        self.relayed_probes = {}  # nonce of our probe -> (requester, its nonce, target, time sent)
        self.next_rumour_at = now + self.random_below(RUMOUR_INTERVAL_US)
        self.events = []
        self.refused = Counter()
        self.counts = Counter()
        self.publish_statement(now)

    def random_below(self, limit):
        """A reproducible pseudo-random whole number below `limit`."""
        self.draws += 1
        return zlib.crc32(f"{self.seed}:{self.draws}".encode()) % limit

    def update_roster(self, roster, signer, now):
        """Replaces the roster and the signing key in service."""
        self.roster = roster
        self.signer = signer
        self.verifier.update_roster(roster)
        self.members.update_roster(roster.others(), now)
        self.claims.retain(roster.members)
        self.publish_statement(now)

    # Claims of this member

    def observe(self, now, missing_answers):
        """Takes the number of missing answers by backend key, complete each time. A backend that is no longer listed
        has answered or is gone; the next statement withdraws the claim about it."""
        self.missing_answers = missing_answers
        may_state = now - self.stated_at >= MIN_STATEMENT_INTERVAL_US
        has_grown = any(
            missing > RESTATE_FACTOR * self.stated.get(key, 0.0) for key, missing in missing_answers.items()
        )
        if (
            may_state
            and (has_grown or self.stated.keys() - missing_answers.keys())
            or missing_answers
            and now - self.stated_at >= STATEMENT_REFRESH_US
        ):
            self.publish_statement(now)

    def publish_statement(self, now):
        """Makes and signs a new statement: this member's life and incarnation, and its largest claims."""
        largest = sorted(self.missing_answers.items(), key=lambda claim: (-claim[1], claim[0]))[: wire.MAX_ENTRIES]
        entries = [(key, min(round(missing * wire.PARTS_PER_ANSWER), 255), 0) for key, missing in largest]
        own = self.claims.latest.get(self.roster.me)
        version = (now - self.started_at) // TENTH_OF_SECOND_US
        if own and own.statement.life == self.life:
            version = max(version, own.statement.version + 1)
        raw = wire.pack_statement(self.roster.me, self.life, self.incarnation, version, self.has_left, entries)
        raw += self.signer.sign(seal.STATEMENT, self.roster.digest, raw)
        self.claims.merge(wire.read_statement(raw), now)
        self.stated = dict(largest)
        self.stated_at = now
        self.counts["stated"] += 1

    def leave(self, now):
        """Announces that this member leaves, at once and to as many members as the send rate allows."""
        self.has_left = True
        self.missing_answers = {}
        self.publish_statement(now)
        return [
            datagram
            for receiver in self.members.sample(self.members.live(), len(self.members.records))
            for datagram in self.send(now, self.rumour_bucket, receiver, Kind.RUMOUR)
        ]

    def pooled(self, now):
        """Answers that other members miss, by backend key. Leaves out as much as the tolerated number of faulty members
        could have invented."""
        return self.claims.pooled(now, self.members.live(), self.roster.max_faulty())

    # Sending

    def send(self, now, bucket, receiver, kind, nonce=0, subject=0, about=()):
        """Returns a datagram to one member, with the statement that is most useful to spread; none where the rate is
        used up. `about`: suspicions that come first."""
        if not bucket.take(wire.MAX_DATAGRAM_BYTES + PACKET_OVERHEAD_BYTES, now):
            self.counts["held_back"] += 1
            return []
        spread = self.claims.next_to_send(now, retransmission_limit(len(self.roster.members)))
        self.counter += 1
        header = wire.Header(
            self.roster.tag, self.roster.me, receiver, self.life, self.counter, kind, nonce, subject, 0
        )
        suspects = self.members.suspects()
        # The suspicions start at a random place, as not all of them may fit.
        start = self.random_below(len(suspects)) if suspects else 0
        data = wire.pack(header, [*about, *suspects[start:], *suspects[:start]], spread and spread.statement.raw)
        if spread:
            spread.times_sent += 1
        data += self.signer.sign(seal.DATAGRAM, self.roster.digest, data)
        bucket.tokens += wire.MAX_DATAGRAM_BYTES - len(data)  # returns what the datagram did not use
        self.counts["sent"] += 1
        self.counts["sent_bytes"] += len(data) + PACKET_OVERHEAD_BYTES
        return [(self.roster.members[receiver].address, data)]

    def tick(self, now, unix):
        """Does all that is due and returns the datagrams to send. Has to be called again at `due()`."""
        out = []
        for action, receiver, *rest in self.members.step(now):
            if action == "ping":
                out += self.send(now, self.probe_bucket, receiver, Kind.PING, rest[0])
            else:
                out += self.send(now, self.probe_bucket, receiver, Kind.ASK, rest[1], rest[0])
        for nonce, (requester, request_nonce, target, sent_at) in list(self.relayed_probes.items()):
            if now - sent_at >= PROBE_PERIOD_US // 2:
                del self.relayed_probes[nonce]
                out += self.send(now, self.probe_bucket, requester, Kind.NACK, request_nonce, target)
        if now >= self.next_rumour_at:
            self.next_rumour_at = now + RUMOUR_INTERVAL_US
            limit = retransmission_limit(len(self.roster.members))
            if self.claims.next_to_send(now, limit) or self.members.suspects():
                for receiver in self.members.sample(
                    self.members.in_state("alive", "suspect", "unheard"), RUMOUR_FANOUT
                ):
                    out += self.send(now, self.rumour_bucket, receiver, Kind.RUMOUR)
        self.collect_events(now)
        return out

    def due(self):
        """When `tick` has something to do next."""
        return min(self.members.due(), self.next_rumour_at)

    # Receiving

    def received(self, now, unix, data, address):
        """Handles one datagram and returns those that answer it. One that is refused is counted by its reason and has
        no other effect, except that one of an earlier life is answered with the life that is known here."""
        self.counts["received"] += 1
        try:
            header = wire.read_header(data)
            self.verifier.check_header(header, address, unix)
            self.verifier.verify_datagram(header, data, now)
            suspicions, statement = wire.read_body(data, header)
        except DatagramError as error:
            self.refused[error.reason] += 1
            if error.reason is Refused.OLD_LIFE:
                # The signature is valid: this is an older datagram, or the clock of the sender was set back.
                record = self.members.records[header.sender]
                return self.send(
                    now,
                    self.probe_bucket,
                    header.sender,
                    Kind.RUMOUR,
                    about=[(header.sender, record.life, NO_SUSPICION)],
                )
            return []
        out = []
        record = self.members.records[header.sender]
        was_gone = record.state in ("dead", "left") and (header.sender, record.life, record.incarnation)
        if self.members.datagram_received(header.sender, header.life, now):
            self.claims.reset_send_counts()
        if statement:
            self.merge_statement(statement, header.sender, now)
        for member, life, incarnation in suspicions:
            if member == self.roster.me:
                self.refute(life, incarnation, now, unix)
            else:
                self.members.suspicion_received(member, life, incarnation, header.sender, now)
        # A sender that was believed gone is told what was believed of it, so that it can refute that.
        out += self.respond(header, now, [was_gone] if was_gone else [])
        self.collect_events(now)
        return out

    def respond(self, header, now, about):
        """Returns the datagrams that the kind of the received one asks for."""
        kind = header.kind
        sender = header.sender
        if kind == Kind.PING:
            return self.send(now, self.probe_bucket, sender, Kind.ACK, header.nonce, about=about)
        if kind == Kind.ASK:
            if header.subject not in self.members.records or len(self.relayed_probes) >= MAX_RELAYED_PROBES:
                return []
            self.members.nonce = nonce = (self.members.nonce + 1) % 65536
            self.relayed_probes[nonce] = sender, header.nonce, header.subject, now
            return self.send(now, self.probe_bucket, header.subject, Kind.PING, nonce)
        if kind == Kind.ACK and not header.subject:
            requester, request_nonce, target, _ = self.relayed_probes.pop(header.nonce, (None,) * 4)
            if requester is not None and target == sender:
                return self.send(now, self.probe_bucket, requester, Kind.ACK, request_nonce, target)
            if self.members.probe and self.members.probe.target == sender:
                self.members.answer_received(header.nonce, now)
        elif kind in (Kind.ACK, Kind.NACK):
            self.members.answer_received(header.nonce, now, helper=sender, is_alive=kind == Kind.ACK)
        return []

    def merge_statement(self, statement, sender, now):
        """Merges a statement if its origin has signed it, whichever member passed it on."""
        if statement.origin == self.roster.me or statement.origin not in self.roster.members:
            return
        if not self.claims.is_newer(statement):
            return
        if not self.verifier.verify_statement(statement, sender, now):
            self.refused["statement"] += 1
            return
        self.claims.merge(statement, now)
        if self.members.statement_received(
            statement.origin, statement.life, statement.incarnation, now, statement.has_left
        ):
            self.claims.reset_send_counts()

    def refute(self, life, incarnation, now, unix):
        """Answers a suspicion of this member with a higher incarnation, or takes a later life where another member
        knows one: then the clock was set back between two starts. The life rises no further than a clock may be off, so
        that a false claim cannot use up the range of lives."""
        if self.has_left:
            return
        if life > self.life and life < min(unix + seal.MAX_LIFE_AHEAD_SECONDS, MAX_LIFE):
            self.life = life + 1
            self.incarnation = 0
            self.counter = 0
            self.events.append(("life_raised", None, life + 1))
        elif life == self.life and incarnation == self.incarnation < NO_SUSPICION - 1:
            self.incarnation += 1
            self.members.adjust_health(+1)
        else:
            return
        self.counts["refuted"] += 1
        self.publish_statement(now)

    def collect_events(self, now):
        """Takes over the changes of member states, with the names of the members, for the log."""
        for member, old, new in self.members.events:
            self.events.append(("member", self.roster.name(member), f"{old} to {new}"))
        self.members.events.clear()

    # Status

    def status(self, now):
        """The content of the status file that `gossip status` shows. Its size is bounded by the roster."""
        members = {
            self.roster.name(number): {
                "state": record.state,
                "life": record.life,
                "seconds": max(now - record.since, 0) // 10**6,
            }
            for number, record in sorted(self.members.records.items(), key=lambda item: self.roster.name(item[0]))
        }
        claims = {
            self.roster.name(origin): {
                key.hex(): round(missing / wire.PARTS_PER_ANSWER, 2) for key, missing, _ in received.statement.entries
            }
            for origin, received, _ in self.claims.current(now)
        }
        return {
            "me": self.roster.name(self.roster.me),
            "group": self.roster.group,
            "life": self.life,
            "health": self.members.health,
            "members": members,
            "claims": claims,
            "pooled": {key.hex(): round(missing, 2) for key, missing in self.pooled(now).items()},
            "refused": {
                getattr(reason, "value", reason): count for reason, count in sorted(self.refused.items(), key=str)
            },
            "counts": dict(self.counts),
        }
