"""The operator's file as what it switches on: `read(path, me)`; every mistake at once, each with its line."""

from dataclasses import dataclass
from pathlib import Path

from cranecleat.operator.document import DocumentError, Mistake, Reader, address, nodes_of, size, span, text

SECTIONS = ("gossip", "files")
GOSSIP = ("group", "listen", "key", "rate", "status", "member")
FILES = ("folder", "sync", "poll", "lose", "hold")
POLL = 100_000  # microseconds: a tenth of a cycle, and a thousandth of a core for 1,000 reports that have not changed
SLOWEST, FASTEST = 2 << 10, 1 << 20  # bytes a second: a probe and its answers; far more than rumours can use


@dataclass(frozen=True, slots=True)
class GossipSettings:
    me: str
    group: str
    listen: tuple[str, int]
    key: Path
    rate: int  # bytes a second
    status: Path | None
    members: tuple


@dataclass(frozen=True, slots=True)
class FilesSettings:
    folder: Path
    sync: str  # one of disk.SYNCS
    poll: int  # microseconds from one look at what comes back to the next
    lose: int  # without a stream before a proxy is served through files
    hold: int  # with a stream again before it goes back


@dataclass(frozen=True, slots=True)
class Operator:
    """What the operator's file says; a section that is not there is None, and what it switches on is off."""

    path: Path
    gossip: GossipSettings | None = None
    files: FilesSettings | None = None


def read_operator_file(path, me=None):
    """The operator's file at `path` for the coordinator `me` (None: any, for checks). Raises DocumentError."""
    path = Path(path)
    try:
        written = path.read_text(encoding="utf-8")
    except OSError as failure:
        raise DocumentError([Mistake(str(path), 1, 1, f"cannot be read: {failure.strerror}")]) from None
    except UnicodeDecodeError as failure:
        raise DocumentError([Mistake(str(path), 1, 1, f"no UTF-8 at byte {failure.start}")]) from None
    nodes, mistakes = nodes_of(written, str(path)), []
    reader = Reader(str(path), mistakes)
    if nodes:
        reader.known(None, nodes, SECTIONS, "the operator's file")
    found = {}
    for node in nodes:
        if node.name in found:
            reader.wrong(node, f"{node.name!r} stands twice", "put both into one")
        elif node.name in SECTIONS:
            found[node.name] = node
    gossip = gossip_of(reader, found["gossip"], path.parent, me) if "gossip" in found else None
    files = files_of(reader, found["files"], path.parent) if "files" in found else None
    if mistakes:
        raise DocumentError(sorted(mistakes, key=lambda one: (one.line, one.column)))
    return Operator(path, gossip, files)


def files_of(reader, node, folder):
    from cranecleat.files.choice import STREAM_LOST_AFTER_US, STREAM_STABLE_AFTER_US
    from cranecleat.files.disk import SYNC_MODES

    def sync(value):
        if value not in SYNC_MODES:
            raise ValueError("no way of syncing")
        return value

    reader.known(node, node.children, FILES, "'files'")
    place = reader.value(reader.one(node, "folder"), text, "the path of a folder")
    how = reader.value(reader.one(node, "sync", needed=False), sync, "one of " + ", ".join(SYNC_MODES))
    spans = {
        "poll": (POLL, 10_000, 10_000_000),
        "lose": (STREAM_LOST_AFTER_US, 100_000, 60_000_000),
        "hold": (STREAM_STABLE_AFTER_US, 0, 3_600_000_000),
    }
    for called, (usual, least, most) in spans.items():
        line = reader.one(node, called, needed=False)
        told = reader.value(line, span, 'a time, such as "500ms"')
        if told is not None and not least <= told <= most:
            reader.wrong(line, f"{called} of {told / 1e6:g} s", f"it may be from {least / 1e6:g} to {most / 1e6:g} s")
        spans[called] = usual if told is None else told
    return None if reader.mistakes else FilesSettings(folder / place, how or "data", **spans)


def gossip_of(reader, node, folder, me):
    from cranecleat.gossip.agent import DEFAULT_BYTES_PER_SECOND
    from cranecleat.gossip.keys import decode
    from cranecleat.gossip.roster import Member, Roster, RosterError

    reader.known(node, node.children, GOSSIP, "'gossip'")
    group = reader.value(reader.one(node, "group"), text, "a name that all members write alike")
    listen = reader.value(reader.one(node, "listen"), address, '"address:port" for UDP')
    key = reader.value(reader.one(node, "key"), text, "the path of a file made by `cranecleat keys new`")
    rate_node = reader.one(node, "rate", needed=False)
    rate = reader.value(rate_node, size, 'bytes a second, such as "6KiB"')
    if rate is not None and not SLOWEST <= rate <= FASTEST:
        reader.wrong(rate_node, f"rate of {rate} bytes a second", "it may be from 2KiB to 1MiB")
    status = reader.value(reader.one(node, "status", needed=False), text, "the path of a file that is replaced")
    members, shape = (
        [],
        {
            "at": (address, '"address:port" for UDP', True),
            "key": (decode, "the line that `cranecleat keys show` prints", True),
            "next": (decode, "a second public key, while one replaces the other", False),
        },
    )
    lines = [child for child in node.children if child.name == "member"]
    for child in lines:
        if len(child.values) != 1 or not isinstance(child.values[0], str):
            reader.wrong(child, "'member' takes one name", 'such as member "n0" at="..." key="..."')
            continue
        told = reader.named(child, shape)
        if all(told.get(name) for name in ("at", "key")):
            keys = tuple(dict.fromkeys(key for key in (told["key"], told.get("next")) if key))
            members.append((child, Member(child.values[0], told["at"], keys)))
    if not lines:
        reader.wrong(node, "'gossip' has no 'member'", "add a line for each coordinator, this one among them")
    roster = None
    for child, member in members:
        try:
            if roster is None:
                roster = Roster(group or "", member.name, [member])
            else:
                roster.add(member)
        except RosterError as wrong:
            reader.wrong(child, str(wrong))
    if me is not None and lines and me not in [child.values[0] for child in lines if child.values]:
        reader.wrong(
            node, f"no member is called {me!r}, as this coordinator is", f'add member "{me}" at="..." key="..."'
        )
    if reader.mistakes:
        return None
    return GossipSettings(
        me,
        group,
        listen,
        folder / key,
        rate or DEFAULT_BYTES_PER_SECOND,
        folder / status if status else None,
        tuple(member for _, member in members),
    )
