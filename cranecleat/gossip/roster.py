"""The roster: the names and addresses of all members, and one or two keys of each. No I/O.

A member has two keys while one replaces the other.
"""

import hashlib
from dataclasses import dataclass

ID_BYTES = 2  # length of a member's number on the wire
TAG_BYTES = 4  # length of the group's tag in a datagram: the first bytes of the digest
DIGEST_BYTES = 16  # length of the digest of the group's name, which is a part of all signed bytes
KEY_BYTES = 32  # length of an Ed25519 public key (RFC 8032)
MAX_KEYS = 2  # keys that a member may have at a time
BROADCAST = 0  # as the receiver of a datagram: all members; no member has this number


class RosterError(ValueError):
    """A roster that cannot be used; the text says what is wrong and how to correct it."""


def member_number(name):
    """The number of a member on the wire. It depends on the name alone, so every member computes the same one whatever
    else its roster holds."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=ID_BYTES, person=b"member").digest(), "big")


@dataclass(frozen=True, slots=True)
class Member:
    """A member as the roster describes it."""

    name: str
    address: tuple[str, int]
    keys: tuple[bytes, ...]  # public, the newest last

    @property
    def number(self):
        return member_number(self.name)


class Roster:
    """The members by their number. What gossip keeps in memory is bounded by how many they are."""

    def __init__(self, group, me, members):
        self.group = group
        self.members = {}
        for member in members:
            self.add(member)
        self.me = member_number(me)
        if self.me not in self.members:
            raise RosterError(f"the roster has no member {me!r}: add the coordinator's own name, with its public key")
        self.digest = hashlib.blake2b(group.encode(), digest_size=DIGEST_BYTES, person=b"group").digest()
        self.tag = self.digest[:TAG_BYTES]

    def add(self, member):
        """Adds a member; raises `RosterError` if it conflicts with another one or has no usable keys."""
        existing = self.members.get(member.number)
        if existing:
            same_name = existing.name == member.name
            raise RosterError(
                f"member {member.name!r} is listed twice"
                if same_name
                else f"members {existing.name!r} and {member.name!r} get the same number: rename one of them"
            )
        if member.number == BROADCAST:
            raise RosterError(f"member {member.name!r} gets the number that means all members: rename it")
        if not 1 <= len(member.keys) <= MAX_KEYS or any(len(key) != KEY_BYTES for key in member.keys):
            raise RosterError(f"member {member.name!r} needs one or two public keys of {KEY_BYTES} bytes each")
        if any(other.address == member.address for other in self.members.values()):
            raise RosterError(f"member {member.name!r} has the address of another member")
        self.members[member.number] = member

    def others(self):
        """The numbers of all members but this one."""
        return [number for number in self.members if number != self.me]

    def name(self, number):
        """The name of a member; its number in hexadecimal if the roster does not have it."""
        return self.members[number].name if number in self.members else f"#{number:04x}"

    def max_faulty(self):
        """The number of faulty members that are tolerated: a fifth of the others, at least one. Their claims have no
        effect, whatever they claim. The number depends on the roster and not on the members that answer, so that an
        attacker who silences correct members does not give faulty ones more weight."""
        return max((len(self.members) - 1) // 5, 1)
