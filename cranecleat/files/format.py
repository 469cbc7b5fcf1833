"""The four kinds of file as text, and back: lines of words, a checksum at the end. No I/O, no clock.

Names may hold any bytes: what is not a letter, a digit or one of `-._~` is written as %XX of its UTF-8. A file that
does not end in its own checksum is no file of ours, whatever else it holds: half written, cut, changed or of another
kind.
"""

import hashlib
import re
from dataclasses import dataclass, field
from math import isfinite
from urllib.parse import quote, unquote

FORMAT = 1
LONGEST = 1 << 20  # bytes of a file, as of a message on a stream
DIGEST = 16  # bytes of a body's name, and of a checksum half of that
PROOFS = ("refused", "unsent")  # why it is certain that a call never ran: the connection was refused; nothing was sent
NAME = re.compile(r"[A-Za-z0-9._~%-]{1,400}")
WHOLE = re.compile(r"\d{1,18}")


class UnusableFileError(ValueError):
    """A file that cannot be used; the text says what is wrong. The last good one stands."""


@dataclass(slots=True, frozen=True)
class Header:
    """Which writer wrote it, in which life, as its how-manieth, after which one."""

    fence: int
    life: int
    generation: int
    after: int


@dataclass(slots=True, frozen=True)
class Body:
    """The lines of one table, in the order of names. Its name is its content's digest: it never changes."""

    lines: tuple  # (backend, weight)


@dataclass(slots=True, frozen=True)
class Tables:
    """What all proxies share: which body each table has, the levels, and who is shut out."""

    header: Header
    bodies: dict  # table -> a body's name
    levels: dict  # (table or None for all, route) -> (level, tries)
    out: frozenset


@dataclass(slots=True, frozen=True)
class Again:
    """An order to try one call again, once ever, on proof that it never ran."""

    number: int
    call: str
    proof: str


@dataclass(slots=True, frozen=True)
class Orders:
    """What one proxy needs beside the tables. `active`: whether it is to follow files at all."""

    header: Header
    proxy: int
    active: bool
    needs: int  # the least generation of the tables that it goes with
    bound: dict  # route -> table
    again: tuple = ()


@dataclass(slots=True)
class Report:
    """What a proxy or a collector says of itself: sums since its life began, so that reading it twice, or skipping one,
    counts nothing twice and loses nothing."""

    who: str  # "p17" or "z" and a zone's name
    zone: str
    life: int  # of the writer of this report
    beat: int  # one more in each, the sign of life
    every: int  # milliseconds between two beats
    typical: float = 0.0
    standing: bool = False  # holds only what it drew at its start
    applied: tuple = (0, 0)  # generations of tables and orders in force
    again: int = 0  # the last order to try again that it has taken on
    calls: dict = field(default_factory=dict)  # route -> calls that came
    met: dict = field(default_factory=dict)  # backend -> (tries, losses, milliseconds that answers took in all)
    load: dict = field(default_factory=dict)  # backend -> (CPU used, calls a second), as last reported


def name(text):
    return quote(text, safe="~") or "%"


def unname(word):
    if not NAME.fullmatch(word):
        raise UnusableFileError(f"{word[:40]!r} is no name")
    return "" if word == "%" else unquote(word, errors="surrogateescape")


def figure(value):
    return f"{value:.6g}"


def number(word, what, least=0.0, most=1e15):
    try:
        value = float(word)
    except ValueError:
        raise UnusableFileError(f"{what} {word[:40]!r} is no figure") from None
    if not isfinite(value) or not least <= value <= most:
        raise UnusableFileError(f"{what} {word[:40]!r} is out of range")
    return value


def count(word, what):
    if not WHOLE.fullmatch(word):
        raise UnusableFileError(f"{what} {word[:40]!r} is no whole number")
    return int(word)


def checksum(text):
    return hashlib.blake2b(text.encode("utf-8", "surrogateescape"), digest_size=DIGEST // 2).hexdigest()


def sealed(kind, lines):
    text = "".join(line + "\n" for line in (f"cranecleat-{kind} {FORMAT}", *lines))
    return f"{text}end {checksum(text)}\n".encode("utf-8", "surrogateescape")


def opened(kind, data):
    """The lines of a file as lists of words, without its first and last one."""
    if len(data) > LONGEST:
        raise UnusableFileError(f"{len(data)} bytes, where {LONGEST} are the most")
    text = data.decode("utf-8", "surrogateescape")
    begun, _, end = text.rpartition("end ")
    if not text.endswith("\n") or not begun.endswith("\n") or end != f"{checksum(begun)}\n":
        raise UnusableFileError("cut short or changed: its checksum does not hold" if data else "empty")
    first, *lines = begun.split("\n")[:-1]
    word, _, version = first.partition(" ")
    if word != f"cranecleat-{kind}":
        raise UnusableFileError(f"a file that begins with {first[:40]!r}, not cranecleat-{kind}")
    if version != str(FORMAT):
        raise UnusableFileError(f"format {version[:20]}, where {FORMAT} is known")
    return [line.split(" ") for line in lines]


class Words:
    """The lines of a file by their first word, each of which may have to stand exactly once."""

    def __init__(self, kind, data, known):
        self.lines = {}
        for first, *rest in opened(kind, data):
            if first not in known:
                raise UnusableFileError(f"a line {first[:40]!r}, which this format does not have")
            self.lines.setdefault(first, []).append(rest)

    def one(self, first, length):
        found = self.lines.get(first, [])
        if len(found) != 1 or len(found[0]) != length:
            raise UnusableFileError(f"{first!r} has to stand once, with {length} words")
        return found[0]

    def whole(self, first):
        return count(self.one(first, 1)[0], first)

    def many(self, first, length):
        for rest in self.lines.get(first, ()):
            if len(rest) != length:
                raise UnusableFileError(f"a line {first!r} without its {length} words")
            yield rest

    def header(self):
        return Header(*(self.whole(first) for first in ("fence", "life", "generation", "after")))


def stamped(header):
    return (f"fence {header.fence}", f"life {header.life}", f"generation {header.generation}", f"after {header.after}")


STAMPED = {"fence", "life", "generation", "after"}


# Bodies


def write_body(body):
    """Bytes and the name under which they stand."""
    data = sealed("body", [f"{name(backend)} {figure(weight)}" for backend, weight in body.lines])
    return data, hashlib.blake2b(data, digest_size=DIGEST).hexdigest()


def read_body(data, called):
    if hashlib.blake2b(data, digest_size=DIGEST).hexdigest() != called:
        raise UnusableFileError("its content does not fit its name")
    lines = []
    for words in opened("body", data):
        if len(words) != 2:
            raise UnusableFileError("a line without its two words")
        lines.append((unname(words[0]), number(words[1], "weight")))
    if len({backend for backend, _ in lines}) < len(lines):
        raise UnusableFileError("a backend stands twice")
    return Body(tuple(lines))


# Tables


def write_tables(tables):
    lines = [*stamped(tables.header)]
    lines += [f"table {table} {body}" for table, body in sorted(tables.bodies.items())]
    lines += [
        f"level {'all' if table is None else table} {name(route)} {figure(level)} {tries}"
        for (table, route), (level, tries) in sorted(tables.levels.items(), key=str)
    ]
    lines += [f"out {name(backend)}" for backend in sorted(tables.out)]
    return sealed("tables", lines)


def read_tables(data):
    words = Words("tables", data, STAMPED | {"table", "level", "out"})
    bodies = {}
    for table, body in words.many("table", 2):
        if not re.fullmatch(rf"[0-9a-f]{{{2 * DIGEST}}}", body):
            raise UnusableFileError(f"{body[:40]!r} is no body's name")
        if bodies.setdefault(count(table, "table"), body) is not body:
            raise UnusableFileError(f"table {table} stands twice")
    levels = {
        (None if table == "all" else count(table, "table"), unname(route)): (
            number(level, "level"),
            count(tries, "tries"),
        )
        for table, route, level, tries in words.many("level", 4)
    }
    return Tables(words.header(), bodies, levels, frozenset(unname(b) for (b,) in words.many("out", 1)))


# Orders


def write_orders(orders):
    lines = [*stamped(orders.header), f"proxy {orders.proxy}", f"active {int(orders.active)}", f"needs {orders.needs}"]
    lines += [f"bind {name(route)} {table}" for route, table in sorted(orders.bound.items())]
    lines += [f"again {one.number} {name(one.call)} {one.proof}" for one in orders.again]
    return sealed("orders", lines)


def read_orders(data):
    words = Words("orders", data, STAMPED | {"proxy", "active", "needs", "bind", "again"})
    again = []
    for numbered, call, proof in words.many("again", 3):
        if proof not in PROOFS:
            raise UnusableFileError(f"an order to try again on {proof[:40]!r}, which proves nothing")
        again.append(Again(count(numbered, "again"), unname(call), proof))
    if [one.number for one in again] != sorted({one.number for one in again}):
        raise UnusableFileError("orders to try again that are not in the order of their numbers")
    active = words.whole("active")
    if active > 1:
        raise UnusableFileError("active has to be 0 or 1")
    bound = {unname(route): count(table, "table") for route, table in words.many("bind", 2)}
    return Orders(words.header(), words.whole("proxy"), bool(active), words.whole("needs"), bound, tuple(again))


# Reports


def write_report(report):
    lines = [
        f"who {name(report.who)}",
        f"zone {name(report.zone)}",
        f"life {report.life}",
        f"beat {report.beat}",
        f"every {report.every}",
        f"typical {figure(report.typical)}",
        f"standing {int(report.standing)}",
        f"applied {report.applied[0]} {report.applied[1]}",
        f"again {report.again}",
    ]
    lines += [f"calls {name(route)} {calls}" for route, calls in sorted(report.calls.items())]
    lines += [
        f"met {name(backend)} {tries} {lost} {round(took)}"
        for backend, (tries, lost, took) in sorted(report.met.items())
    ]
    lines += [
        f"load {name(backend)} {figure(used)} {figure(served)}"
        for backend, (used, served) in sorted(report.load.items())
    ]
    return sealed("report", lines)


def read_report(data):
    words = Words(
        "report",
        data,
        {"who", "zone", "life", "beat", "every", "typical", "standing", "applied", "again", "calls", "met", "load"},
    )
    met = {}
    for backend, tries, lost, took in words.many("met", 4):
        met[unname(backend)] = tuple(count(word, "met") for word in (tries, lost, took))
        if met[unname(backend)][1] > met[unname(backend)][0]:
            raise UnusableFileError(f"more losses than tries at {backend[:40]}")
    return Report(
        unname(words.one("who", 1)[0]),
        unname(words.one("zone", 1)[0]),
        words.whole("life"),
        words.whole("beat"),
        words.whole("every"),
        number(words.one("typical", 1)[0], "typical"),
        bool(words.whole("standing")),
        tuple(count(word, "applied") for word in words.one("applied", 2)),
        words.whole("again"),
        {unname(route): count(calls, "calls") for route, calls in words.many("calls", 2)},
        met,
        {unname(b): (number(used, "load"), number(served, "load")) for b, used, served in words.many("load", 3)},
    )
