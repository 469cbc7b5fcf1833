"""Signing, and what has to hold before a datagram is believed to be its sender's: cheap checks before dear ones.

Ed25519 (RFC 8032) through `cryptography`, imported only where gossip is switched on. What is signed begins with the
group's digest and a word for its use, so that nothing signed for one use or group holds for another.
"""

from cranecleat.gossip.pace import Bucket
from cranecleat.gossip.roster import EVERYBODY
from cranecleat.gossip.wire import SIGNATURE, DatagramError, Refused

DATAGRAM, STATEMENT = b"datagram", b"statement"
WINDOW = 256  # counters of a sender that may come out of order
AHEAD = 86_400  # seconds: a life that begins further ahead is not believed, or one bad clock would end a name for good
VERIFIED, VERIFIED_BURST = 40, 80  # signatures a second checked for one sender: eight times what an honest one sends
WHOLE = 600  # and for all senders together: under a tenth of a core at 0.15 ms each


class Signer:
    """A member's own key; its 32 secret bytes never leave it."""

    def __init__(self, secret):
        from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey

        self.key = Ed25519PrivateKey.from_private_bytes(secret)
        self.public = self.key.public_key().public_bytes_raw()

    def sign(self, use, digest, data):
        return self.key.sign(use + digest + data)


class Checker:
    """Tells whether a signature is a member's. The key that held last is tried first."""

    def __init__(self, roster):
        self.loaded = {}
        self.update_roster(roster)

    def update_roster(self, roster):
        """Another roster: keys that are no longer in it hold nothing from now on."""
        from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PublicKey

        self.keys = {}
        for one, member in roster.members.items():
            self.keys[one] = [self.loaded.get(key) or Ed25519PublicKey.from_public_bytes(key) for key in member.keys]
        self.loaded = {
            key: loaded
            for one, member in roster.members.items()
            for key, loaded in zip(member.keys, self.keys[one], strict=True)
        }

    def is_valid(self, one, use, digest, data, signature):
        from cryptography.exceptions import InvalidSignature

        keys = self.keys.get(one, [])
        for place, key in enumerate(keys):
            try:
                key.verify(signature, use + digest + data)
            except InvalidSignature:
                continue
            if place:
                keys.insert(0, keys.pop(place))
            return True
        return False


class Window:
    """Counters of one life of one sender: each holds once (as in RFC 4303, 3.4.3)."""

    def __init__(self):
        self.life, self.top, self.seen = -1, -1, 0

    def fresh(self, life, counter):
        if life != self.life:
            return life > self.life
        behind = self.top - counter
        return behind < 0 or behind < WINDOW and not self.seen >> behind & 1

    def use(self, life, counter):
        if life > self.life:
            self.life, self.top, self.seen = life, -1, 0
        if counter > self.top:
            self.seen = (self.seen << (counter - self.top)) & ((1 << WINDOW) - 1) if counter - self.top < WINDOW else 0
            self.top = counter
        self.seen |= 1 << (self.top - counter)


class Door:
    """What each datagram has to pass, the cheapest check first. It costs a stranger nothing to send and us little to
    refuse: nothing is kept of it, and only what claims a member's name and comes from its address is verified at all,
    up to a budget a sender. Could do harm where an attacker can send from a member's address: that member's budget is
    used up, it counts as silent, and its claims with it; nobody else's."""

    def __init__(self, roster, checker, now):
        self.roster, self.checker = roster, checker
        self.windows, self.budgets = {}, {}
        self.whole = Bucket(WHOLE, WHOLE, now)

    def update_roster(self, roster):
        self.roster = roster
        self.checker.update_roster(roster)
        for kept in (self.windows, self.budgets):
            for one in [one for one in kept if one not in roster.members]:
                del kept[one]

    def look(self, head, address, unix):
        """Raises `DatagramError` for what need not be verified. `unix`: seconds."""
        if head.group != self.roster.tag:
            raise DatagramError(Refused.GROUP)
        member = self.roster.members.get(head.sender)
        if member is None or head.sender == self.roster.me or member.address != address:
            raise DatagramError(Refused.STRANGER)
        if head.receiver not in (self.roster.me, EVERYBODY):
            raise DatagramError(Refused.RECEIVER)
        if head.life > unix + AHEAD:
            raise DatagramError(Refused.AHEAD)
        window = self.windows.get(head.sender)
        if window and head.life == window.life and not window.fresh(head.life, head.counter):
            raise DatagramError(Refused.REPLAYED)

    def verify(self, head, data, now):
        if not self.may(head.sender, now):
            raise DatagramError(Refused.BUDGET)
        if not self.checker.is_valid(head.sender, DATAGRAM, self.roster.digest, data[:-SIGNATURE], data[-SIGNATURE:]):
            raise DatagramError(Refused.SIGNATURE)
        window = self.windows.setdefault(head.sender, Window())
        if head.life < window.life:
            raise DatagramError(Refused.OLD_LIFE)
        window.use(head.life, head.counter)

    def vouched(self, statement, sender, now):
        """Whether a statement is its origin's: passed on by `sender`, whose budget it costs."""
        if not self.may(sender, now):
            return False
        return self.checker.is_valid(
            statement.origin, STATEMENT, self.roster.digest, statement.signed, statement.signature
        )

    def may(self, sender, now):
        if sender not in self.budgets:
            self.budgets[sender] = Bucket(VERIFIED, VERIFIED_BURST, now)
        return self.budgets[sender].take(1, now) and self.whole.take(1, now)
