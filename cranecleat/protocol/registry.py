"""Discovery: the list of backends, and the watch that carries its changes."""

import asyncio
import json
import re
import zlib

from cranecleat.decoding import US_PER_MS, US_PER_SECOND
from cranecleat.protocol import http
from cranecleat.protocol.connections import Connection
from cranecleat.protocol.limits import DIAL, FIRST_WAIT, LAG, LIST, LONGEST_WAIT, PROMPT, QUIET
from cranecleat.protocol.reasons import ProtocolError, Reason

STATES = {"active": "running", "leaving": "draining", "left": "gone"}
NAME = re.compile(r"[^\s,:+=]{1,200}")  # what can stand in an order


def record(target, zones, kinds):
    """One entry of a list; its backend still has its name."""
    try:
        name, state, started = target["uid"], target["state"], target["boot_ms"] or 0
        size = target.get("capacity_hint", 1.0)
        if not isinstance(name, str) or not NAME.fullmatch(name) or not name.isprintable():
            raise ProtocolError(Reason.BAD_LIST, f"a name that no order can hold: {name!r:.60}")
        if not 0 <= started <= 1e15 or not 0 <= size <= 1e9:
            raise ProtocolError(Reason.BAD_LIST, f"{name}: a figure out of range")
        return (
            name,
            STATES[state],
            zones[target["az"]],
            kinds[target["model"]],
            float(size),
            round(started * US_PER_MS),
        )
    except ProtocolError:
        raise
    except KeyError as missing:
        raise ProtocolError(Reason.BAD_LIST, f"missing or unknown: {missing.args[0]!r:.60}") from None
    except (TypeError, AttributeError, ValueError, OverflowError) as wrong:
        raise ProtocolError(Reason.BAD_LIST, f"no entry of a list: {wrong}") from None


def decode_list(entry, zones, kinds):
    """A list, or changes of it, as version, scope, entries, and what is wrong with the others: each costs only
    itself. Their names, where those can be read, or None -> why."""
    if not isinstance(entry, dict) or not isinstance(entry.get("targets"), list) or "all" not in entry:
        raise ProtocolError(Reason.BAD_LIST, "no list of backends")
    version, records, wrong = entry.get("rev"), [], {}
    if isinstance(version, bool) or not isinstance(version, int):
        raise ProtocolError(Reason.BAD_LIST, "a version that is no whole number")
    for target in entry["targets"]:
        try:
            records.append(record(target, zones, kinds))
        except ProtocolError as why:
            name = target.get("uid") if isinstance(target, dict) else None
            wrong[name if isinstance(name, str) else None] = str(why)
    return version, "whole" if entry["all"] else "changes", records, wrong


class LineSplitter:
    """The body of a watch: pieces in, whole lines out."""

    def __init__(self):
        self.half = b""

    def feed(self, piece):
        *whole, self.half = (self.half + piece).split(b"\n")
        if len(self.half) > LIST:
            raise ProtocolError(Reason.TOO_LONG, "an entry of the watch without an end")
        return whole

    def flush(self):
        """A body may end without a last line break."""
        last, self.half = self.half, b""
        return [last]


class Watch(Connection):
    """One connection to discovery, from its dial to its end."""

    def __init__(self, coordinator, registry):
        super().__init__(coordinator)
        self.registry, self.answer, self.lines = registry, http.ResponseParser(), LineSplitter()
        self.address, self.move = registry.address, registry.moves
        self.begun, self.whole = False, self.opened  # whether it has said anything; when its last whole line came

    def who(self):
        return {"who": "discovery"}

    def connection_made(self, transport):
        super().connection_made(transport)
        self.registry.watches.add(self)
        self.look()  # first: whatever goes wrong from here on, it is found silent
        path = f"/registry/instances?watch=1&from={self.registry.version}"
        self.write(http.get(":".join(map(str, self.address)), path))

    def use(self, data):
        self.begun = True
        pieces, used = self.answer.feed(data)
        found = [line for piece in pieces for line in self.lines.feed(piece)]
        if self.answer.complete:
            found += self.lines.flush()
        for line in found:
            if line.strip():
                self.registry.heard(line)
            self.whole = self.heard
            self.registry.alive(self)
        if self.answer.complete:
            self.end(Reason.CLOSED, "the watch has ended")
        return used

    def look(self):
        """A watch that has lost its pulse may be silent for ever, and the list may change meanwhile. Where discovery
        itself is down this only dials once a second or two. Bytes that make no line are no pulse: a line gets as long
        as a pulse, and twice that at the next try, so that a list which comes slowly is heard after all."""
        if self.reason:
            return
        line = self.whole + min(QUIET << min(self.registry.failures, 10), LAG)
        due = min(self.heard + QUIET, line) if self.begun else self.opened + PROMPT
        if self.coordinator.clock.now() >= due:
            self.end(Reason.SILENT, "no pulse")
        else:
            self.coordinator.clock.call_at(due, self.look)

    def connection_lost(self, failure):
        super().connection_lost(failure)
        self.registry.lost(self)


class Registry:
    """Keeps one watch up, and hands on what it brings. After a move to another address the old watch stays until the
    new one speaks, so that no change falls between them; what the old one does from then on starts nothing."""

    def __init__(self, coordinator, address, version, seed):
        self.coordinator, self.address, self.version, self.seed = coordinator, address, version, seed
        self.moves, self.watches = 0, set()
        self.failures, self.draws, self.dialling, self.due = 0, 0, None, False
        self.reached = coordinator.clock.now()  # when the version was

    def follow(self, address):
        if address == self.address:
            return
        self.address, self.moves, self.failures, self.due = address, self.moves + 1, 0, False
        if self.dialling:
            self.dialling.cancel()
        self.dial(self.moves)

    def dial(self, move=0):
        """One that fell due for an address that has been left comes to nothing."""
        if not self.coordinator.stopping and move == self.moves:
            self.due, self.dialling = False, asyncio.ensure_future(self.connect())

    async def connect(self):
        move = self.moves
        try:
            async with asyncio.timeout(DIAL / US_PER_SECOND):
                await asyncio.get_running_loop().create_connection(lambda: Watch(self.coordinator, self), *self.address)
        except Exception as failure:  # also one that takes too long, or a name that no look-up takes
            self.coordinator.log.info(
                "connection_ended",
                code=Reason.REFUSED.value,
                who="discovery",
                detail=str(failure) or type(failure).__name__,
            )
            self.again(move)  # nobody else would

    def again(self, move):
        """Dials after a wait that grows with each failure in a row, so that a list in trouble is left alone."""
        if self.due or move != self.moves:
            return
        self.due, self.failures, self.draws = True, self.failures + 1, self.draws + 1
        wait = min(FIRST_WAIT << min(self.failures, 10), LONGEST_WAIT)
        chance = zlib.crc32(f"{self.seed}:dial:{self.draws}".encode()) / 2**32
        self.coordinator.clock.call_at(
            self.coordinator.clock.now() + int(wait * (1 + chance) / 2), lambda: self.dial(move)
        )

    def stop(self):
        if self.dialling:
            self.dialling.cancel()

    def lost(self, watch):
        self.watches.discard(watch)
        self.again(watch.move)

    def alive(self, watch):
        """The watch of where discovery is now speaks: the others have nothing more to say."""
        if watch.move == self.moves:
            self.failures = 0
            for other in self.watches - {watch}:
                other.end(Reason.REPLACED)

    def heard(self, line):
        """Two watches, or an agent that lags, may bring what has been told already: changes are dropped then, and a
        whole list refused, its watch with it, for as long as an agent may lag. After that versions are counted anew: a
        whole list is believed, and after changes, which say nothing of what was missed, all is asked for. Could do
        harm where an agent lags by more: the list goes back to what that agent holds. An entry's version counts once
        the entry is in."""
        try:
            entry = json.loads(line)
        except (ValueError, RecursionError) as wrong:
            raise ProtocolError(Reason.BAD_LIST, f"no JSON: {wrong}") from None
        version, scope, entries, wrong = decode_list(entry, self.coordinator.reader.zones, self.coordinator.kinds)
        now = self.coordinator.clock.now()
        if version < self.version:
            before, lags = self.version, now - self.reached < LAG
            if lags and scope == "changes":
                return
            if not lags and scope == "changes":
                self.version = 0
            if lags or scope == "changes":
                raise ProtocolError(
                    Reason.BAD_LIST, f"version {version} after {before}{'' if lags else ', counted anew'}"
                )
        self.coordinator.listed(scope, entries, wrong)
        self.version, self.reached = version, now
