"""Signatures, and the checks that a datagram has to pass before it counts as its sender's, the cheapest first.

The signatures are Ed25519 (RFC 8032) from `cryptography`, which is imported only where gossip is switched on. The
signed bytes begin with a word that says what the signature is for (`use`) and the digest of the group, so that a
signature for one use or group is not valid for another.
"""

from cranecleat.gossip.pace import TokenBucket
from cranecleat.gossip.roster import BROADCAST
from cranecleat.gossip.wire import SIGNATURE_BYTES, DatagramError, Refused

# The uses of a signature.
DATAGRAM = b"datagram"
STATEMENT = b"statement"
REPLAY_WINDOW_COUNTERS = 256  # a counter that is this far below the highest one of its sender is refused
# A life that begins further ahead of the time here is not accepted. Otherwise one wrong clock would make the name of a
# member unusable for good: the lives that it begins with a correct clock would count as earlier ones.
MAX_LIFE_AHEAD_SECONDS = 86_400
# Signatures that are checked for one sender: eight times the rate of a correct member.
VERIFICATIONS_PER_SECOND = 40
VERIFICATION_BURST = 80
# Signatures that are checked for all senders together, both the rate and the burst. At 0.15 ms for each signature this
# takes less than a tenth of a core.
TOTAL_VERIFICATIONS_PER_SECOND = 600


class Signer:
    """Signs with this member's own secret key of 32 bytes, which is never sent or logged."""

    def __init__(self, secret):
        from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey

        self.key = Ed25519PrivateKey.from_private_bytes(secret)
        self.public = self.key.public_key().public_bytes_raw()

    def sign(self, use, digest, data):
        return self.key.sign(use + digest + data)


class SignatureChecker:
    """Checks signatures against the keys of the members. The key that was valid last is tried first."""

    def __init__(self, roster):
        self.loaded = {}  # public key as bytes -> key object, so that a new roster loads only new keys
        self.update_roster(roster)

    def update_roster(self, roster):
        """Replaces the keys: those that are no longer in the roster are not valid from now on."""
        from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PublicKey

        self.keys = {}
        for number, member in roster.members.items():
            self.keys[number] = [self.loaded.get(key) or Ed25519PublicKey.from_public_bytes(key) for key in member.keys]
        self.loaded = {
            key: loaded
            for number, member in roster.members.items()
            for key, loaded in zip(member.keys, self.keys[number], strict=True)
        }

    def is_valid(self, number, use, digest, data, signature):
        """Whether the signature is that of the member with this number."""
        from cryptography.exceptions import InvalidSignature

        keys = self.keys.get(number, [])
        for position, key in enumerate(keys):
            try:
                key.verify(signature, use + digest + data)
            except InvalidSignature:
                continue
            if position:
                keys.insert(0, keys.pop(position))
            return True
        return False


class ReplayWindow:
    """Accepts each counter of a sender once, in its latest life. It works as the anti-replay window of RFC 4303,
    3.4.3."""

    def __init__(self):
        self.life = -1
        self.highest = -1
        self.used = 0  # bitmap: bit n stands for the counter `highest - n`

    def is_fresh(self, life, counter):
        """Whether the counter has not been used. One that is too old for the window counts as used."""
        if life != self.life:
            return life > self.life
        behind = self.highest - counter
        return behind < 0 or (behind < REPLAY_WINDOW_COUNTERS and not (self.used >> behind) & 1)

    def mark_used(self, life, counter):
        """Records a counter; a later life begins an empty window."""
        if life > self.life:
            self.life = life
            self.highest = -1
            self.used = 0
        if counter > self.highest:
            advance = counter - self.highest
            self.used = (
                (self.used << advance) & ((1 << REPLAY_WINDOW_COUNTERS) - 1) if advance < REPLAY_WINDOW_COUNTERS else 0
            )
            self.highest = counter
        self.used |= 1 << (self.highest - counter)


class DatagramVerifier:
    """Decides which datagrams are accepted, with the cheapest check first.

    Anybody can send datagrams at no cost, so it has to be cheap to refuse them: nothing is kept of a refused datagram.
    A signature is only checked if the datagram names a member and comes from its address, within a budget for each
    sender. An attacker who can send from a member's address can use up the budget of that member alone. That member and
    its claims are then no longer heard, and no other member is affected.
    """

    def __init__(self, roster, checker, now):
        self.roster = roster
        self.checker = checker
        self.windows = {}  # sender -> ReplayWindow
        self.budgets = {}  # sender -> TokenBucket
        self.total_budget = TokenBucket(TOTAL_VERIFICATIONS_PER_SECOND, TOTAL_VERIFICATIONS_PER_SECOND, now)

    def update_roster(self, roster):
        self.roster = roster
        self.checker.update_roster(roster)
        for by_sender in (self.windows, self.budgets):
            for number in [number for number in by_sender if number not in roster.members]:
                del by_sender[number]

    def check_header(self, header, address, unix):
        """Does the checks that need no signature; raises `DatagramError`. `unix`: the Unix time in seconds."""
        if header.group != self.roster.tag:
            raise DatagramError(Refused.GROUP)
        member = self.roster.members.get(header.sender)
        if member is None or header.sender == self.roster.me or member.address != address:
            raise DatagramError(Refused.STRANGER)
        if header.receiver not in (self.roster.me, BROADCAST):
            raise DatagramError(Refused.RECEIVER)
        if header.life > unix + MAX_LIFE_AHEAD_SECONDS:
            raise DatagramError(Refused.AHEAD)
        window = self.windows.get(header.sender)
        if window and header.life == window.life and not window.is_fresh(header.life, header.counter):
            raise DatagramError(Refused.REPLAYED)

    def verify_datagram(self, header, data, now):
        """Checks the signature within the sender's budget, then the life, and marks the counter as used. Raises
        `DatagramError`."""
        if not self.take_budget(header.sender, now):
            raise DatagramError(Refused.BUDGET)
        if not self.checker.is_valid(
            header.sender, DATAGRAM, self.roster.digest, data[:-SIGNATURE_BYTES], data[-SIGNATURE_BYTES:]
        ):
            raise DatagramError(Refused.SIGNATURE)
        window = self.windows.setdefault(header.sender, ReplayWindow())
        if header.life < window.life:
            raise DatagramError(Refused.OLD_LIFE)
        window.mark_used(header.life, header.counter)

    def verify_statement(self, statement, sender, now):
        """Whether the origin of a statement has signed it. The check uses up budget of `sender`, which passed it on."""
        if not self.take_budget(sender, now):
            return False
        return self.checker.is_valid(
            statement.origin, STATEMENT, self.roster.digest, statement.signed, statement.signature
        )

    def take_budget(self, sender, now):
        """Takes one verification from the budget of the sender and from the total. Returns whether both had one."""
        if sender not in self.budgets:
            self.budgets[sender] = TokenBucket(VERIFICATIONS_PER_SECOND, VERIFICATION_BURST, now)
        return self.budgets[sender].take(1, now) and self.total_budget.take(1, now)
