"""Connections as asyncio protocols: the listener, and the connections that proxies and collectors open."""

import asyncio
import errno
import socket

from cranecleat.decoding import US_PER_SECOND
from cranecleat.memory.pool import PoolExhaustedError, ReceiveBuffer
from cranecleat.protocol import lines
from cranecleat.protocol.limits import (
    ACCEPT_RETRY_US,
    ACCEPTS_PER_ITERATION,
    BUFFER_BYTES,
    LISTEN_BACKLOG,
    MAX_MESSAGE_BYTES,
    MAX_MESSAGES_PER_TURN,
    MAX_UNREAD_BYTES,
)
from cranecleat.protocol.reasons import InvalidMessageError, ProtocolError, Reason

HEARTBEAT_ANSWER = b"hb_ok" + lines.CRLF
OUT_OF_RESOURCES = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


class UnreadTotal:
    """The bytes that wait in this process for peers to read them, over all connections. Where there are more than
    `max_bytes`, the connections with the most are ended. A connection's part is looked at when something is written to
    it, and anew before any connection is ended."""

    def __init__(self, max_bytes):
        self.max_bytes = max_bytes
        self.by_connection = {}
        self.total = 0

    def update(self, connection, unread):
        """Notes how many bytes wait for the peer of a connection."""
        self.remove(connection)
        self.by_connection[connection] = unread
        self.total += unread
        if self.total > self.max_bytes:
            self.limit()

    def remove(self, connection):
        self.total -= self.by_connection.pop(connection, 0)

    def limit(self):
        """Looks at all connections anew, and ends those with the most while there are too many bytes."""
        found = {one: one.transport.get_write_buffer_size() for one in self.by_connection}
        self.by_connection = {one: unread for one, unread in found.items() if unread}
        self.total = sum(self.by_connection.values())
        while self.total > self.max_bytes:
            most = max(self.by_connection, key=self.by_connection.get)
            most.end(Reason.UNREAD, f"{self.by_connection[most]} bytes, of {self.total} for all peers")


class Listener:
    """Accepts connections, a few per iteration of the loop. When hundreds arrive at once they neither block the loop
    nor use up all descriptors before the oldest unidentified ones can be ended."""

    def __init__(self, coordinator, address):
        self.coordinator, self.loop = coordinator, asyncio.get_running_loop()
        self.pending = set()  # tasks of accepted connections that have no protocol object yet
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        self.socket = socket.create_server(address, family=family, backlog=LISTEN_BACKLOG)
        self.socket.setblocking(False)
        self.resume()

    def resume(self):
        if self.socket.fileno() >= 0:
            self.loop.add_reader(self.socket, self.accept_connections)

    def accept_connections(self):
        try:
            for _ in range(ACCEPTS_PER_ITERATION):
                accepted, _ = self.socket.accept()
                task = self.loop.create_task(
                    self.loop.connect_accepted_socket(self.coordinator.make_connection, accepted)
                )
                self.pending.add(task)
                task.add_done_callback(self.pending.discard)
        except OSError as failure:  # also when no connection is waiting, or the waiting one has been closed
            if failure.errno in OUT_OF_RESOURCES and not self.coordinator.drop_unidentified(failure.strerror):
                # Descriptors are short, or memory of the kernel: see `says`.
                self.coordinator.log_aggregated("no_descriptor", says=failure.strerror)
                self.loop.remove_reader(self.socket)  # the loop would call it again and again without a pause
                self.coordinator.clock.call_at(self.coordinator.clock.now() + ACCEPT_RETRY_US, self.resume)

    def close(self):
        self.loop.remove_reader(self.socket)
        self.socket.close()

    async def wait_for_pending(self):
        """Waits until each accepted connection has its protocol object, and can be ended like any other."""
        await asyncio.gather(*self.pending, return_exceptions=True)


class Connection(asyncio.BufferedProtocol):
    """Receives into pooled buffers, and writes one log line when it ends. Subclasses implement `consume`, which handles
    received data and returns the number of bytes used, and `log_identity`, the log fields that tell who the peer is.
    `consume` may leave complete messages for the connection's next turn: it then sets `has_more`."""

    max_buffered_bytes = MAX_MESSAGE_BYTES + 2 * BUFFER_BYTES  # received bytes that are not consumed yet
    terminator = None  # if set, `consume` is called only when newly received data contains it

    def __init__(self, coordinator):
        self.coordinator, self.receive_buffer, self.transport = coordinator, ReceiveBuffer(coordinator.pool), None
        self.reason = self.detail = None  # why it has ended
        self.has_more = False  # complete messages wait in the buffer; nothing more is read until they are handled
        self.invalid_messages = 0
        self.opened_at = coordinator.clock.now()
        self.last_received_at = self.opened_at

    def connection_made(self, transport):
        self.transport = transport
        self.coordinator.connections.add(self)
        if self.coordinator.stopping:
            self.end(Reason.STOPPING)

    def get_buffer(self, hint):
        try:
            return self.receive_buffer.writable()
        except PoolExhaustedError:
            if self.coordinator.reclaim_buffers(self):
                return self.receive_buffer.writable()
            return bytearray(BUFFER_BYTES)  # this connection itself has been ended; its data is discarded

    def buffer_updated(self, count):
        if self.reason:
            return
        self.receive_buffer.filled += count
        self.last_received_at = self.coordinator.clock.now()
        may_be_complete = self.terminator is None or self.terminator in self.receive_buffer.last_received(count)
        self.handle_received(may_be_complete)
        if self.has_more and not self.reason:
            self.transport.pause_reading()
            asyncio.get_running_loop().call_soon(self.take_turn)

    def handle_received(self, may_be_complete):
        """Handles the complete messages in the buffer, if there may be any, and checks what is left."""
        self.has_more = False
        try:
            if may_be_complete:
                data = self.receive_buffer.unread()
                used = self.consume(data)
                if self.reason:
                    return
                self.receive_buffer.retain(data[used:])
            if not self.has_more:
                self.check_incomplete()
                if self.receive_buffer.filled > self.max_buffered_bytes:
                    raise ProtocolError(Reason.TOO_LONG, f"{self.receive_buffer.filled} bytes without an end")
        except ProtocolError as error:
            self.end(error.reason, str(error))

    def take_turn(self):
        """Handles messages that were left for this turn, in a later iteration of the loop than the turn before. Then
        the connection reads on, as soon as no message is left."""
        if self.reason:
            return
        self.handle_received(may_be_complete=True)
        if self.reason:
            return
        if self.has_more:
            asyncio.get_running_loop().call_soon(self.take_turn)
        else:
            self.transport.resume_reading()

    def check_incomplete(self):
        """Raises ProtocolError if the incomplete message in the buffer cannot become a valid one."""

    def write(self, message):
        """Sends a message. Ends the connection when more than MAX_UNREAD_BYTES wait in this process, beyond those that
        the kernel has taken: a single large message may exceed this. Peers apply the same rule to the coordinator."""
        if self.reason:
            return
        self.transport.write(message)
        unread = self.transport.get_write_buffer_size()
        if unread > MAX_UNREAD_BYTES:
            self.end(Reason.UNREAD, f"{unread} bytes")
        elif unread:
            self.coordinator.unread.update(self, unread)

    def end(self, reason, detail=None):
        """Ends the connection from this side. Frees its buffers and removes it from the coordinator's sets at once; the
        loop closes its descriptor in a later iteration. The first reason counts."""
        if self.reason is None:
            self.reason, self.detail = reason, detail
            self.release()
            self.transport.abort()

    def eof_received(self):
        """The peer has closed its side. What it has not read is discarded: the loop would otherwise keep the
        connection open, and its proxy joined, until all of it was read."""
        self.transport.abort()

    def release(self):
        self.receive_buffer.retain(b"")
        self.coordinator.connections.discard(self)
        self.coordinator.unread.remove(self)

    def connection_lost(self, failure):
        if self.reason is None:
            self.reason, self.detail = (Reason.RESET, str(failure)) if failure else (Reason.CLOSED, None)
        self.release()
        duration = round((self.coordinator.clock.now() - self.opened_at) / US_PER_SECOND, 3)
        self.coordinator.log.info(
            "connection_ended",
            code=self.reason.value,
            **self.log_identity(),
            seconds=duration,
            spoilt=self.invalid_messages or None,
            detail=self.detail,
        )


class Incoming(Connection):
    """A connection to the coordinator's address. It is unidentified until its first attach or telemetry message, and
    then a proxy's stream or a collector."""

    terminator = lines.CRLF[-1:]

    def __init__(self, coordinator):
        super().__init__(coordinator)
        self.proxy, self.handle_message = None, self.identify
        self.heartbeats = 0  # among the messages that are handled in this turn

    @property
    def is_unidentified(self):
        return self.handle_message == self.identify

    def log_identity(self):
        if self.proxy is not None:
            return {"who": "proxy", "proxy": self.proxy}
        return {"who": "stranger" if self.is_unidentified else "collector"}

    @property
    def max_buffered_bytes(self):
        return BUFFER_BYTES - 1 if self.is_unidentified else super().max_buffered_bytes

    def connection_made(self, transport):
        super().connection_made(transport)
        if not self.reason:
            self.coordinator.add_unidentified(self)

    def release(self):
        super().release()
        self.coordinator.unidentified.pop(self, None)
        self.coordinator.collectors.discard(self)

    def connection_lost(self, failure):
        super().connection_lost(failure)
        self.coordinator.connection_closed(self)

    def consume(self, data):
        """Handles the complete messages in `data`, MAX_MESSAGES_PER_TURN at most; returns the number of bytes that they
        take. All heartbeats among them are answered at once, as each write is a system call."""
        complete, used = lines.split_lines(data, MAX_MESSAGES_PER_TURN)
        self.has_more = data.find(lines.CRLF, used) >= 0
        self.heartbeats = 0
        try:
            for line in complete:
                self.handle_line(line)
                if self.reason:
                    break
        finally:
            if self.heartbeats:
                self.write(HEARTBEAT_ANSWER * self.heartbeats)
        return used

    def handle_line(self, line):
        """Handles one complete message. One that cannot be used is dropped and counted, or ends an unidentified
        connection."""
        if len(line) > MAX_MESSAGE_BYTES:
            raise ProtocolError(Reason.TOO_LONG, f"a message of {len(line)} bytes")
        try:
            kind, values = lines.parse_line(line)
            if kind == "hb":
                self.heartbeats += 1
            else:
                self.handle_message(lines.Message(kind, values))
        except InvalidMessageError as error:
            if self.is_unidentified:
                raise
            self.invalid_messages += 1
            self.coordinator.log_aggregated(
                "spoilt", who=self.log_identity()["who"], code=error.reason.value, detail=str(error)
            )

    def check_incomplete(self):
        lines.check_prefix(self.receive_buffer.peek(lines.PREFIX_BYTES))

    def identify(self, message):
        """The first message other than a heartbeat says what the peer is."""
        if message.kind == "telemetry":
            self.coordinator.decoder.telemetry(message)
            self.handle_message = self.handle_collector_message
            self.coordinator.add_collector(self)
        elif message.kind == "attach":
            proxy, zone, typical_rate, uses_initial_table = self.coordinator.decoder.attach(message)
            self.proxy, self.handle_message = proxy, self.handle_stream_message
            self.coordinator.stream_attached(self, zone, typical_rate, uses_initial_table)
        else:
            raise ProtocolError(Reason.OUT_OF_PLACE, f"{message.kind} before attach or telemetry")

    def handle_collector_message(self, message):
        if message.kind == "telemetry":
            self.coordinator.decoder.telemetry(message)
        elif message.kind in ("client_stats", "upstream_stats"):
            self.coordinator.queue_event(getattr(self.coordinator.decoder, message.kind)(message))
        else:
            raise InvalidMessageError(Reason.OUT_OF_PLACE, f"{message.kind} from a collector")

    def handle_stream_message(self, message):
        if message.kind not in ("done", "client_stats"):
            raise InvalidMessageError(Reason.OUT_OF_PLACE, f"{message.kind} on a stream")
        if self.coordinator.decoder.proxy(message) != self.proxy:
            raise InvalidMessageError(Reason.OUT_OF_PLACE, f"{message.kind} for another proxy")
        event = getattr(self.coordinator.decoder, message.kind)(message)
        if not self.coordinator.is_waiting(self):
            self.coordinator.queue_event(event)
