"""The roster: the names and addresses of all members, and one or two keys of each. No I/O.

A member has two keys while one replaces the other.
"""

import hashlib
from dataclasses import dataclass

ID_BYTES = 2
TAG_BYTES = 4
DIGEST_BYTES = 16
KEY_BYTES = 32  # of an Ed25519 public key (RFC 8032)
MAX_KEYS = 2  # that a member may have at a time
BROADCAST = 0  # the receiver's number that means all members; no member gets it


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
    """The members by their number. Their count bounds all that gossip keeps."""

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
        """How many members may claim anything without effect: a fifth of the others, at least one. The number depends
        on the roster and not on the members that answer, so that silencing members does not give faulty ones more
        weight."""
        return max((len(self.members) - 1) // 5, 1)
