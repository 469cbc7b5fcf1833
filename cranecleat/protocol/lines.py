"""The lines at the coordinator's address: bytes in, messages or one error out; orders in, bytes out."""

import re

from cranecleat.decoding import US_PER_MS, US_PER_SECOND
from cranecleat.protocol.limits import COVERED, LARGEST, LATENESS, LOADED, MESSAGE, PARTS, SURGE
from cranecleat.protocol.reasons import InvalidMessageError, ProtocolError, Reason

END = b"\r\n"
FIGURE = re.compile(r"\d{1,18}(\.\d{0,18})?([eE][+-]?\d{1,2})?", re.ASCII)
WHOLE = re.compile(r"\d{1,15}", re.ASCII)
KINDS = ("hb", "attach", "telemetry", "done", "client_stats", "upstream_stats")
TELLING = 1 + max(map(len, KINDS))  # bytes that tell what a message begins as
START = re.compile(rb"(%s)( |$)" % b"|".join(kind.encode() for kind in KINDS))
BUSY, SERVED = ("utilization", "util"), ("throughput", "qps")  # a load report's words, as met and as documented


def split_lines(data):
    """The complete lines in `data`, and how many bytes they take."""
    used = data.rfind(END) + len(END)
    if used < len(END):
        return [], 0
    return data[: used - len(END)].split(END), used


def parse_line(line):
    """One line as its kind and its words. What begins as a message is one, and spoilt by itself where it cannot be
    used; anything else shows that the data is no longer messages."""
    if line and not START.match(line):
        raise ProtocolError(Reason.UNREADABLE, f"no kind of message: {line[:40]!r}")
    try:
        kind, *words = line.decode().split(" ")
    except UnicodeDecodeError:
        raise InvalidMessageError(Reason.UNREADABLE, "not UTF-8") from None
    if not kind:
        raise InvalidMessageError(Reason.UNREADABLE, "an empty message")
    values = {}
    for word in words:
        name, equals, value = word.partition("=")
        if not (name and equals):
            raise InvalidMessageError(Reason.UNREADABLE, f"{kind}: {word[:40]!r} is not name=value")
        if name in values:
            raise InvalidMessageError(Reason.UNREADABLE, f"{kind}: {name[:40]!r} stands twice")
        values[name] = value
    return kind, values


def check_prefix(rest):
    """What has come of the next message must be able to become one, or its end might be waited for in vain."""
    if rest and not START.match(rest) and not any(kind.encode().startswith(rest) for kind in KINDS):
        raise ProtocolError(Reason.UNREADABLE, f"no kind of message: {rest[:40]!r}")


class Message:
    """The words of one message, read by name; each reader says what is wrong with its word."""

    def __init__(self, kind, values):
        self.kind, self.values = kind, values

    def text(self, name):
        if name not in self.values:
            raise InvalidMessageError(Reason.UNREADABLE, f"{self.kind}: {name!r} is missing")
        return self.values[name]

    def bad(self, name, value=None):
        return InvalidMessageError(
            Reason.BAD_FIGURE, f"{self.kind}: {name}={(self.text(name) if value is None else value)[:40]}"
        )

    def figure(self, name, form=FIGURE, most=LARGEST):
        text = self.text(name)
        if not form.fullmatch(text) or float(text) > most:
            raise self.bad(name)
        return float(text)

    def whole(self, name, most=LARGEST):
        return int(self.figure(name, WHOLE, most))

    def time(self, name, least=0, most=LARGEST):
        """In microseconds, as `least` and `most` are."""
        time = round(self.figure(name) * US_PER_MS)
        if not least <= time <= most:
            raise self.bad(name)
        return time

    def yes(self, name):
        if self.text(name) not in ("0", "1"):
            raise self.bad(name)
        return self.text(name) == "1"

    def among(self, name, known):
        if self.text(name) not in known:
            raise InvalidMessageError(Reason.UNKNOWN_NAME, f"{self.kind}: {name}={self.text(name)[:40]}")
        return known[self.text(name)]

    def load(self, name):
        """A load report as (cores busy, calls a second) where it holds both, else None."""
        report = {}
        for pair in filter(None, self.values.get(name, "").split(",")):
            key, colon, value = pair.rpartition(":")
            if not colon or not FIGURE.fullmatch(value) or float(value) > LARGEST:
                raise self.bad(name, pair)
            report[key] = float(value)
        busy, served = (next((report[n] for n in words if n in report), None) for words in (BUSY, SERVED))
        if busy is not None and busy > LOADED:
            raise self.bad(name)
        return None if busy is None or served is None else (busy, served)


class MessageDecoder:
    """Messages as calls of the planner, for one deployment. A figure can be readable and still absurd: what no
    deployment could have met is spoilt as well, as one such report would move what was learned for a long time."""

    def __init__(self, zones, routes, proxies, backends, cycle, patience):
        self.zones, self.routes = zones, routes  # name -> index
        self.proxies, self.backends = proxies, backends  # how many there are; the names that were listed
        self.longest, self.patience = cycle * COVERED, patience * LATENESS  # interval and answer
        self.typical_rate = 0.0  # calls a second of all that are joined, as they said

    def proxy(self, words):
        number = words.whole("node")
        if number >= self.proxies:
            raise InvalidMessageError(Reason.UNKNOWN_NAME, f"{words.kind}: node={number}")
        return number

    def telemetry(self, words):
        return words.among("locality", self.zones)

    def attach(self, words):
        return self.proxy(words), words.among("locality", self.zones), words.figure("w"), words.yes("cold")

    def done(self, words):
        words.time("latency")
        return ("acknowledged", self.proxy(words), words.whole("nonce"))

    def client_stats(self, words):
        words.whole("errors")  # may be of calls that came earlier
        return ("demand_reported", self.proxy(words), words.among("route", self.routes), *self.total(words))

    def total(self, words):
        """How many in how long. All calls may come to one proxy and again, but no more than that."""
        total, covers = words.whole("total"), words.time("interval", 1, self.longest)
        if total > SURGE * (1.0 + self.typical_rate * max(covers / US_PER_SECOND, 1.0)):
            raise words.bad("total")
        return total, covers

    def upstream_stats(self, words):
        """None for a backend that was never listed: it would only take up memory."""
        zone, backend = words.among("locality", self.zones), self.backends.index.get(words.text("endpoint"))
        total, covers = self.total(words)
        call = (
            "attempts_reported",
            backend,
            zone,
            total,
            words.whole("errors", total),
            words.time("rtt", 0, self.patience),
            covers,
            words.load("metrics"),
        )
        return None if backend is None else call


def encode_assign(routes=(), replace=False, rows=(), level=None, drop=(), undrop=(), stamp=None):
    """One line of orders, without its end; `join` makes a message of several."""
    words = ["assign"]
    if routes:
        words.append("for=" + "+".join(routes))
    if replace:
        words.append("replace=1")
    if rows:
        words.append("rows=" + ",".join(f"{name}:{weight:.6g}" for name, weight in rows))
    if level:
        words.append("gate={:.6g} again={}".format(*level))
    if drop:
        words.append("drop=" + ",".join(drop))
    if undrop:
        words.append("undrop=" + ",".join(undrop))
    if stamp is not None:
        words.append(f"stamp={stamp}")
    return " ".join(words).encode()


def join_lines(parts):
    """Lines of orders as one message, as long as one may be."""
    message = b" part=1\r\n".join(parts) + END
    if len(parts) > PARTS or len(message) > MESSAGE:
        raise ValueError(f"a message of {len(parts)} parts and {len(message)} bytes")
    return message
