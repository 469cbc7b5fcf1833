"""The lines at the coordinator's address: bytes in, messages or one error out; orders in, bytes out."""

import re

from cranecleat.door import MILLI
from cranecleat.protocol.limits import LARGEST, MESSAGE, PARTS
from cranecleat.protocol.reasons import Reason, Unreadable

END = b"\r\n"
FIGURE = re.compile(r"\d{1,18}(\.\d{0,18})?([eE][+-]?\d{1,2})?", re.ASCII)
WHOLE = re.compile(r"\d{1,15}", re.ASCII)
KIND = re.compile(r"[a-z_]{1,40}")
BUSY, SERVED = ("utilization", "util"), ("throughput", "qps")  # a load report's words, as met and as documented


def split(data):
    """The complete lines in `data`, and how many bytes they take."""
    used = data.rfind(END) + len(END)
    if used < len(END):
        return [], 0
    return data[: used - len(END)].split(END), used


def parse(line):
    """One line as its kind and its words."""
    try:
        kind, *words = line.decode().split(" ")
    except UnicodeDecodeError:
        raise Unreadable(Reason.UNREADABLE, "not UTF-8") from None
    if not KIND.fullmatch(kind):
        raise Unreadable(Reason.UNREADABLE, f"no kind of message: {kind[:40]!r}")
    values = {}
    for word in words:
        name, equals, value = word.partition("=")
        if not (name and equals):
            raise Unreadable(Reason.UNREADABLE, f"{kind}: {word[:40]!r} is not name=value")
        if name in values:
            raise Unreadable(Reason.UNREADABLE, f"{kind}: {name[:40]!r} stands twice")
        values[name] = value
    return kind, values


class Words:
    """The words of one message, read by name; each reader says what is wrong with its word."""

    def __init__(self, kind, values):
        self.kind, self.values = kind, values

    def text(self, name):
        if name not in self.values:
            raise Unreadable(Reason.UNREADABLE, f"{self.kind}: {name!r} is missing")
        return self.values[name]

    def figure(self, name, form=FIGURE):
        text = self.text(name)
        if not form.fullmatch(text) or float(text) > LARGEST:
            raise Unreadable(Reason.BAD_FIGURE, f"{self.kind}: {name}={text[:40]}")
        return float(text)

    def whole(self, name):
        return int(self.figure(name, WHOLE))

    def time(self, name):
        return round(self.figure(name) * MILLI)

    def yes(self, name):
        if self.text(name) not in ("0", "1"):
            raise Unreadable(Reason.BAD_FIGURE, f"{self.kind}: {name}={self.text(name)[:40]}")
        return self.text(name) == "1"

    def among(self, name, known):
        if self.text(name) not in known:
            raise Unreadable(Reason.UNKNOWN_NAME, f"{self.kind}: {name}={self.text(name)[:40]}")
        return known[self.text(name)]

    def load(self, name):
        """A load report as (cores busy, calls a second) where it holds both, else None."""
        report = {}
        for pair in filter(None, self.values.get(name, "").split(",")):
            key, colon, value = pair.rpartition(":")
            if not colon or not FIGURE.fullmatch(value):
                raise Unreadable(Reason.BAD_FIGURE, f"{self.kind}: {name}={pair[:40]}")
            report[key] = float(value)
        busy, served = (next((report[n] for n in words if n in report), None) for words in (BUSY, SERVED))
        return None if busy is None or served is None else (busy, served)


class Reader:
    """Messages as calls of the planner, for one deployment."""

    def __init__(self, zones, routes, proxies, backends):
        self.zones, self.routes = zones, routes  # name -> index
        self.proxies, self.backends = proxies, backends  # how many there are; the names that were listed

    def proxy(self, words):
        number = words.whole("node")
        if number >= self.proxies:
            raise Unreadable(Reason.UNKNOWN_NAME, f"{words.kind}: node={number}")
        return number

    def telemetry(self, words):
        return words.among("locality", self.zones)

    def attach(self, words):
        return self.proxy(words), words.among("locality", self.zones), words.figure("w"), words.yes("cold")

    def done(self, words):
        words.time("latency")
        return ("applied", self.proxy(words), words.whole("nonce"))

    def client_stats(self, words):
        words.whole("errors")
        return ("came", self.proxy(words), words.among("route", self.routes), words.whole("total"),
                words.time("interval"))

    def upstream_stats(self, words):
        """None for a backend that was never listed: it would only take up memory."""
        zone, backend = words.among("locality", self.zones), self.backends.index.get(words.text("endpoint"))
        call = ("met", backend, zone, words.whole("total"), words.whole("errors"), words.time("rtt"),
                words.time("interval"), words.load("metrics"))
        return None if backend is None else call


def assign(routes=(), replace=False, rows=(), level=None, drop=(), undrop=(), stamp=None):
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


def join(parts):
    """Lines of orders as one message, as long as one may be."""
    message = b" part=1\r\n".join(parts) + END
    if len(parts) > PARTS or len(message) > MESSAGE:
        raise ValueError(f"a message of {len(parts)} parts and {len(message)} bytes")
    return message
