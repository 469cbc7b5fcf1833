"""Discovery: the list of backends, and the watch that carries its changes."""

import asyncio
import json
import re
import zlib

from cranecleat.door import MICRO, MILLI
from cranecleat.protocol import http
from cranecleat.protocol.connections import Connection
from cranecleat.protocol.limits import DIAL, FIRST_WAIT, LIST, LONGEST_WAIT, PROMPT, QUIET
from cranecleat.protocol.reasons import Reason, Unreadable

STATES = {"active": "running", "leaving": "draining", "left": "gone"}
NAME = re.compile(r"[^\s,:+=]{1,200}")  # what can stand in an order


def decode(entry, zones, kinds):
    """A list, or changes of it, as version, scope and entries whose backends still have their names."""
    try:
        records, version = [], entry["rev"]
        for target in entry["targets"]:
            name, state, started = target["uid"], target["state"], target["boot_ms"] or 0
            size = target.get("capacity_hint", 1.0)
            if not isinstance(name, str) or not NAME.fullmatch(name):
                raise Unreadable(Reason.BAD_LIST, f"a name that no order can hold: {name!r:.60}")
            if not 0 <= started <= 1e15 or not 0 <= size <= 1e9:
                raise Unreadable(Reason.BAD_LIST, f"{name}: a figure out of range")
            records.append((name, STATES[state], zones[target["az"]], kinds[target["model"]], float(size),
                            round(started * MILLI)))
        if isinstance(version, bool) or not isinstance(version, int):
            raise Unreadable(Reason.BAD_LIST, "a version that is no whole number")
        return version, "whole" if entry["all"] else "changes", records
    except Unreadable:
        raise
    except KeyError as missing:
        raise Unreadable(Reason.BAD_LIST, f"missing or unknown: {missing.args[0]!r:.60}") from None
    except (TypeError, AttributeError, ValueError, OverflowError) as wrong:
        raise Unreadable(Reason.BAD_LIST, f"no list of backends: {wrong}") from None


class Lines:
    """The body of a watch: pieces in, whole lines out."""

    def __init__(self):
        self.half = b""

    def take(self, piece):
        *whole, self.half = (self.half + piece).split(b"\n")
        if len(self.half) > LIST:
            raise Unreadable(Reason.TOO_LONG, "an entry of the watch without an end")
        return whole

    def rest(self):
        """A body may end without a last line break."""
        last, self.half = self.half, b""
        return [last]


class Watch(Connection):
    """One connection to discovery, from its dial to its end."""

    def __init__(self, hub, registry):
        super().__init__(hub)
        self.registry, self.answer, self.lines = registry, http.Answer(), Lines()

    def who(self):
        return {"who": "discovery"}

    def connection_made(self, transport):
        super().connection_made(transport)
        self.write(http.get(self.registry.host, f"/registry/instances?watch=1&from={self.registry.version}"))
        self.look()

    def use(self, data):
        pieces, used = self.answer.take(data)
        found = [line for piece in pieces for line in self.lines.take(piece)]
        if self.answer.ended:
            found += self.lines.rest()
        for line in found:
            if line.strip():
                self.registry.heard(line)
            self.registry.failures = 0
        if self.answer.ended:
            self.end(Reason.CLOSED, "the watch has ended")
        return used

    def look(self):
        """A watch that has lost its pulse may be silent for ever, and the list may change meanwhile. Where discovery
        itself is down this only dials once a second or two."""
        if self.reason:
            return
        due = self.heard + (QUIET if self.heard > self.opened else PROMPT)
        if self.hub.clock.now() >= due:
            self.end(Reason.SILENT, "no pulse")
        else:
            self.hub.clock.at(due, self.look)

    def connection_lost(self, failure):
        super().connection_lost(failure)
        self.registry.again()


class Registry:
    """Keeps one watch up, and hands on what it brings."""

    def __init__(self, hub, address, version, seed):
        self.hub, self.host, self.version = hub, ":".join(map(str, address)), version
        self.address, self.seed, self.failures, self.draws, self.dialling = address, seed, 0, 0, None

    def dial(self):
        if not self.hub.stopping:
            self.dialling = asyncio.ensure_future(self.connect())

    async def connect(self):
        try:
            async with asyncio.timeout(DIAL / MICRO):
                await asyncio.get_running_loop().create_connection(lambda: Watch(self.hub, self), *self.address)
        except OSError as failure:  # a dial that takes too long is one as well
            self.hub.log.info("connection_ended", code=Reason.REFUSED.value, who="discovery", detail=str(failure))
            self.again()

    def again(self):
        """Dials after a wait that grows with each failure in a row, so that a list in trouble is left alone."""
        self.failures, self.draws = self.failures + 1, self.draws + 1
        wait = min(FIRST_WAIT << min(self.failures, 10), LONGEST_WAIT)
        chance = zlib.crc32(f"{self.seed}:dial:{self.draws}".encode()) / 2**32
        self.hub.clock.at(self.hub.clock.now() + int(wait * (1 + chance) / 2), self.dial)

    def heard(self, line):
        try:
            entry = json.loads(line)
        except (ValueError, RecursionError) as wrong:
            raise Unreadable(Reason.BAD_LIST, f"no JSON: {wrong}") from None
        self.version, scope, entries = decode(entry, self.hub.reader.zones, self.hub.kinds)
        self.hub.listed(scope, entries)
