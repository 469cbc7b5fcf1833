"""Connections as objects with callbacks: strangers, proxies and collectors that dial in."""

import asyncio

from cranecleat.door import MICRO
from cranecleat.memory.pool import Exhausted, HalfRead
from cranecleat.protocol import lines
from cranecleat.protocol.limits import BUFFER, MESSAGE, MUTE, UNREAD
from cranecleat.protocol.reasons import Reason, Unreadable


class Connection(asyncio.BufferedProtocol):
    """Reads into pooled buffers and ends with one log line. Subclasses use what was read."""

    most = MESSAGE + 2 * BUFFER  # unread bytes
    end_mark = None  # without it in what has just come there is nothing new to use

    def __init__(self, hub):
        self.hub, self.half, self.transport = hub, HalfRead(hub.pool), None
        self.reason = self.detail = None
        self.opened = hub.clock.now()
        self.heard = self.opened  # when it last said something

    def connection_made(self, transport):
        self.transport = transport
        self.hub.connections.add(self)

    def get_buffer(self, hint):
        try:
            return self.half.room()
        except Exhausted:
            self.end(Reason.HALF_READ, "no buffer is free")
            return bytearray(BUFFER)

    def buffer_updated(self, count):
        if self.reason:
            return
        self.half.filled += count
        self.heard = self.hub.clock.now()
        try:
            if self.end_mark is None or self.end_mark in self.half.fresh(count):
                data = self.half.unread()
                self.half.keep(data[self.use(data) :])
            if self.half.filled > self.most:
                raise Unreadable(Reason.TOO_LONG, f"{self.half.filled} bytes without an end")
        except Unreadable as wrong:
            self.end(wrong.reason, str(wrong))

    def write(self, message):
        """To who reads: a party that leaves too much unread is given up, as it would give us up."""
        if self.reason:
            return
        self.transport.write(message)
        if self.transport.get_write_buffer_size() > UNREAD:
            self.end(Reason.UNREAD, f"{self.transport.get_write_buffer_size()} bytes")

    def end(self, reason, detail=None):
        """Ends it from our side; the first reason stands."""
        if self.reason is None:
            self.reason, self.detail = reason, detail
            self.transport.abort()

    def connection_lost(self, failure):
        if self.reason is None:
            self.reason, self.detail = (Reason.RESET, str(failure)) if failure else (Reason.CLOSED, None)
        self.half.keep(b"")
        self.hub.connections.discard(self)
        lasted = round((self.hub.clock.now() - self.opened) / MICRO, 3)
        self.hub.log.info("connection_ended", code=self.reason.value, **self.who(), seconds=lasted, detail=self.detail)


class Incoming(Connection):
    """Whoever dials in. A stranger until it says what it is; then a proxy's stream or a collector."""

    end_mark = lines.END[-1:]

    def __init__(self, hub):
        super().__init__(hub)
        self.number, self.use_message = None, self.greet
        self.asked = False  # for a sign of life, since it was last looked at

    @property
    def stranger(self):
        return self.use_message == self.greet

    def who(self):
        if self.number is not None:
            return {"who": "proxy", "proxy": self.number}
        return {"who": "stranger" if self.stranger else "collector"}

    @property
    def most(self):
        return BUFFER - 1 if self.stranger else super().most

    def connection_made(self, transport):
        super().connection_made(transport)
        self.hub.strangers.add(self)
        self.hub.make_room(self.hub.strangers)
        self.hub.clock.at(self.opened + MUTE, self.expire)

    def connection_lost(self, failure):
        super().connection_lost(failure)
        self.hub.lost(self)

    def expire(self):
        """A stranger that has said nothing of use for the whole wait goes; one that asks for a sign may stay."""
        if not self.stranger or self.reason:
            return
        if self.hub.clock.now() - self.heard >= MUTE or not self.asked:
            self.end(Reason.MUTE)
        else:
            self.asked = False
            self.hub.clock.at(self.heard + MUTE, self.expire)

    def use(self, data):
        found, used = lines.split(data)
        for line in found:
            if len(line) > MESSAGE:
                raise Unreadable(Reason.TOO_LONG, f"a message of {len(line)} bytes")
            kind, values = lines.parse(line)
            if kind == "hb":
                self.asked = True
                self.write(b"hb_ok\r\n")
            else:
                self.use_message(lines.Words(kind, values))
            if self.reason:
                break
        return used

    def greet(self, words):
        if words.kind == "telemetry":
            self.hub.reader.telemetry(words)
            self.use_message = self.collect
            self.hub.strangers.discard(self)
            self.hub.collectors.add(self)
            self.hub.make_room(self.hub.collectors)
        elif words.kind == "attach":
            number, zone, typical, standing = self.hub.reader.attach(words)
            self.number, self.use_message = number, self.stream
            self.hub.strangers.discard(self)
            self.hub.joined(self, zone, typical, standing)
        else:
            raise Unreadable(Reason.OUT_OF_PLACE, f"{words.kind} before it said what it is")

    def collect(self, words):
        if words.kind == "upstream_stats":
            self.hub.told(self.hub.reader.upstream_stats(words))
        elif words.kind == "client_stats":
            self.hub.told(self.hub.reader.client_stats(words))
        elif words.kind == "telemetry":
            self.hub.reader.telemetry(words)
        else:
            raise Unreadable(Reason.OUT_OF_PLACE, f"{words.kind} from a collector")

    def stream(self, words):
        if words.kind not in ("done", "client_stats"):
            raise Unreadable(Reason.OUT_OF_PLACE, f"{words.kind} on a stream")
        if self.hub.reader.proxy(words) != self.number:
            raise Unreadable(Reason.OUT_OF_PLACE, f"{words.kind} for another proxy")
        self.hub.told(getattr(self.hub.reader, words.kind)(words))
