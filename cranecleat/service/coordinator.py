"""The coordinator: what came in goes to the planner once a round, what it decides goes to the streams."""

import re

from cranecleat.decoding import IndexMap
from cranecleat.memory.pool import BufferPool
from cranecleat.memory.streams import Streams
from cranecleat.policy import Planner
from cranecleat.protocol.connections import Incoming
from cranecleat.protocol.limits import BUFFER, HALF_READ, LOG_SUMMARY_INTERVAL_US, MUTE, SHARE, SPARE
from cranecleat.protocol.lines import MessageDecoder
from cranecleat.protocol.reasons import Reason
from cranecleat.protocol.registry import Registry

SLOW_ROUND = 1 / 50  # of a cycle


class Coordinator:
    """What all connections share. `failed` is called with what the planner raised."""

    def __init__(self, configuration, clock, log, failed):
        self.configuration, self.clock, self.log, self.failed = configuration, clock, log, failed
        self.names, self.kinds = IndexMap(), configuration.kinds
        routes = {name: index for index, name in enumerate(configuration.routes)}
        self.reader = MessageDecoder(
            configuration.zones,
            routes,
            configuration.proxies,
            self.names,
            configuration.bootstrap.cycle,
            configuration.patience,
        )
        self.pool = BufferPool(BUFFER, max(1, int(configuration.memory * HALF_READ) // BUFFER))
        self.connections, self.strangers, self.collectors, self.stopping = set(), {}, set(), False
        self.share, self.sums, self.expiring = max(1, int(configuration.descriptors * SHARE)), {}, False
        self.registry = Registry(self, configuration.discovery, configuration.known[0], configuration.seed)
        self.planner = Planner(configuration.bootstrap, configuration.seed)
        self.streams = Streams(self.names, configuration.routes, self.set_timer, self.watch, self.says)
        self.files, self.writer = None, self.streams  # the files transport, where it is on: see `through_files`
        self.arrivals, self.waiting, self.last, self.longest = [], False, 0, 0

    def through_files(self, front, writer):
        """Some proxies are served through files from now on; before `start`, as both have to know all tables."""
        self.files, self.writer = front, writer

    def start(self):
        """The planner knows the list as it was last had before anybody is answered."""
        self.waiting = True  # for the round right below
        self.listed("held", *self.configuration.known[1:])
        self.round()

    def accept(self):
        return Incoming(self)

    # What connections bring

    def queue_event(self, call):
        if call:
            self.arrivals.append(call)
            if not self.waiting:
                self.waiting = True
                self.clock.call_at(max(self.clock.now(), self.last + self.configuration.round), self.round)

    def listed(self, scope, entries, wrong):
        """An entry that cannot be used leaves its backend as it was; a whole list with one is taken as changes, in
        which what is missing has gone, unless that may be the one whose name cannot be read."""
        for why in wrong.values():
            self.log_aggregated("bad_entry", detail=why)
        if wrong and scope == "whole":
            scope, named = "changes", {*wrong, *(name for name, *_ in entries)}
            if None not in wrong:
                entries = entries + [(name, "gone", 0, 0, 1.0, 0) for name in self.names.index if name not in named]
        for name, state, *_ in entries:
            self.log.info("listed", scope=scope, uid=name, state=state)
        known = [(self.names(name), *rest) for name, *rest in entries]
        self.streams.backends_listed(scope, known)
        self.queue_event(("backends_listed", scope, known))

    def joined(self, connection, zone, typical, standing):
        self.strangers.pop(connection, None)
        if not self.files or self.files.stream_opened(connection, zone, typical, standing):
            self.join_stream(connection, zone, typical, standing)

    def join_stream(self, connection, zone, typical, standing):
        old, brought = self.streams.join(connection.proxy, connection, typical, standing)
        self.reader.typical_rate = self.streams.typical_rate()
        if old:
            old.connection.end(Reason.REPLACED)
        self.log.info("joined", proxy=connection.proxy, zone=zone, cold=standing, brought=brought)
        self.queue_event(("proxy_joined", connection.proxy, zone, typical, standing, brought))

    def lost(self, connection):
        if connection.proxy is None:
            return
        served = self.streams.leave(connection.proxy, connection)
        if served:
            self.reader.typical_rate = self.streams.typical_rate()
            self.queue_event(("proxy_left", connection.proxy))
        if self.files:
            self.files.stream_closed(connection, served)

    def waits(self, connection):
        """Whether a stream stands aside, as its proxy is served through files: what it says of orders counts there."""
        return self.files is not None and connection.proxy in self.files.waiting_streams

    # Room for those that need no number: they may come in hundreds, or be left open by a cut

    def came(self, stranger):
        """Strangers stand in the order in which they came, and the first is the next to go; one that has just come
        has its chance in any case."""
        self.strangers[stranger] = None
        while len(self.strangers) > self.share or (
            len(self.strangers) > 1 and len(self.connections) > self.configuration.descriptors * (1 - SPARE)
        ):
            self.drop_stranger()
        if not self.expiring:
            self.expiring = True
            self.clock.call_at(stranger.opened + MUTE, self.expire)

    def drop_stranger(self, detail=None):
        first = next(iter(self.strangers), None)
        if first:
            first.end(Reason.CROWDED, detail)
        return first is not None

    def expire(self):
        """Whoever has not joined in time goes, whatever else it said: one wait for all of them."""
        now = self.clock.now()
        while (first := next(iter(self.strangers), None)) and first.opened + MUTE <= now:
            first.end(Reason.MUTE)
        self.expiring = first is not None
        if first:
            self.clock.call_at(first.opened + MUTE, self.expire)

    def collects(self, connection):
        self.strangers.pop(connection, None)
        self.collectors.add(connection)
        while len(self.collectors) > self.share:
            min(self.collectors, key=lambda one: one.heard).end(Reason.CROWDED)

    def free_buffers(self, asking):
        """Where none is left for `asking`, the oldest stranger's are taken, else those of who holds the most: it
        alone has too much half read. Returns whether that was somebody else."""
        holding = [one for one in self.strangers if one.half.buffers]
        given = holding[0] if holding else max((*self.connections, asking), key=lambda one: len(one.half.buffers))
        given.end(Reason.HALF_READ, "no buffer is free")
        return given is not asking

    def log_aggregated(self, event, detail=None, **what):
        """What may come again and again is told in sums."""
        if not self.sums:
            self.clock.call_at(self.clock.now() + LOG_SUMMARY_INTERVAL_US, self.sum_up)
        key = event, *what.items()
        self.sums[key] = self.sums.get(key, (0,))[0] + 1, detail

    def sum_up(self):
        for (event, *what), (count, detail) in self.sums.items():
            self.log.warning(event, **dict(what), count=count, detail=detail)
        self.sums.clear()

    def follow(self, configuration):
        """A new configuration: discovery moves, all else stays as it was at the start."""
        self.log.info(
            "reloaded",
            discovery=":".join(map(str, configuration.discovery)),
            kept=",".join(self.configuration.kept(configuration)) or None,
        )
        self.registry.follow(configuration.discovery)

    # What the planner asks for, beside orders

    def says(self, text):
        """Its numbers mean nothing to who reads the log."""
        self.log.info("planner", says=re.sub(r"(?<=backend )\d+", lambda m: self.names.ids[int(m[0])], text))

    def watch(self):
        """A watch is kept up in any case, and dialled anew when it fails: see protocol/registry.py."""

    def set_timer(self, at, number):
        self.clock.call_at(at, lambda: self.queue_event(("timer_fired", number)))

    # Rounds

    def round(self):
        self.waiting = False
        if self.stopping:
            return
        calls, self.arrivals, self.last = self.arrivals, [], self.clock.now()
        try:
            self.planner.round(self.last, calls, self.writer)
            messages = self.streams.messages()
        except Exception as failure:  # a planner that has failed would lie from now on
            self.failed(failure)
            return
        for connection, message in messages:
            connection.write(message)
        if self.files:
            self.files.publish()
        self.took(self.clock.now() - self.last)

    def took(self, time):
        """A round holds up all else; the longest so far is told where it is long."""
        if time > self.longest and time > self.configuration.bootstrap.cycle * SLOW_ROUND:
            self.log.warning("slow_round", us=time)
        self.longest = max(self.longest, time)

    def stop(self):
        self.stopping = True
        self.registry.stop()
        for connection in list(self.connections):
            connection.end(Reason.STOPPING)
        self.sum_up()
