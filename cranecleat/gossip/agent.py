"""One member of the gossip group without I/O: it takes datagrams and the time and returns datagrams and claims.

`agent.received(now, unix, data, address)` and `agent.tick(now, unix)` return the datagrams to send as pairs of address
and bytes. An answer is missing when a backend leaves a call unanswered. `agent.observe(now, missing_answers)` takes the
number of answers that are missing here; `agent.pooled(now)` returns the number that the other members miss. `now` is in
whole microseconds of any clock that does not step back. `unix` is the Unix time in seconds and is only used to check
lives.
"""

import zlib
from collections import Counter

from cranecleat.gossip import seal, wire
from cranecleat.gossip.claims import TENTH_OF_SECOND_US, Claims
from cranecleat.gossip.members import PROBE_PERIOD_US, Members, retransmission_limit
from cranecleat.gossip.pace import TokenBucket
from cranecleat.gossip.wire import DatagramError, Kind, Refused

# The send rate of a member, unless the operator's file sets another one.
DEFAULT_BYTES_PER_SECOND = 6144
PACKET_OVERHEAD_BYTES = 28  # IP and UDP headers, which count towards the rate
# The fraction of the rate that is for probes and their answers. The rest is for rumours, so that neither can starve the
# other.
PROBE_SHARE = 0.5
# The burst of each of the two buckets: eight datagrams of full length.
BURST_BYTES = 8 * (wire.MAX_DATAGRAM_BYTES + PACKET_OVERHEAD_BYTES)
RUMOUR_INTERVAL_US = PROBE_PERIOD_US // 5
RUMOUR_FANOUT = 2  # number of members that get a rumour at each interval
MIN_STATEMENT_INTERVAL_US = RUMOUR_INTERVAL_US  # changed claims are stated no more often than this
STATEMENT_REFRESH_US = 2 * PROBE_PERIOD_US  # a statement with claims is repeated after this time
RESTATE_FACTOR = 1.5  # a claim that has grown by more than this factor is stated again before the refresh
MAX_RELAYED_PROBES = 16  # probes in progress at a time that other members have asked for
MAX_LIFE = 2**32 - 2  # a life is a field of 32 bits in a datagram
# As the incarnation in a suspicion entry: the entry suspects nobody and only tells a member its last known life.
NO_SUSPICION = 65535


class Agent:
    """The protocol state of this member: membership, claims, verification of datagrams, and the send rate."""

    def __init__(self, roster, signer, seed, life, now, checker=None, rate=DEFAULT_BYTES_PER_SECOND):
        self.roster = roster
        self.signer = signer
        self.seed = seed
        self.draws = 0  # pseudo-random numbers drawn so far
        self.life = min(life, MAX_LIFE)
        self.incarnation = 0
        self.counter = 0  # of the datagrams sent in this life
        self.started_at = now
        self.has_left = False
        self.members = Members(roster.me, roster.others(), self.random_below, now)
        self.claims = Claims(roster.me)
        self.verifier = seal.DatagramVerifier(roster, checker or seal.SignatureChecker(roster), now)
        self.probe_bucket = TokenBucket(rate * PROBE_SHARE, BURST_BYTES, now)
        self.rumour_bucket = TokenBucket(rate * (1 - PROBE_SHARE), BURST_BYTES, now)
        self.missing_answers = {}  # backend key -> number of answers that are missing here
        self.stated = {}  # the part of them that the last statement of this member holds
        self.stated_at = now
        self.relayed_probes = {}  # nonce of our probe -> (requester, its nonce, target, time sent)
        self.next_rumour_at = now + self.random_below(RUMOUR_INTERVAL_US)
        self.events = []  # (event, member name, detail), for the log
        self.refused = Counter()  # datagrams by `Refused`, and "statement": statements that could not be verified
        self.counts = Counter()
        self.publish_statement(now)

    def random_below(self, limit):
        """A reproducible pseudo-random whole number below `limit`."""
        self.draws += 1
        return zlib.crc32(f"{self.seed}:{self.draws}".encode()) % limit

    def update_roster(self, roster, signer, now):
        """Replaces the roster and the signing key while the agent runs, and makes a statement with the new key."""
        self.roster = roster
        self.signer = signer
        self.verifier.update_roster(roster)
        self.members.update_roster(roster.others(), now)
        self.claims.retain(roster.members)
        # A member that has been taken out cannot be answered any more.
        self.relayed_probes = {
            nonce: (requester, *relayed)
            for nonce, (requester, *relayed) in self.relayed_probes.items()
            if requester in roster.members
        }
        self.publish_statement(now)

    # Claims of this member

    def observe(self, now, missing_answers):
        """Takes the number of missing answers of all backends, by backend key. A backend that is no longer among them
        has answered or is gone; the next statement withdraws the claim about it.

        A claim that has grown or ended leads to a new statement as soon as the shortest interval has passed since the
        last one. Other claims are stated again after the refresh time."""
        self.missing_answers = missing_answers
        may_state = now - self.stated_at >= MIN_STATEMENT_INTERVAL_US
        has_grown = any(
            missing > RESTATE_FACTOR * self.stated.get(key, 0.0) for key, missing in missing_answers.items()
        )
        if (may_state and (has_grown or self.stated.keys() - missing_answers.keys())) or (
            missing_answers and now - self.stated_at >= STATEMENT_REFRESH_US
        ):
            self.publish_statement(now)

    def publish_statement(self, now):
        """Makes and signs a new statement: this member's life and incarnation, and its largest claims."""
        largest = sorted(self.missing_answers.items(), key=lambda claim: (-claim[1], claim[0]))[: wire.MAX_ENTRIES]
        entries = [(key, min(round(missing * wire.PARTS_PER_ANSWER), 255), 0) for key, missing in largest]
        previous = self.claims.latest.get(self.roster.me)
        # The version is the time since the start in tenths of a second, but always more than in the previous statement.
        version = (now - self.started_at) // TENTH_OF_SECOND_US
        if previous and previous.statement.life == self.life:
            version = max(version, previous.statement.version + 1)
        raw = wire.pack_statement(self.roster.me, self.life, self.incarnation, version, self.has_left, entries)
        raw += self.signer.sign(seal.STATEMENT, self.roster.digest, raw)
        self.claims.merge(wire.read_statement(raw), now)
        self.stated = dict(largest)
        self.stated_at = now
        self.counts["stated"] += 1

    def leave(self, now):
        """Returns the datagrams that announce at once that this member leaves, to as many members as the send rate
        allows."""
        self.has_left = True
        self.missing_answers = {}
        self.publish_statement(now)
        return [
            datagram
            for receiver in self.members.sample(self.members.live(), len(self.members.records))
            for datagram in self.send(now, self.rumour_bucket, receiver, Kind.RUMOUR)
        ]

    def pooled(self, now):
        """Number of answers that other members miss, by backend key. The largest claims about each backend are left
        out, as many as faulty members are tolerated."""
        return self.claims.pooled(now, self.members.live(), self.roster.max_faulty())

    # Sending

    def send(self, now, bucket, receiver, kind, nonce=0, subject=0, first_suspicions=()):
        """Returns a list with one datagram to a member, or an empty list if the rate is used up. The datagram carries
        the statement that is most useful to spread, and suspicions: `first_suspicions` come before all others."""
        if not bucket.take(wire.MAX_DATAGRAM_BYTES + PACKET_OVERHEAD_BYTES, now):
            self.counts["held_back"] += 1
            return []
        carried = self.claims.next_to_send(now, retransmission_limit(len(self.roster.members)))
        self.counter += 1
        header = wire.Header(
            self.roster.tag, self.roster.me, receiver, self.life, self.counter, kind, nonce, subject, 0
        )
        suspects = self.members.suspects()
        # The suspicions start at a random place, as not all of them may fit.
        start = self.random_below(len(suspects)) if suspects else 0
        data = wire.pack(
            header, [*first_suspicions, *suspects[start:], *suspects[:start]], carried and carried.statement.raw
        )
        if carried:
            carried.times_sent += 1
        data += self.signer.sign(seal.DATAGRAM, self.roster.digest, data)
        bucket.tokens += wire.MAX_DATAGRAM_BYTES - len(data)  # returns what the datagram did not use
        self.counts["sent"] += 1
        self.counts["sent_bytes"] += len(data) + PACKET_OVERHEAD_BYTES
        return [(self.roster.members[receiver].address, data)]

    def tick(self, now, unix):
        """Sends the probes, relayed answers and rumours that are due, as the datagrams that it returns. The caller
        has to call it again at `due()`."""
        datagrams = []
        for action, receiver, *details in self.members.step(now):
            if action == "ping":
                (nonce,) = details
                datagrams += self.send(now, self.probe_bucket, receiver, Kind.PING, nonce)
            else:
                target, nonce = details
                datagrams += self.send(now, self.probe_bucket, receiver, Kind.ASK, nonce, target)
        # A member that has asked for a probe is told after half a probe period that the target has not answered yet.
        for nonce, (requester, request_nonce, target, sent_at) in list(self.relayed_probes.items()):
            if now - sent_at >= PROBE_PERIOD_US // 2:
                del self.relayed_probes[nonce]
                datagrams += self.send(now, self.probe_bucket, requester, Kind.NACK, request_nonce, target)
        if now >= self.next_rumour_at:
            self.next_rumour_at = now + RUMOUR_INTERVAL_US
            limit = retransmission_limit(len(self.roster.members))
            if self.claims.next_to_send(now, limit) or self.members.suspects():
                for receiver in self.members.sample(
                    self.members.in_state("alive", "suspect", "unheard"), RUMOUR_FANOUT
                ):
                    datagrams += self.send(now, self.rumour_bucket, receiver, Kind.RUMOUR)
        self.collect_events(now)
        return datagrams

    def due(self):
        """When `tick` has something to do next."""
        return min(self.members.due(), self.next_rumour_at)

    # Receiving

    def received(self, now, unix, data, address):
        """Handles one datagram and returns the datagrams that answer it. A refused datagram is counted by its reason
        and has no other effect, with one exception: if it is signed but of an earlier life of its sender, the sender is
        told the latest life that is known here."""
        self.counts["received"] += 1
        try:
            header = wire.read_header(data)
            self.verifier.check_header(header, address, unix)
            self.verifier.verify_datagram(header, data, now)
            suspicions, statement = wire.read_body(data, header)
        except DatagramError as error:
            self.refused[error.reason] += 1
            if error.reason is Refused.OLD_LIFE:
                # The signature is valid: the datagram is old, or the sender's clock was set back before its last start.
                record = self.members.records[header.sender]
                return self.send(
                    now,
                    self.probe_bucket,
                    header.sender,
                    Kind.RUMOUR,
                    first_suspicions=[(header.sender, record.life, NO_SUSPICION)],
                )
            return []
        answers = []
        record = self.members.records[header.sender]
        # Built before the datagram changes the record. False, or the suspicion entry for a sender believed gone.
        gone_entry = record.state in ("dead", "left") and (header.sender, record.life, record.incarnation)
        if self.members.datagram_received(header.sender, header.life, now):
            self.claims.reset_send_counts()
        if statement:
            self.merge_statement(statement, header.sender, now)
        for member, life, incarnation in suspicions:
            if member == self.roster.me:
                self.refute(life, incarnation, now, unix)
            else:
                self.members.suspicion_received(member, life, incarnation, header.sender, now)
        # A sender that was believed dead or to have left is told so, so that it can refute that.
        answers += self.respond(header, now, [gone_entry] if gone_entry else [])
        self.collect_events(now)
        return answers

    def respond(self, header, now, first_suspicions):
        """Acts on the kind of the received datagram and returns the datagrams that answer it or pass an answer on.
        `first_suspicions` go with the answer to a ping."""
        kind = header.kind
        sender = header.sender
        if kind == Kind.PING:
            return self.send(now, self.probe_bucket, sender, Kind.ACK, header.nonce, first_suspicions=first_suspicions)
        if kind == Kind.ASK:
            if header.subject not in self.members.records or len(self.relayed_probes) >= MAX_RELAYED_PROBES:
                return []
            # A probe of our own uses the same sequence of nonces, which have 16 bits.
            self.members.nonce = nonce = (self.members.nonce + 1) % 65536
            self.relayed_probes[nonce] = sender, header.nonce, header.subject, now
            return self.send(now, self.probe_bucket, header.subject, Kind.PING, nonce)
        if kind == Kind.ACK and not header.subject:
            # The answer to a probe sent from here, either for another member or for this one.
            requester, request_nonce, target, _ = self.relayed_probes.pop(header.nonce, (None,) * 4)
            if requester is not None and target == sender:
                return self.send(now, self.probe_bucket, requester, Kind.ACK, request_nonce, target)
            if self.members.probe and self.members.probe.target == sender:
                self.members.answer_received(header.nonce, now)
        elif kind in (Kind.ACK, Kind.NACK):
            # A helper tells whether the target has answered it.
            self.members.answer_received(header.nonce, now, helper=sender, is_alive=kind == Kind.ACK)
        return []

    def merge_statement(self, statement, sender, now):
        """Merges a statement that is newer than the known one if its origin has signed it. `sender` passed it on and
        may be any member."""
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
        """Refutes a suspicion entry about this member with a new statement.

        A suspicion in the current incarnation is answered with the next incarnation. If another member knows a later
        life, the clock was set back between two starts: this member then takes a life later than that one. It accepts
        only lives that begin less than `MAX_LIFE_AHEAD_SECONDS` from now, so that a false entry cannot use up the range
        of lives."""
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
        """Moves the changes of member states to the events for the log, with the names of the members."""
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
