"""Packs and parses the datagrams between coordinators, and refuses malformed ones. No I/O, no clock.

docs/design/gossip.md specifies the layout byte for byte; all numbers are big-endian. A datagram carries at most one
statement: what one member, its origin, says of itself and of backends. The origin signs it, and other members pass it
on unchanged.

A life is one run of a member, numbered by the Unix time of its start in seconds. Within a life, the incarnation rises
each time the member refutes a suspicion.
"""

import enum
import struct
from dataclasses import dataclass, field

MAX_DATAGRAM_BYTES = 256  # the limit that PROTOCOL states
MAGIC = 0xC1
VERSION = 1
SIGNATURE_BYTES = 64  # Ed25519
# Magic, version, group, sender, receiver, life, counter, kind, nonce, subject, number of suspicions.
HEADER = struct.Struct(">BB4sHHIIBHHB")
SUSPICION = struct.Struct(">HIH")  # member, its life, its incarnation
STATEMENT = struct.Struct(">HIHIBB")  # origin, life, incarnation, version, flags, number of entries
ENTRY = struct.Struct(">8sBB")  # backend key, sixteenths of missing answers, age in tenths of a second
PARTS_PER_ANSWER = 16  # an entry counts missing answers in sixteenths, at most 255 of them
MAX_ENTRIES = 8  # in a statement; beside that many and two signatures a datagram has room for one suspicion
FLAG_LEFT = 1  # the origin leaves the group; this version knows no other flag


class Kind(enum.IntEnum):
    PING = 1  # asks the receiver for an answer; `subject` is 0
    ACK = 2  # answers a ping; with a `subject`: answers an ask, as `subject` has answered the ping
    ASK = 3  # asks the receiver to ping `subject`
    NACK = 4  # answers an ask: `subject` was pinged and has not answered yet
    RUMOUR = 5  # asks for no answer: only spreads the suspicions and the statement that it carries


class Refused(enum.Enum):
    """Why a datagram was not used, roughly in the order of the checks, the cheapest first."""

    LENGTH = "length"  # longer than 256 bytes, or too short for any datagram
    FORMAT = "format"  # another format or version
    GROUP = "group"  # of another group
    STRANGER = "stranger"  # the sender is not in the roster, or the roster has another address for it
    RECEIVER = "receiver"  # meant for another member
    OLD_LIFE = "old_life"  # of an earlier life of its sender
    AHEAD = "ahead"  # of a life that starts more than a day from now: one of the two clocks is far off
    REPLAYED = "replayed"  # received before, or too old for the replay window to tell
    BUDGET = "budget"  # that sender has used up its budget of verifications
    SIGNATURE = "signature"  # not signed with a key that the roster has for its sender
    BODY = "body"  # signed but malformed: the sender has another version or is faulty


class DatagramError(ValueError):
    """A datagram that is refused, with the reason."""

    def __init__(self, reason):
        super().__init__(reason.value)
        self.reason = reason


@dataclass(slots=True)
class Header:
    """The first part of a datagram. Members are given by their numbers."""

    group: bytes  # the tag of the group
    sender: int
    receiver: int  # 0: all members
    life: int  # of the sender
    counter: int  # rises with each datagram of this life, so that replayed ones are recognised
    kind: int
    nonce: int  # matches an answer to its question
    subject: int  # the member that an ask, or the answer to one, is about; 0: none
    suspicions: int  # how many suspicion entries follow the header


@dataclass(slots=True, frozen=True)
class Statement:
    """What one member says of itself and of backends at one time."""

    origin: int
    life: int
    incarnation: int
    version: int  # tenths of a second since the life began, but always more than in the statement before it
    has_left: bool
    entries: tuple  # (backend key, sixteenths of missing answers, age in tenths of a second)
    raw: bytes = field(compare=False, repr=False)  # as signed, with the signature

    @property
    def order(self):
        return self.life, self.version

    @property
    def signed(self):
        return self.raw[:-SIGNATURE_BYTES]

    @property
    def signature(self):
        return self.raw[-SIGNATURE_BYTES:]


def pack(header, suspicions, statement):
    """The bytes of a datagram without its signature. `statement`: the bytes of one, or None. It is always included;
    suspicions that do not fit beside it are left out."""
    statement = statement or b""
    room = MAX_DATAGRAM_BYTES - HEADER.size - SIGNATURE_BYTES - len(statement)
    suspicions = list(suspicions)[: room // SUSPICION.size]
    return (
        HEADER.pack(
            MAGIC,
            VERSION,
            header.group,
            header.sender,
            header.receiver,
            header.life,
            header.counter,
            header.kind,
            header.nonce,
            header.subject,
            len(suspicions),
        )
        + b"".join(SUSPICION.pack(*suspicion) for suspicion in suspicions)
        + statement
    )


def read_header(data):
    """Parses the header, which can be read before anything is verified. Raises `DatagramError`."""
    if not HEADER.size + SIGNATURE_BYTES <= len(data) <= MAX_DATAGRAM_BYTES:
        raise DatagramError(Refused.LENGTH)
    magic, version, *rest = HEADER.unpack_from(data)
    if (magic, version) != (MAGIC, VERSION):
        raise DatagramError(Refused.FORMAT)
    return Header(*rest)


def read_body(data, header):
    """The suspicions and the statement (or None) of a datagram whose signature is valid. Raises `DatagramError`."""
    start = HEADER.size
    end = len(data) - SIGNATURE_BYTES
    suspicions_end = start + header.suspicions * SUSPICION.size
    if suspicions_end > end or header.kind not in Kind._value2member_map_:
        raise DatagramError(Refused.BODY)
    suspicions = list(SUSPICION.iter_unpack(data[start:suspicions_end]))
    return suspicions, read_statement(data[suspicions_end:end]) if suspicions_end < end else None


def read_statement(raw):
    """Parses a statement with its signature, which is not verified here. Raises `DatagramError`."""
    if len(raw) < STATEMENT.size + SIGNATURE_BYTES:
        raise DatagramError(Refused.BODY)
    origin, life, incarnation, version, flags, count = STATEMENT.unpack_from(raw)
    if flags & ~FLAG_LEFT or count > MAX_ENTRIES or len(raw) != STATEMENT.size + count * ENTRY.size + SIGNATURE_BYTES:
        raise DatagramError(Refused.BODY)
    entries = tuple(ENTRY.iter_unpack(raw[STATEMENT.size : -SIGNATURE_BYTES]))
    if len({key for key, _, _ in entries}) < count:
        raise DatagramError(Refused.BODY)
    return Statement(origin, life, incarnation, version, bool(flags & FLAG_LEFT), entries, raw)


def pack_statement(origin, life, incarnation, version, has_left, entries):
    """The bytes of a statement without the signature."""
    return STATEMENT.pack(origin, life, incarnation, version, FLAG_LEFT if has_left else 0, len(entries)) + b"".join(
        ENTRY.pack(*entry) for entry in entries
    )
