"""The line protocol at the coordinator's address: parses received lines into messages, and encodes table messages.

The code and the wire use different names for some things:

    code                   wire
    proxy                  node
    zone                   locality
    backend                endpoint
    typical rate           w
    uses initial table     cold (it has nothing to do with cold backends)
    answer time            rtt
    load report            metrics
    admission level        gate
    tries                  again
    withdraw, reinstate    drop, undrop
    ack number             stamp (as it is asked for), nonce (as it is answered)
"""

import re

from cranecleat.decoding import US_PER_MS, US_PER_SECOND
from cranecleat.protocol.limits import (
    MAX_ANSWER_TIME_MULTIPLE,
    MAX_CPU_LOAD,
    MAX_FIELDS,
    MAX_MESSAGE_BYTES,
    MAX_MESSAGE_PARTS,
    MAX_NUMBER,
    MAX_RATE_MULTIPLE,
    MAX_REPORT_CYCLES,
)
from cranecleat.protocol.reasons import InvalidMessageError, ProtocolError, Reason

CRLF = b"\r\n"
NUMBER = re.compile(r"\d{1,18}(\.\d{0,18})?([eE][+-]?\d{1,2})?", re.ASCII)
INTEGER = re.compile(r"\d{1,15}", re.ASCII)
KINDS = ("hb", "attach", "telemetry", "done", "client_stats", "upstream_stats")
# First bytes of a message that tell whether its kind is known: the longest kind, a CR, and the byte that follows it.
PREFIX_BYTES = max(map(len, KINDS)) + len(CRLF)
MESSAGE_START = re.compile(rb"(%s)( |\Z)" % b"|".join(kind.encode() for kind in KINDS))
# Keys of a load report. Collectors send the first key of each pair, and the second is the documented one. Both are
# accepted.
BUSY_KEYS = ("utilization", "util")
SERVED_KEYS = ("throughput", "qps")


def split_lines(data, max_lines=None):
    """The complete lines in `data`, the first `max_lines` at most, and how many bytes they take."""
    end = data.rfind(CRLF)
    if end < 0:
        return [], 0
    complete = data[:end].split(CRLF, -1 if max_lines is None else max_lines)
    used = end + len(CRLF)
    if max_lines is not None and len(complete) > max_lines:
        used -= len(complete.pop()) + len(CRLF)
    return complete, used


def parse_line(line):
    """The kind and the fields (name -> text) of one line. A line that begins with a known kind but cannot be used is
    one invalid message. Any other line shows that the data is not messages of this protocol."""
    if line and not MESSAGE_START.match(line):
        raise ProtocolError(Reason.UNREADABLE, f"unknown kind of message: {line[:40]!r}")
    if line.count(b" ") > MAX_FIELDS:
        raise InvalidMessageError(Reason.TOO_LONG, f"a message of {line.count(b' ')} fields")
    try:
        kind, *fields = line.decode().split(" ")
    except UnicodeDecodeError:
        raise InvalidMessageError(Reason.UNREADABLE, "not UTF-8") from None
    if not kind:
        raise InvalidMessageError(Reason.UNREADABLE, "an empty message")
    values = {}
    for field in fields:
        name, equals, value = field.partition("=")
        if not (name and equals):
            raise InvalidMessageError(Reason.UNREADABLE, f"{kind}: {field[:40]!r} is not name=value")
        if name in values:
            raise InvalidMessageError(Reason.UNREADABLE, f"{kind}: {name[:40]!r} occurs twice")
        values[name] = value
    return kind, values


def check_prefix(rest):
    """Raises ProtocolError unless `rest`, the first PREFIX_BYTES of an incomplete message or all of it, can become a
    complete line that begins with a known kind, or an empty one, which is one invalid message. Otherwise the connection
    might wait for the end of the message for ever.

    A read may end anywhere, also between CR and LF. So a last CR counts as the first half of the line's end."""
    line = rest.removesuffix(CRLF[:1])
    if not line or MESSAGE_START.match(line):
        return
    is_cut_in_kind = line == rest and any(kind.encode().startswith(rest) for kind in KINDS)
    if not is_cut_in_kind:
        raise ProtocolError(Reason.UNREADABLE, f"unknown kind of message: {rest[:40]!r}")


class Message:
    """One parsed message. The methods, except `bad_value`, return a field in its type, and raise InvalidMessageError
    that names the field if it is missing or malformed. Only `load` accepts that its field is missing."""

    def __init__(self, kind, values):
        self.kind, self.values = kind, values

    def text(self, name):
        if name not in self.values:
            raise InvalidMessageError(Reason.UNREADABLE, f"{self.kind}: {name!r} is missing")
        return self.values[name]

    def bad_value(self, name, value=None):
        """The exception to raise for a field that is malformed or out of range. `value` is the part of the field that
        the text shows; None: the whole field."""
        return InvalidMessageError(
            Reason.BAD_FIGURE, f"{self.kind}: {name}={(self.text(name) if value is None else value)[:40]}"
        )

    def number(self, name, form=NUMBER, maximum=MAX_NUMBER):
        text = self.text(name)
        if not form.fullmatch(text) or float(text) > maximum:
            raise self.bad_value(name)
        return float(text)

    def integer(self, name, maximum=MAX_NUMBER):
        return int(self.number(name, INTEGER, maximum))

    def duration(self, name, minimum=0, maximum=MAX_NUMBER):
        """A field in milliseconds as microseconds; `minimum` and `maximum` are in microseconds."""
        duration = round(self.number(name) * US_PER_MS)
        if not minimum <= duration <= maximum:
            raise self.bad_value(name)
        return duration

    def flag(self, name):
        if self.text(name) not in ("0", "1"):
            raise self.bad_value(name)
        return self.text(name) == "1"

    def index(self, name, indices):
        """The index of a zone or route that the field names; `indices` maps names to indices."""
        if self.text(name) not in indices:
            raise InvalidMessageError(Reason.UNKNOWN_NAME, f"{self.kind}: {name}={self.text(name)[:40]}")
        return indices[self.text(name)]

    def load(self, name):
        """A load report as (busy cores, calls per second), or None if the field is missing or does not hold both."""
        if self.values.get(name, "").count(",") >= MAX_FIELDS:
            raise InvalidMessageError(Reason.TOO_LONG, f"{self.kind}: {name} has over {MAX_FIELDS} pairs")
        report = {}
        for pair in filter(None, self.values.get(name, "").split(",")):
            key, colon, value = pair.rpartition(":")
            if not colon or not NUMBER.fullmatch(value) or float(value) > MAX_NUMBER:
                raise self.bad_value(name, pair)
            report[key] = float(value)
        busy, served = (next((report[n] for n in keys if n in report), None) for keys in (BUSY_KEYS, SERVED_KEYS))
        if busy is not None and busy > MAX_CPU_LOAD:
            raise self.bad_value(name)
        return None if busy is None or served is None else (busy, served)


class MessageDecoder:
    """Decodes messages, for one deployment. The methods with the name of a kind of message decode that kind: `done`,
    `client_stats` and `upstream_stats` into an event of the planner, `attach` and `telemetry` into their values. A
    number that no deployment can reach makes a message invalid even if it is well-formed, as one such report would
    distort what the planner has learned for a long time."""

    def __init__(self, zones, routes, proxies, backends, cycle, longest_call_timeout):
        self.zones, self.routes = zones, routes  # name -> index
        self.proxies = proxies  # their number; proxies are numbered from 0
        self.backends = backends  # the IndexMap of the backends that have been listed and not been forgotten
        self.max_interval = cycle * MAX_REPORT_CYCLES
        self.max_answer_time = longest_call_timeout * MAX_ANSWER_TIME_MULTIPLE
        self.typical_rate = 0.0  # calls per second of all joined proxies together, as they stated at attach

    def proxy(self, message):
        number = message.integer("node")
        if number >= self.proxies:
            raise InvalidMessageError(Reason.UNKNOWN_NAME, f"{message.kind}: node={number}")
        return number

    def telemetry(self, message):
        """The collector's zone. The caller uses only the check that the zone is known."""
        return message.index("locality", self.zones)

    def attach(self, message):
        """(proxy, zone, typical rate, whether the proxy holds only its initial table)"""
        return (
            self.proxy(message),
            message.index("locality", self.zones),
            message.number("w"),
            message.flag("cold"),
        )

    def done(self, message):
        message.duration("latency")  # has to be valid, but is not used
        return ("acknowledged", self.proxy(message), message.integer("nonce"))

    def client_stats(self, message):
        # Has to be valid, but is not used. It may exceed the total, as it may count calls of an earlier interval.
        message.integer("errors")
        return (
            "demand_reported",
            self.proxy(message),
            message.index("route", self.routes),
            *self.total_and_interval(message),
        )

    def total_and_interval(self, message):
        """The number of calls or tries, and the interval in microseconds in which they came. The limit allows for all
        calls of the deployment, with retries, in one report; a larger total is invalid."""
        total, interval = message.integer("total"), message.duration("interval", 1, self.max_interval)
        if total > MAX_RATE_MULTIPLE * (1.0 + self.typical_rate * max(interval / US_PER_SECOND, 1.0)):
            raise message.bad_value("total")
        return total, interval

    def upstream_stats(self, message):
        """None for a backend that was never listed or has been forgotten, as its record would only take up memory."""
        zone, backend = message.index("locality", self.zones), self.backends.index.get(message.text("endpoint"))
        total, interval = self.total_and_interval(message)
        event = (
            "attempts_reported",
            backend,
            zone,
            total,
            message.integer("errors", total),
            message.duration("rtt", 0, self.max_answer_time),
            interval,
            message.load("metrics"),
        )
        return None if backend is None else event


def encode_assign(routes=(), replace=False, rows=(), level=None, drop=(), undrop=(), stamp=None):
    """One assign line without its line end; `join_lines` makes a message of several. `level` is the pair (admission
    level, tries)."""
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
    """Assign lines as one message; `part=1` marks each line that is followed by another one of the message. Raises
    ValueError if the message exceeds the limits of the protocol."""
    message = b" part=1\r\n".join(parts) + CRLF
    if len(parts) > MAX_MESSAGE_PARTS or len(message) > MAX_MESSAGE_BYTES:
        raise ValueError(f"a message of {len(parts)} parts and {len(message)} bytes")
    return message
