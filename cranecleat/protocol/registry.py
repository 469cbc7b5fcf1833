"""Discovery: the list of backends, and the watch that sends its changes. The coordinator watches an agent of discovery
on its own machine, which may lag behind.

In a list, `rev` is the version, `all` tells a whole list from changes, and `targets` are the backends. A backend has
`uid` (its name), `state`, `az` (zone), `model` (kind), `capacity_hint` and `boot_ms` (start time).
"""

import asyncio
import json
import re
import zlib

from cranecleat.decoding import US_PER_MS, US_PER_SECOND
from cranecleat.protocol import http
from cranecleat.protocol.connections import Connection
from cranecleat.protocol.limits import (
    CONNECT_TIMEOUT_US,
    FIRST_REDIAL_DELAY_US,
    FIRST_RESPONSE_TIMEOUT_US,
    HEARTBEAT_TIMEOUT_US,
    MAX_AGENT_LAG_US,
    MAX_LIST_BYTES,
    MAX_REDIAL_DELAY_US,
)
from cranecleat.protocol.reasons import ProtocolError, Reason

STATES = {"active": "running", "leaving": "draining", "left": "gone"}
BACKEND_NAME = re.compile(r"[^\s,:+=]{1,200}")  # names that an assign message can carry


def decode_entry(target, zones, kinds):
    """One entry of a list as (name, state, zone, kind, capacity, start time in microseconds). The name is not replaced
    by the backend's index here; `Coordinator.update_backends` does that."""
    try:
        name, state, started = target["uid"], target["state"], target["boot_ms"] or 0
        capacity = target.get("capacity_hint", 1.0)
        if not isinstance(name, str) or not BACKEND_NAME.fullmatch(name) or not name.isprintable():
            raise ProtocolError(Reason.BAD_LIST, f"a name that no message can carry: {name!r:.60}")
        if not 0 <= started <= 1e15 or not 0 <= capacity <= 1e9:
            raise ProtocolError(Reason.BAD_LIST, f"{name}: a number out of range")
        return (
            name,
            STATES[state],
            zones[target["az"]],
            kinds[target["model"]],
            float(capacity),
            round(started * US_PER_MS),
        )
    except ProtocolError:
        raise
    except KeyError as missing:
        raise ProtocolError(Reason.BAD_LIST, f"missing or unknown: {missing.args[0]!r:.60}") from None
    except (TypeError, AttributeError, ValueError, OverflowError) as error:
        raise ProtocolError(Reason.BAD_LIST, f"malformed entry: {error}") from None


def decode_list(document, zones, kinds):
    """A list of backends, or changes of it, as (version, scope, entries, errors). The scope is "whole" or "changes". An
    entry that cannot be used affects no other one; `errors` maps its name, or None if that cannot be read, to the
    reason."""
    if not isinstance(document, dict) or not isinstance(document.get("targets"), list) or "all" not in document:
        raise ProtocolError(Reason.BAD_LIST, "not a list of backends")
    version, entries, errors = document.get("rev"), [], {}
    if isinstance(version, bool) or not isinstance(version, int):
        raise ProtocolError(Reason.BAD_LIST, "the version is not an integer")
    for target in document["targets"]:
        try:
            entries.append(decode_entry(target, zones, kinds))
        except ProtocolError as error:
            name = target.get("uid") if isinstance(target, dict) else None
            errors[name if isinstance(name, str) else None] = str(error)
    return version, "whole" if document["all"] else "changes", entries, errors


class LineSplitter:
    """Splits the body of a watch, which comes in pieces, into lines. Only an unfinished line is limited in length."""

    def __init__(self):
        self.partial = b""

    def feed(self, piece):
        *complete, self.partial = (self.partial + piece).split(b"\n")
        if len(self.partial) > MAX_LIST_BYTES:
            raise ProtocolError(Reason.TOO_LONG, "a line of the watch without an end")
        return complete

    def flush(self):
        """The rest of a complete response whose body ends without a line break. A body without a length never counts as
        complete: its last line is lost if no line break follows it."""
        last, self.partial = self.partial, b""
        return [last]


class Watch(Connection):
    """One connection to discovery: sends the request, and passes on the lines of the response."""

    def __init__(self, coordinator, discovery):
        super().__init__(coordinator)
        self.discovery, self.response, self.line_splitter = discovery, http.ResponseParser(), LineSplitter()
        self.address, self.address_number = discovery.address, discovery.address_number
        self.has_received = False
        self.last_line_at = self.opened_at  # when the last complete line came

    def log_identity(self):
        return {"who": "discovery"}

    def connection_made(self, transport):
        super().connection_made(transport)
        self.discovery.watches.add(self)
        self.check_silence()  # before the write: schedules the check that ends the watch even if the write raises
        path = f"/registry/instances?watch=1&from={self.discovery.version}"
        self.write(http.build_get(":".join(map(str, self.address)), path))

    def consume(self, data):
        self.has_received = True
        pieces, used = self.response.feed(data)
        lines = [line for piece in pieces for line in self.line_splitter.feed(piece)]
        if self.response.complete:
            lines += self.line_splitter.flush()
        for line in lines:
            if line.strip():
                self.discovery.handle_line(line)
            self.last_line_at = self.last_received_at
            self.discovery.watch_received_line(self)
        if self.response.complete:
            self.end(Reason.CLOSED, "the watch has ended")
        return used

    def check_silence(self):
        """Ends a watch without heartbeats, and schedules the next check. Such a watch may stay silent for ever while
        the list changes. Where discovery itself is down, the only effect is a dial every second or two.

        Bytes that do not complete a line are no heartbeat: a line may take HEARTBEAT_TIMEOUT_US. After a failure, and
        until a line has come, it may take MAX_AGENT_LAG_US, which is twice as long. So a list that arrives too slowly
        for the first limit may get through at the next attempt. One that takes longer than the second never does."""
        if self.reason:
            return
        line_due = self.last_line_at + min(HEARTBEAT_TIMEOUT_US << min(self.discovery.failures, 10), MAX_AGENT_LAG_US)
        due = (
            min(self.last_received_at + HEARTBEAT_TIMEOUT_US, line_due)
            if self.has_received
            else self.opened_at + FIRST_RESPONSE_TIMEOUT_US
        )
        if self.coordinator.clock.now() >= due:
            self.end(Reason.SILENT, "no heartbeat")
        else:
            self.coordinator.clock.call_at(due, self.check_silence)

    def connection_lost(self, failure):
        super().connection_lost(failure)
        self.discovery.watch_lost(self)


class DiscoveryClient:
    """Watches discovery: dials again whenever a dial or a watch has failed, and passes the lists on to the coordinator.
    After a change of discovery's address the old watch stays until the new one has sent a line, so that no change is
    missed in between. The end of a watch to an earlier address starts no new dial."""

    def __init__(self, coordinator, address, version, seed):
        self.coordinator, self.address, self.version, self.seed = coordinator, address, version, seed
        self.address_number = 0  # counts the changes of the address
        self.watches = set()
        # Dials that failed and watches that ended, in a row. A line on a watch to the current address resets it, and so
        # does a change of the address.
        self.failures = 0
        self.jitter_draws = 0
        self.dial_task = None
        self.dial_scheduled = False
        self.version_at = coordinator.clock.now()  # when the last list was accepted, also one of an equal version

    def change_address(self, address):
        if address == self.address:
            return
        self.address, self.address_number = address, self.address_number + 1
        self.failures = 0
        self.dial_scheduled = False
        if self.dial_task:
            self.dial_task.cancel()
        self.dial(self.address_number)

    def dial(self, address_number=0):
        """Opens a watch. A dial that was scheduled for an earlier address does nothing."""
        if not self.coordinator.stopping and address_number == self.address_number:
            self.dial_scheduled, self.dial_task = False, asyncio.ensure_future(self.connect())

    async def connect(self):
        address_number = self.address_number
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_US / US_PER_SECOND):
                await asyncio.get_running_loop().create_connection(lambda: Watch(self.coordinator, self), *self.address)
        except Exception as failure:  # also a timeout, and a host name that the resolver rejects
            self.coordinator.log.info(
                "connection_ended",
                code=Reason.REFUSED.value,
                who="discovery",
                detail=str(failure) or type(failure).__name__,
            )
            self.schedule_dial(address_number)  # there is no watch whose end would do it

    def schedule_dial(self, address_number):
        """Schedules a dial after a delay that grows with each failure in a row, so that a discovery in trouble is not
        loaded further."""
        if self.dial_scheduled or address_number != self.address_number:
            return
        self.dial_scheduled = True
        self.failures += 1
        self.jitter_draws += 1
        delay = min(FIRST_REDIAL_DELAY_US << min(self.failures, 10), MAX_REDIAL_DELAY_US)
        jitter = zlib.crc32(f"{self.seed}:dial:{self.jitter_draws}".encode()) / 2**32
        self.coordinator.clock.call_at(
            self.coordinator.clock.now() + int(delay * (1 + jitter) / 2), lambda: self.dial(address_number)
        )

    def stop(self):
        if self.dial_task:
            self.dial_task.cancel()

    def watch_lost(self, watch):
        self.watches.discard(watch)
        self.schedule_dial(watch.address_number)

    def watch_received_line(self, watch):
        """A watch has received a line, and so works. If it is a watch to the current address, all others are ended."""
        if watch.address_number == self.address_number:
            self.failures = 0
            for other in self.watches - {watch}:
                other.end(Reason.REPLACED)

    def handle_line(self, line):
        """Passes a list, or changes of it, on to the coordinator.

        Two watches, or an agent that lags, may send a version older than the one that is known. For as long as an
        agent may lag, older changes are ignored, and an older whole list is refused together with its watch. After
        that time the agent is assumed to have restarted its version numbers: a whole list is accepted. Changes are
        refused, as they do not tell what was missed; `version` becomes 0, so that the next watch asks for the whole
        list. This could do harm where an agent lags by more than the limit: the list then goes back to the state that
        this agent has.

        The version of an accepted list is stored only after the coordinator has taken the list in."""
        try:
            document = json.loads(line)
        except (ValueError, RecursionError) as error:
            raise ProtocolError(Reason.BAD_LIST, f"not JSON: {error}") from None
        decoder = self.coordinator.decoder
        version, scope, entries, errors = decode_list(document, decoder.zones, self.coordinator.kinds)
        now = self.coordinator.clock.now()
        if version < self.version:
            last_version = self.version
            may_lag = now - self.version_at < MAX_AGENT_LAG_US
            if may_lag and scope == "changes":
                return
            if not may_lag and scope == "changes":
                self.version = 0
            if may_lag or scope == "changes":
                assumption = "" if may_lag else "; the agent is assumed to have restarted its version numbers"
                raise ProtocolError(Reason.BAD_LIST, f"version {version} after {last_version}{assumption}")
        self.coordinator.update_backends(scope, entries, errors)
        self.version, self.version_at = version, now
