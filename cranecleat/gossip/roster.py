"""Who may take part: names, addresses, and up to two keys a member while one replaces the other. No I/O."""

import hashlib
from dataclasses import dataclass

ID_BYTES, TAG_BYTES, DIGEST_BYTES = 2, 4, 16
KEY_BYTES = 32  # of an Ed25519 public key (RFC 8032)
KEYS = 2  # that a member may have at a time
EVERYBODY = 0  # the receiver's number that means all; no member gets it


class RosterError(ValueError):
    """A roster that cannot be used; the text says what is wrong and what would be right."""


def member_number(name):
    """A member's number on the wire, the same at every member, whatever else stands in its roster."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=ID_BYTES, person=b"member").digest(), "big")


@dataclass(frozen=True, slots=True)
class Member:
    name: str
    address: tuple[str, int]
    keys: tuple[bytes, ...]  # public, the newest last

    @property
    def number(self):
        return member_number(self.name)


class Roster:
    """Members by number. Everything that gossip keeps is bounded by how many there are."""

    def __init__(self, group, me, members):
        self.group, self.members = group, {}
        for member in members:
            self.add(member)
        self.me = member_number(me)
        if self.me not in self.members:
            raise RosterError(f"the roster has no member {me!r}: add the coordinator's own name, with its public key")
        self.digest = hashlib.blake2b(group.encode(), digest_size=DIGEST_BYTES, person=b"group").digest()
        self.tag = self.digest[:TAG_BYTES]

    def add(self, member):
        twin = self.members.get(member.number)
        if twin:
            same = twin.name == member.name
            raise RosterError(
                f"member {member.name!r} stands twice"
                if same
                else f"members {twin.name!r} and {member.name!r} get the same number: rename one of them"
            )
        if member.number == EVERYBODY:
            raise RosterError(f"member {member.name!r} gets the number that means everybody: rename it")
        if not 1 <= len(member.keys) <= KEYS or any(len(key) != KEY_BYTES for key in member.keys):
            raise RosterError(f"member {member.name!r} needs one or two public keys of {KEY_BYTES} bytes each")
        if any(other.address == member.address for other in self.members.values()):
            raise RosterError(f"member {member.name!r} has the address of another member")
        self.members[member.number] = member

    def others(self):
        return [one for one in self.members if one != self.me]

    def name(self, one):
        return self.members[one].name if one in self.members else f"#{one:04x}"

    def liars(self):
        """How many members may lie without effect: a fifth of the others, one at the least. It rests on the roster
        and not on who answers, so that silencing members does not make liars count for more."""
        return max((len(self.members) - 1) // 5, 1)
