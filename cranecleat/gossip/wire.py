"""Datagrams between coordinators: bytes in, one object or one refusal out. No I/O, no clock; big-endian throughout.

The layout stands byte for byte in docs/design/gossip.md. A datagram holds at most one statement: what one member, its
origin, says of itself and of backends, signed by the origin and passed on as it is.
"""

import enum
import struct
from dataclasses import dataclass, field

LONGEST = 256  # bytes of a datagram, as PROTOCOL states
MAGIC, VERSION = 0xC1, 1
SIGNATURE = 64  # bytes (Ed25519)
HEAD = struct.Struct(">BB4sHHIIBHHB")  # magic, version, group, sender, receiver, life, counter, kind, nonce, subject, n
SUSPICION = struct.Struct(">HIH")  # member, its life, its incarnation
STATEMENT = struct.Struct(">HIHIBB")  # origin, life, incarnation, version, flags, entries
ENTRY = struct.Struct(">8sBB")  # backend's key, sixteenths of answers missing, age in tenths of a second
PARTS = 16  # of an answer: how finely missing ones are told, up to 255 of them
ENTRIES = 8  # in a statement: with its two signatures that leaves room for one suspicion
LEFT = 1  # flag: the origin leaves; any other bit is none that this version knows


class Kind(enum.IntEnum):
    PING = 1  # are you there? `subject` 0
    ACK = 2  # yes; or for `subject`, whom the receiver asked for
    ASK = 3  # ask `subject` for me
    NACK = 4  # I did ask, and have heard nothing yet
    RUMOUR = 5  # only what it carries


class Refused(enum.Enum):
    """Why a datagram was not used, the cheapest checks first."""

    LENGTH = "length"  # over 256 bytes or too short for any
    FORMAT = "format"  # not this format, or another version of it
    GROUP = "group"  # of another group
    STRANGER = "stranger"  # its sender is not in the roster, or it comes from another address than the roster's
    RECEIVER = "receiver"  # meant for another member
    OLD_LIFE = "old_life"  # of an earlier life of its sender
    AHEAD = "ahead"  # a life that starts more than a day from now: somebody's clock is far off
    REPLAYED = "replayed"  # seen before, or too old to tell
    BUDGET = "budget"  # more to verify from that sender than it may cost
    SIGNATURE = "signature"  # not signed with a key of its sender
    BODY = "body"  # signed, and yet not readable: a member with another version, or a faulty one


class DatagramError(ValueError):
    def __init__(self, why):
        super().__init__(why.value)
        self.why = why


@dataclass(slots=True)
class Header:
    group: bytes
    sender: int
    receiver: int
    life: int
    counter: int
    kind: int
    nonce: int
    subject: int
    suspicions: int  # how many follow


@dataclass(slots=True, frozen=True)
class Statement:
    origin: int
    life: int
    incarnation: int
    version: int  # tenths of a second since the life began, and always more than the one before
    left: bool
    entries: tuple  # (key, sixteenths of answers missing, age in tenths of a second)
    raw: bytes = field(compare=False, repr=False)  # as signed, signature included

    @property
    def order(self):
        return self.life, self.version

    @property
    def signed(self):
        return self.raw[:-SIGNATURE]

    @property
    def signature(self):
        return self.raw[-SIGNATURE:]


def pack(head, suspicions, statement):
    """All but the signature. What does not fit is left out: the statement first has its place, then suspicions."""
    statement = statement or b""
    room = LONGEST - HEAD.size - SIGNATURE - len(statement)
    suspicions = list(suspicions)[: room // SUSPICION.size]
    return (
        HEAD.pack(
            MAGIC,
            VERSION,
            head.group,
            head.sender,
            head.receiver,
            head.life,
            head.counter,
            head.kind,
            head.nonce,
            head.subject,
            len(suspicions),
        )
        + b"".join(SUSPICION.pack(*one) for one in suspicions)
        + statement
    )


def read_head(data):
    """What can be told before anything is verified."""
    if not HEAD.size + SIGNATURE <= len(data) <= LONGEST:
        raise DatagramError(Refused.LENGTH)
    magic, version, *rest = HEAD.unpack_from(data)
    if (magic, version) != (MAGIC, VERSION):
        raise DatagramError(Refused.FORMAT)
    return Header(*rest)


def read_body(data, head):
    """Suspicions and the statement of a datagram whose signature holds."""
    start, end = HEAD.size, len(data) - SIGNATURE
    stop = start + head.suspicions * SUSPICION.size
    if stop > end or head.kind not in Kind._value2member_map_:
        raise DatagramError(Refused.BODY)
    suspicions = list(SUSPICION.iter_unpack(data[start:stop]))
    return suspicions, read_statement(data[stop:end]) if stop < end else None


def read_statement(raw):
    if len(raw) < STATEMENT.size + SIGNATURE:
        raise DatagramError(Refused.BODY)
    origin, life, incarnation, version, flags, count = STATEMENT.unpack_from(raw)
    if flags & ~LEFT or count > ENTRIES or len(raw) != STATEMENT.size + count * ENTRY.size + SIGNATURE:
        raise DatagramError(Refused.BODY)
    entries = tuple(ENTRY.iter_unpack(raw[STATEMENT.size : -SIGNATURE]))
    if len({key for key, _, _ in entries}) < count:
        raise DatagramError(Refused.BODY)
    return Statement(origin, life, incarnation, version, bool(flags & LEFT), entries, raw)


def pack_statement(origin, life, incarnation, version, left, entries):
    """All but the signature."""
    return STATEMENT.pack(origin, life, incarnation, version, LEFT if left else 0, len(entries)) + b"".join(
        ENTRY.pack(*entry) for entry in entries
    )
