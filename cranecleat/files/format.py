"""The four kinds of file as text: writing and reading. A file is lines of words with a checksum at the end. No I/O, no
clock.

Names may hold any bytes: whatever is not a letter, a digit or one of `-._~` is written as %XX of its UTF-8 encoding. A
file that does not end in its own checksum is rejected, whatever else it holds: it may be half written, truncated,
changed or of another kind.
"""

import hashlib
import re
from dataclasses import dataclass, field
from math import isfinite
from urllib.parse import quote, unquote

FORMAT_VERSION = 1
MAX_FILE_BYTES = 1 << 20  # the same limit as for a message on a stream
DIGEST_BYTES = 16  # length of the digest that names a body; the checksum of a file has half of that
PROOFS = ("refused", "unsent")  # why a call certainly never ran: the connection was refused; nothing was sent
NAME = re.compile(r"[A-Za-z0-9._~%-]{1,400}")
WHOLE_NUMBER = re.compile(r"\d{1,18}")


class UnusableFileError(ValueError):
    """A file that cannot be used; the text says why. The last file that could be used stays in force."""


@dataclass(slots=True, frozen=True)
class Header:
    """Which writer wrote a file, and where it stands in the order of that writer's files.

    fence: raised by each writer that takes the folder over.
    life: identifies one run of the writer.
    generation: number of the file, never used for two contents.
    after: generation of the file that this one replaces.
    """

    fence: int
    life: int
    generation: int
    after: int


@dataclass(slots=True, frozen=True)
class Body:
    """The entries of one table, sorted by name. Its file is named by the digest of its content, so it never
    changes."""

    entries: tuple  # (backend, weight)


@dataclass(slots=True, frozen=True)
class Tables:
    """What all proxies share: the body of each table, the levels, and the withdrawn backends."""

    header: Header
    bodies: dict  # table -> name of its body
    levels: dict  # (table, or None for all tables; route) -> (admission level, tries)
    withdrawn: frozenset


@dataclass(slots=True, frozen=True)
class RetryOrder:
    """An order to retry one call, once only, given on proof that the call never ran."""

    number: int
    call: str
    proof: str


@dataclass(slots=True, frozen=True)
class Orders:
    """What one proxy needs besides the tables."""

    header: Header
    proxy: int
    active: bool  # whether the proxy is to follow files at all
    needs: int  # the oldest generation of the tables with which these orders may be applied
    bound: dict  # route -> table
    retries: tuple = ()


@dataclass(slots=True)
class Report:
    """What a proxy or a collector reports of itself. All figures are sums since its life began, so that nothing is
    counted twice or lost if a report is read twice or never."""

    who: str  # "p17" for proxy 17, or "z" and a zone's name for a collector
    zone: str
    life: int  # identifies one run of the report's writer
    beat: int  # heartbeat: one higher in each report of a life
    every: int  # milliseconds between two beats
    typical_rate: float = 0.0  # calls a second
    uses_initial_table: bool = False  # whether it holds only the table that it drew at its start
    applied: tuple = (0, 0)  # generations of tables and orders in force
    last_retry: int = 0  # number of the last retry order taken on
    calls: dict = field(default_factory=dict)  # route -> calls received
    attempts: dict = field(default_factory=dict)  # backend -> (tries, unanswered tries, sum of answer times in ms)
    load: dict = field(default_factory=dict)  # backend -> (CPU used, calls a second), as last reported


def quote_name(text):
    """The name as one word; the empty name is written as "%"."""
    return quote(text, safe="~") or "%"


def unquote_name(word):
    if not NAME.fullmatch(word):
        raise UnusableFileError(f"{word[:40]!r} is not a valid name")
    return "" if word == "%" else unquote(word, errors="surrogateescape")


def format_number(value):
    return f"{value:.6g}"


def parse_number(word, what, least=0.0, most=1e15):
    try:
        value = float(word)
    except ValueError:
        raise UnusableFileError(f"{what} {word[:40]!r} is not a number") from None
    if not isfinite(value) or not least <= value <= most:
        raise UnusableFileError(f"{what} {word[:40]!r} is out of range")
    return value


def parse_whole_number(word, what):
    if not WHOLE_NUMBER.fullmatch(word):
        raise UnusableFileError(f"{what} {word[:40]!r} is not a whole number")
    return int(word)


def checksum(text):
    return hashlib.blake2b(text.encode("utf-8", "surrogateescape"), digest_size=DIGEST_BYTES // 2).hexdigest()


def encode_file(kind, lines):
    """The bytes of a file of that kind, with its first line and its checksum."""
    text = "".join(line + "\n" for line in (f"cranecleat-{kind} {FORMAT_VERSION}", *lines))
    return f"{text}end {checksum(text)}\n".encode("utf-8", "surrogateescape")


def decode_file(kind, data):
    """Verifies the checksum, kind and version; returns the lines between the first and the last, each as a list of
    words."""
    if len(data) > MAX_FILE_BYTES:
        raise UnusableFileError(f"{len(data)} bytes exceed the limit of {MAX_FILE_BYTES}")
    text = data.decode("utf-8", "surrogateescape")
    content, _, end = text.rpartition("end ")
    if not text.endswith("\n") or not content.endswith("\n") or end != f"{checksum(content)}\n":
        raise UnusableFileError("truncated or changed: the checksum does not match" if data else "empty")
    first, *lines = content.split("\n")[:-1]
    word, _, version = first.partition(" ")
    if word != f"cranecleat-{kind}":
        raise UnusableFileError(f"a file that begins with {first[:40]!r}, not cranecleat-{kind}")
    if version != str(FORMAT_VERSION):
        raise UnusableFileError(f"format version {version[:20]}, but only {FORMAT_VERSION} is supported")
    return [line.split(" ") for line in lines]


class FileLines:
    """The lines of a file, grouped by their first word. What follows the first word are the line's values."""

    def __init__(self, kind, data, known):
        self.lines = {}
        for first, *values in decode_file(kind, data):
            if first not in known:
                raise UnusableFileError(f"a line {first[:40]!r}, which this format does not have")
            self.lines.setdefault(first, []).append(values)

    def one(self, first, length):
        """The values of the line, which has to occur exactly once."""
        found = self.lines.get(first, [])
        if len(found) != 1 or len(found[0]) != length:
            raise UnusableFileError(f"expected exactly one line {first!r} with {length} values")
        return found[0]

    def whole_number(self, first):
        return parse_whole_number(self.one(first, 1)[0], first)

    def many(self, first, length):
        """The values of each line that begins with that word."""
        for values in self.lines.get(first, ()):
            if len(values) != length:
                raise UnusableFileError(f"a line {first!r} that does not have {length} values")
            yield values

    def header(self):
        return Header(*(self.whole_number(first) for first in ("fence", "life", "generation", "after")))


def header_lines(header):
    return (
        f"fence {header.fence}",
        f"life {header.life}",
        f"generation {header.generation}",
        f"after {header.after}",
    )


HEADER_WORDS = {"fence", "life", "generation", "after"}


# Bodies


def write_body(body):
    """Returns the file's content and its name."""
    data = encode_file("body", [f"{quote_name(backend)} {format_number(weight)}" for backend, weight in body.entries])
    return data, hashlib.blake2b(data, digest_size=DIGEST_BYTES).hexdigest()


def read_body(data, file_name):
    if hashlib.blake2b(data, digest_size=DIGEST_BYTES).hexdigest() != file_name:
        raise UnusableFileError("the content does not match the file's name")
    entries = []
    for words in decode_file("body", data):
        if len(words) != 2:
            raise UnusableFileError("a line that does not have two words")
        entries.append((unquote_name(words[0]), parse_number(words[1], "weight")))
    if len({backend for backend, _ in entries}) < len(entries):
        raise UnusableFileError("a backend is listed twice")
    return Body(tuple(entries))


# Tables


def write_tables(tables):
    lines = [*header_lines(tables.header)]
    lines += [f"table {table} {body}" for table, body in sorted(tables.bodies.items())]
    lines += [
        f"level {'all' if table is None else table} {quote_name(route)} {format_number(level)} {tries}"
        for (table, route), (level, tries) in sorted(tables.levels.items(), key=str)
    ]
    lines += [f"out {quote_name(backend)}" for backend in sorted(tables.withdrawn)]
    return encode_file("tables", lines)


def read_tables(data):
    lines = FileLines("tables", data, HEADER_WORDS | {"table", "level", "out"})
    bodies = {}
    for table, body in lines.many("table", 2):
        if not re.fullmatch(rf"[0-9a-f]{{{2 * DIGEST_BYTES}}}", body):
            raise UnusableFileError(f"{body[:40]!r} is not the name of a body")
        if bodies.setdefault(parse_whole_number(table, "table"), body) is not body:
            raise UnusableFileError(f"table {table} is listed twice")
    levels = {
        (None if table == "all" else parse_whole_number(table, "table"), unquote_name(route)): (
            parse_number(level, "level"),
            parse_whole_number(tries, "tries"),
        )
        for table, route, level, tries in lines.many("level", 4)
    }
    return Tables(lines.header(), bodies, levels, frozenset(unquote_name(b) for (b,) in lines.many("out", 1)))


# Orders


def write_orders(orders):
    lines = [
        *header_lines(orders.header),
        f"proxy {orders.proxy}",
        f"active {int(orders.active)}",
        f"needs {orders.needs}",
    ]
    lines += [f"bind {quote_name(route)} {table}" for route, table in sorted(orders.bound.items())]
    lines += [f"again {retry.number} {quote_name(retry.call)} {retry.proof}" for retry in orders.retries]
    return encode_file("orders", lines)


def read_orders(data):
    lines = FileLines("orders", data, HEADER_WORDS | {"proxy", "active", "needs", "bind", "again"})
    retries = []
    for number, call, proof in lines.many("again", 3):
        if proof not in PROOFS:
            raise UnusableFileError(f"a retry order with the unknown proof {proof[:40]!r}")
        retries.append(RetryOrder(parse_whole_number(number, "again"), unquote_name(call), proof))
    if [retry.number for retry in retries] != sorted({retry.number for retry in retries}):
        raise UnusableFileError("retry orders that are not sorted by their numbers")
    active = lines.whole_number("active")
    if active > 1:
        raise UnusableFileError("active has to be 0 or 1")
    bound = {unquote_name(route): parse_whole_number(table, "table") for route, table in lines.many("bind", 2)}
    return Orders(
        lines.header(), lines.whole_number("proxy"), bool(active), lines.whole_number("needs"), bound, tuple(retries)
    )


# Reports


def write_report(report):
    lines = [
        f"who {quote_name(report.who)}",
        f"zone {quote_name(report.zone)}",
        f"life {report.life}",
        f"beat {report.beat}",
        f"every {report.every}",
        f"typical {format_number(report.typical_rate)}",
        f"standing {int(report.uses_initial_table)}",
        f"applied {report.applied[0]} {report.applied[1]}",
        f"again {report.last_retry}",
    ]
    lines += [f"calls {quote_name(route)} {calls}" for route, calls in sorted(report.calls.items())]
    lines += [
        f"met {quote_name(backend)} {tries} {unanswered} {round(answer_time)}"
        for backend, (tries, unanswered, answer_time) in sorted(report.attempts.items())
    ]
    lines += [
        f"load {quote_name(backend)} {format_number(used)} {format_number(served)}"
        for backend, (used, served) in sorted(report.load.items())
    ]
    return encode_file("report", lines)


def read_report(data):
    lines = FileLines(
        "report",
        data,
        {"who", "zone", "life", "beat", "every", "typical", "standing", "applied", "again", "calls", "met", "load"},
    )
    attempts = {}
    for backend, tries, unanswered, answer_time in lines.many("met", 4):
        attempts[unquote_name(backend)] = tuple(
            parse_whole_number(word, "met") for word in (tries, unanswered, answer_time)
        )
        if attempts[unquote_name(backend)][1] > attempts[unquote_name(backend)][0]:
            raise UnusableFileError(f"more unanswered tries than tries at {backend[:40]}")
    return Report(
        unquote_name(lines.one("who", 1)[0]),
        unquote_name(lines.one("zone", 1)[0]),
        lines.whole_number("life"),
        lines.whole_number("beat"),
        lines.whole_number("every"),
        parse_number(lines.one("typical", 1)[0], "typical"),
        bool(lines.whole_number("standing")),
        tuple(parse_whole_number(word, "applied") for word in lines.one("applied", 2)),
        lines.whole_number("again"),
        {unquote_name(route): parse_whole_number(calls, "calls") for route, calls in lines.many("calls", 2)},
        attempts,
        {
            unquote_name(backend): (parse_number(used, "load"), parse_number(served, "load"))
            for backend, used, served in lines.many("load", 3)
        },
    )
