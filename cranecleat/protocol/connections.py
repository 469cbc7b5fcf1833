"""Connections as objects with callbacks: strangers, proxies and collectors that dial in."""

import asyncio
import errno
import socket

from cranecleat.decoding import US_PER_SECOND
from cranecleat.memory.pool import PoolExhaustedError, ReceiveBuffer
from cranecleat.protocol import lines
from cranecleat.protocol.limits import AT_ONCE, BACKLOG, BUFFER, MESSAGE, PAUSE, UNREAD
from cranecleat.protocol.reasons import InvalidMessageError, ProtocolError, Reason

NO_ROOM = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


class Listener:
    """Takes who dials in, a few a turn: hundreds at once neither hold the loop up nor use up the descriptors before
    one of them can be ended."""

    def __init__(self, coordinator, where):
        self.coordinator, self.loop = coordinator, asyncio.get_running_loop()
        self.coming = set()  # those that were taken and have no protocol yet
        family = socket.AF_INET6 if ":" in where[0] else socket.AF_INET
        self.socket = socket.create_server(where, family=family, backlog=BACKLOG)
        self.socket.setblocking(False)
        self.open()

    def open(self):
        if self.socket.fileno() >= 0:
            self.loop.add_reader(self.socket, self.take)

    def take(self):
        try:
            for _ in range(AT_ONCE):
                taken, _ = self.socket.accept()
                coming = self.loop.create_task(self.loop.connect_accepted_socket(self.coordinator.accept, taken))
                self.coming.add(coming)
                coming.add_done_callback(self.coming.discard)
        except OSError as failure:  # nobody waits any more, or who waited has gone
            if failure.errno in NO_ROOM and not self.coordinator.drop_stranger(failure.strerror):
                self.coordinator.log_aggregated("no_descriptor", says=failure.strerror)
                self.loop.remove_reader(self.socket)  # it would be called without end
                self.coordinator.clock.call_at(self.coordinator.clock.now() + PAUSE, self.open)

    def close(self):
        self.loop.remove_reader(self.socket)
        self.socket.close()

    async def settle(self):
        """Until whoever was taken has a connection, which can be ended like any other."""
        await asyncio.gather(*self.coming, return_exceptions=True)


class Connection(asyncio.BufferedProtocol):
    """Reads into pooled buffers and ends with one log line. Subclasses use what was read."""

    most = MESSAGE + 2 * BUFFER  # unread bytes
    end_mark = None  # without it in what has just come there is nothing new to use

    def __init__(self, coordinator):
        self.coordinator, self.half, self.transport = coordinator, ReceiveBuffer(coordinator.pool), None
        self.reason = self.detail = None
        self.spoilt = 0  # messages that could not be used
        self.opened = coordinator.clock.now()
        self.heard = self.opened  # when it last said something

    def connection_made(self, transport):
        self.transport = transport
        self.coordinator.connections.add(self)
        if self.coordinator.stopping:
            self.end(Reason.STOPPING)

    def get_buffer(self, hint):
        try:
            return self.half.writable()
        except PoolExhaustedError:
            if self.coordinator.free_buffers(self):
                return self.half.writable()
            return bytearray(BUFFER)  # it has been ended itself

    def buffer_updated(self, count):
        if self.reason:
            return
        self.half.filled += count
        self.heard = self.coordinator.clock.now()
        try:
            if self.end_mark is None or self.end_mark in self.half.last_received(count):
                data = self.half.unread()
                used = self.use(data)
                if self.reason:
                    return
                self.half.retain(data[used:])
            self.check()
            if self.half.filled > self.most:
                raise ProtocolError(Reason.TOO_LONG, f"{self.half.filled} bytes without an end")
        except ProtocolError as wrong:
            self.end(wrong.reason, str(wrong))

    def check(self):
        """Raises where what is half read can come to nothing."""

    def write(self, message):
        """To who reads: a party that leaves too much unread is given up, as it would give us up."""
        if self.reason:
            return
        self.transport.write(message)
        if self.transport.get_write_buffer_size() > UNREAD:
            self.end(Reason.UNREAD, f"{self.transport.get_write_buffer_size()} bytes")

    def end(self, reason, detail=None):
        """Ends it from our side; the first reason stands. What it took up is free at once."""
        if self.reason is None:
            self.reason, self.detail = reason, detail
            self.release()
            self.transport.abort()

    def eof_received(self):
        """The other side has ended, and what it left unread is owed to nobody: the loop would keep the connection, and
        a proxy joined, until that was read."""
        self.transport.abort()

    def release(self):
        self.half.retain(b"")
        self.coordinator.connections.discard(self)

    def connection_lost(self, failure):
        if self.reason is None:
            self.reason, self.detail = (Reason.RESET, str(failure)) if failure else (Reason.CLOSED, None)
        self.release()
        lasted = round((self.coordinator.clock.now() - self.opened) / US_PER_SECOND, 3)
        self.coordinator.log.info(
            "connection_ended",
            code=self.reason.value,
            **self.who(),
            seconds=lasted,
            spoilt=self.spoilt or None,
            detail=self.detail,
        )


class Incoming(Connection):
    """Whoever dials in. A stranger until it says what it is; then a proxy's stream or a collector."""

    end_mark = lines.END[-1:]

    def __init__(self, coordinator):
        super().__init__(coordinator)
        self.proxy, self.use_message = None, self.greet

    @property
    def stranger(self):
        return self.use_message == self.greet

    def who(self):
        if self.proxy is not None:
            return {"who": "proxy", "proxy": self.proxy}
        return {"who": "stranger" if self.stranger else "collector"}

    @property
    def most(self):
        return BUFFER - 1 if self.stranger else super().most

    def connection_made(self, transport):
        super().connection_made(transport)
        if not self.reason:
            self.coordinator.came(self)

    def release(self):
        super().release()
        self.coordinator.strangers.pop(self, None)
        self.coordinator.collectors.discard(self)

    def connection_lost(self, failure):
        super().connection_lost(failure)
        self.coordinator.lost(self)

    def use(self, data):
        found, used = lines.split_lines(data)
        for line in found:
            if len(line) > MESSAGE:
                raise ProtocolError(Reason.TOO_LONG, f"a message of {len(line)} bytes")
            try:
                kind, values = lines.parse_line(line)
                if kind == "hb":
                    self.write(b"hb_ok\r\n")
                else:
                    self.use_message(lines.Message(kind, values))
            except InvalidMessageError as wrong:
                if self.stranger:
                    raise
                self.spoilt += 1
                self.coordinator.log_aggregated(
                    "spoilt", who=self.who()["who"], code=wrong.reason.value, detail=str(wrong)
                )
            if self.reason:
                break
        return used

    def check(self):
        lines.check_prefix(self.half.peek(lines.TELLING))

    def greet(self, words):
        if words.kind == "telemetry":
            self.coordinator.reader.telemetry(words)
            self.use_message = self.collect
            self.coordinator.collects(self)
        elif words.kind == "attach":
            number, zone, typical, standing = self.coordinator.reader.attach(words)
            self.proxy, self.use_message = number, self.stream
            self.coordinator.joined(self, zone, typical, standing)
        else:
            raise ProtocolError(Reason.OUT_OF_PLACE, f"{words.kind} before it said what it is")

    def collect(self, words):
        if words.kind == "telemetry":
            self.coordinator.reader.telemetry(words)
        elif words.kind in ("client_stats", "upstream_stats"):
            self.coordinator.queue_event(getattr(self.coordinator.reader, words.kind)(words))
        else:
            raise InvalidMessageError(Reason.OUT_OF_PLACE, f"{words.kind} from a collector")

    def stream(self, words):
        if words.kind not in ("done", "client_stats"):
            raise InvalidMessageError(Reason.OUT_OF_PLACE, f"{words.kind} on a stream")
        if self.coordinator.reader.proxy(words) != self.proxy:
            raise InvalidMessageError(Reason.OUT_OF_PLACE, f"{words.kind} for another proxy")
        call = getattr(self.coordinator.reader, words.kind)(words)
        if not self.coordinator.waits(self):
            self.coordinator.queue_event(call)
