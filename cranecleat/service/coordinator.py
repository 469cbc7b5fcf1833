"""The coordinator: what came in goes to the planner once a round, what it decides goes to the streams."""

import re

from cranecleat.door import Names
from cranecleat.memory.pool import Pool
from cranecleat.memory.streams import Streams
from cranecleat.policy import Planner
from cranecleat.protocol.connections import Incoming
from cranecleat.protocol.limits import BUFFER, HALF_READ, SHARE
from cranecleat.protocol.lines import Reader
from cranecleat.protocol.reasons import Reason
from cranecleat.protocol.registry import Registry

SLOW_ROUND = 1 / 50  # of a cycle


class Coordinator:
    """What all connections share. `failed` is called with what the planner raised."""

    def __init__(self, station, clock, log, failed):
        self.station, self.clock, self.log, self.failed = station, clock, log, failed
        self.names, self.kinds = Names(), station.kinds
        routes = {name: index for index, name in enumerate(station.routes)}
        self.reader = Reader(station.zones, routes, station.proxies, self.names)
        self.pool = Pool(BUFFER, max(1, int(station.memory * HALF_READ) // BUFFER))
        self.connections, self.strangers, self.collectors, self.stopping = set(), set(), set(), False
        self.registry = Registry(self, station.discovery, station.known[0], station.seed)
        self.planner = Planner(station.bootstrap, station.seed)
        self.streams = Streams(self.names, station.routes, self.wake, self.watch, self.says)
        self.arrivals, self.waiting, self.last, self.longest = [], False, 0, 0

    def start(self):
        """The planner knows the list as it was last had before anybody is answered."""
        self.waiting = True  # for the round right below
        self.listed("held", self.station.known[1])
        self.round()

    def accept(self):
        return Incoming(self)

    # What connections bring

    def told(self, call):
        if call:
            self.arrivals.append(call)
            if not self.waiting:
                self.waiting = True
                self.clock.at(max(self.clock.now(), self.last + self.station.round), self.round)

    def listed(self, scope, entries):
        for name, state, *_ in entries:
            self.log.info("listed", scope=scope, uid=name, state=state)
        self.told(("listed", scope, [(self.names(name), *rest) for name, *rest in entries]))

    def joined(self, connection, zone, typical, standing):
        old, brought = self.streams.join(connection.number, connection, standing)
        if old:
            old.connection.end(Reason.REPLACED)
        self.log.info("joined", proxy=connection.number, zone=zone, cold=standing, brought=brought)
        self.told(("joined", connection.number, zone, typical, standing, brought))

    def lost(self, connection):
        self.strangers.discard(connection)
        self.collectors.discard(connection)
        if connection.number is not None and self.streams.leave(connection.number, connection):
            self.told(("left", connection.number))

    def make_room(self, group):
        """Those that need no number may come in hundreds, or be left open by a cut: the ones longest silent go,
        so that proxies keep their place."""
        while len(group) > max(1, int(self.station.descriptors * SHARE)):
            longest = min(group, key=lambda connection: connection.heard)
            group.discard(longest)
            longest.end(Reason.CROWDED)

    def follow(self, station):
        """A new configuration: discovery moves, all else stays as it was at the start."""
        self.log.info("reloaded", discovery=":".join(map(str, station.discovery)),
                      kept=",".join(self.station.kept(station)) or None)
        self.registry.follow(station.discovery)

    # What the planner asks for, beside orders

    def says(self, text):
        """Its numbers mean nothing to who reads the log."""
        self.log.info("planner", says=re.sub(r"(?<=backend )\d+", lambda m: self.names.ids[int(m[0])], text))

    def watch(self):
        """A watch is kept up in any case, and dialled anew when it fails: see protocol/registry.py."""

    def wake(self, at, number):
        self.clock.at(at, lambda: self.told(("woke", number)))

    # Rounds

    def round(self):
        self.waiting = False
        if self.stopping:
            return
        calls, self.arrivals, self.last = self.arrivals, [], self.clock.now()
        try:
            self.planner.round(self.last, calls, self.streams)
            messages = list(self.streams.messages())
        except Exception as failure:  # a planner that has failed would lie from now on
            self.failed(failure)
            return
        for connection, message in messages:
            connection.write(message)
        self.took(self.clock.now() - self.last)

    def took(self, time):
        """A round holds up all else; the longest so far is told where it is long."""
        if time > self.longest and time > self.station.bootstrap.cycle * SLOW_ROUND:
            self.log.warning("slow_round", us=time)
        self.longest = max(self.longest, time)

    def stop(self):
        self.stopping = True
        for connection in list(self.connections):
            connection.end(Reason.STOPPING)
