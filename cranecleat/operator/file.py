"""Reads the operator's file into settings, or reports all its mistakes at once, each with its line."""

from dataclasses import dataclass
from pathlib import Path

from cranecleat.operator.document import DocumentError, Mistake, NodeReader, address, duration, parse_nodes, size, text

SECTIONS = ("gossip", "files")
GOSSIP_NAMES = ("group", "listen", "key", "rate", "status", "member")
FILES_NAMES = ("folder", "sync", "poll", "lose", "hold")
# A tenth of a cycle. To poll 1,000 reports that have not changed at this interval takes a thousandth of a core.
DEFAULT_POLL_US = 100_000
# The range of `rate`.
MIN_BYTES_PER_SECOND = 2 << 10  # enough for a probe and its answers
MAX_BYTES_PER_SECOND = 1 << 20  # far more than rumours can use


@dataclass(frozen=True, slots=True)
class GossipSettings:
    """The section `gossip` for the coordinator `me`."""

    me: str
    group: str
    listen: tuple[str, int]
    key: Path
    rate: int  # bytes a second
    status: Path | None
    members: tuple


@dataclass(frozen=True, slots=True)
class FilesSettings:
    """The section `files`. Times are in microseconds."""

    folder: Path
    sync: str  # one of cranecleat.files.disk.SYNC_MODES
    poll: int  # interval at which the proxies' report files are read
    lose: int  # a proxy that has had no stream for this long is served through files
    hold: int  # a proxy that has had a stream again for this long is no longer served through files


@dataclass(frozen=True, slots=True)
class OperatorSettings:
    """The content of the operator's file. A section that is missing is None, and what it would switch on is off."""

    path: Path
    gossip: GossipSettings | None = None
    files: FilesSettings | None = None


def read_operator_file(path, me=None):
    """Reads the operator's file at `path`. `me`: the name of the coordinator that uses it; None if the file is only
    checked, for no coordinator in particular. Raises `DocumentError`."""
    path = Path(path)
    try:
        content = path.read_text(encoding="utf-8")
    except OSError as error:
        raise DocumentError([Mistake(str(path), 1, 1, f"cannot be read: {error.strerror}")]) from None
    except UnicodeDecodeError as error:
        raise DocumentError([Mistake(str(path), 1, 1, f"not UTF-8 at byte {error.start}")]) from None
    nodes = parse_nodes(content, str(path))
    mistakes = []
    reader = NodeReader(str(path), mistakes)
    if nodes:
        reader.check_names(None, nodes, SECTIONS, "the operator's file")
    sections = {}
    for node in nodes:
        if node.name in sections:
            reader.add_mistake(node, f"{node.name!r} is given twice", "merge the two sections")
        elif node.name in SECTIONS:
            sections[node.name] = node
    gossip = read_gossip(reader, sections["gossip"], path.parent, me) if "gossip" in sections else None
    files = read_files(reader, sections["files"], path.parent) if "files" in sections else None
    if mistakes:
        raise DocumentError(sorted(mistakes, key=lambda mistake: (mistake.line, mistake.column)))
    return OperatorSettings(path, gossip, files)


def read_files(reader, node, folder):
    """Reads the section `files`; None if the file has mistakes. Relative paths start at `folder`."""
    from cranecleat.files.choice import STREAM_LOST_AFTER_US, STREAM_STABLE_AFTER_US
    from cranecleat.files.disk import SYNC_MODES

    def sync(value):
        if value not in SYNC_MODES:
            raise ValueError("unknown way of syncing")
        return value

    reader.check_names(node, node.children, FILES_NAMES, "'files'")
    files_folder = reader.single_value(reader.single_child(node, "folder"), text, "the path of a folder")
    sync_mode = reader.single_value(
        reader.single_child(node, "sync", needed=False), sync, "one of " + ", ".join(SYNC_MODES)
    )
    # name -> (default, least, most) in microseconds; the loop replaces each triple with the value that holds
    times = {
        "poll": (DEFAULT_POLL_US, 10_000, 10_000_000),
        "lose": (STREAM_LOST_AFTER_US, 100_000, 60_000_000),
        "hold": (STREAM_STABLE_AFTER_US, 0, 3_600_000_000),
    }
    for name, (default, least, most) in times.items():
        child = reader.single_child(node, name, needed=False)
        value = reader.single_value(child, duration, 'a time, such as "500ms"')
        if value is not None and not least <= value <= most:
            reader.add_mistake(
                child, f"{name} of {value / 1e6:g} s", f"it may be from {least / 1e6:g} to {most / 1e6:g} s"
            )
        times[name] = default if value is None else value
    return None if reader.mistakes else FilesSettings(folder / files_folder, sync_mode or "data", **times)


def read_gossip(reader, node, folder, me):
    """Reads the section `gossip` for the coordinator `me` (see `read_operator_file`); None if the file has mistakes.
    Relative paths start at `folder`."""
    from cranecleat.gossip.agent import DEFAULT_BYTES_PER_SECOND
    from cranecleat.gossip.keys import decode
    from cranecleat.gossip.roster import Member, Roster, RosterError

    reader.check_names(node, node.children, GOSSIP_NAMES, "'gossip'")
    group = reader.single_value(reader.single_child(node, "group"), text, "a name, the same for all members")
    listen = reader.single_value(reader.single_child(node, "listen"), address, '"address:port" for UDP')
    key = reader.single_value(
        reader.single_child(node, "key"), text, "the path of a file made by `cranecleat keys new`"
    )
    rate_node = reader.single_child(node, "rate", needed=False)
    rate = reader.single_value(rate_node, size, 'bytes a second, such as "6KiB"')
    if rate is not None and not MIN_BYTES_PER_SECOND <= rate <= MAX_BYTES_PER_SECOND:
        reader.add_mistake(rate_node, f"rate of {rate} bytes a second", "it may be from 2KiB to 1MiB")
    status = reader.single_value(
        reader.single_child(node, "status", needed=False), text, "the path of a file that is replaced"
    )
    members = []
    # property of a `member` -> (parse, expected, whether it is needed)
    member_values = {
        "at": (address, '"address:port" for UDP', True),
        "key": (decode, "the line that `cranecleat keys show` prints", True),
        "next": (decode, "a second public key, while one replaces the other", False),
    }
    member_nodes = [child for child in node.children if child.name == "member"]
    for child in member_nodes:
        if len(child.values) != 1 or not isinstance(child.values[0], str):
            reader.add_mistake(child, "'member' takes one name", 'such as member "n0" at="..." key="..."')
            continue
        values = reader.named_values(child, member_values)
        if all(values.get(name) for name in ("at", "key")):
            keys = tuple(dict.fromkeys(key for key in (values["key"], values.get("next")) if key))
            members.append((child, Member(child.values[0], values["at"], keys)))
    if not member_nodes:
        reader.add_mistake(node, "'gossip' has no 'member'", "add a line for each coordinator, also for this one")
    roster = None
    for child, member in members:
        try:
            if roster is None:
                roster = Roster(group or "", member.name, [member])
            else:
                roster.add(member)
        except RosterError as error:
            reader.add_mistake(child, str(error))
    if me is not None and member_nodes and me not in [child.values[0] for child in member_nodes if child.values]:
        reader.add_mistake(
            node, f"no member has the name of this coordinator, {me!r}", f'add member "{me}" at="..." key="..."'
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
