"""The coordinator: hands events from all connections to the planner once a round, and its decisions to the streams."""

import re

from cranecleat.decoding import IndexMap
from cranecleat.memory.pool import BufferPool
from cranecleat.memory.streams import Streams
from cranecleat.policy import Planner
from cranecleat.protocol.connections import Incoming, UnreadTotal
from cranecleat.protocol.limits import (
    BUFFER_BYTES,
    BUFFER_MEMORY_SHARE,
    DESCRIPTOR_SHARE,
    IDENTIFY_TIMEOUT_US,
    LOG_SUMMARY_INTERVAL_US,
    SPARE_DESCRIPTOR_SHARE,
    UNREAD_MEMORY_SHARE,
)
from cranecleat.protocol.lines import MessageDecoder
from cranecleat.protocol.reasons import Reason
from cranecleat.protocol.registry import DiscoveryClient

# Report intervals (`Bootstrap.cycle`). A round is logged if it takes longer than this and than every round before it.
SLOW_ROUND_CYCLES = 1 / 50


class Coordinator:
    """The state that all connections share. `on_planner_failure` is called with the exception when the planner raises
    one in a round, or the encoding of the round's messages does."""

    def __init__(self, configuration, clock, log, on_planner_failure):
        self.configuration = configuration
        self.clock = clock
        self.log = log
        self.on_planner_failure = on_planner_failure
        self.names = IndexMap()  # names of the backends and their indices
        self.kinds = configuration.kinds
        routes = {name: index for index, name in enumerate(configuration.routes)}
        self.decoder = MessageDecoder(
            configuration.zones,
            routes,
            configuration.proxies,
            self.names,
            configuration.bootstrap.cycle,
            configuration.patience,
        )
        self.pool = BufferPool(BUFFER_BYTES, max(1, int(configuration.memory * BUFFER_MEMORY_SHARE) // BUFFER_BYTES))
        self.unread = UnreadTotal(int(configuration.memory * UNREAD_MEMORY_SHARE))
        self.connections = set()
        self.unidentified = {}  # connections that have not said what they are, the oldest first; a dict as ordered set
        self.collectors = set()
        self.stopping = False
        # The most unidentified connections, and also the most collectors.
        self.connection_quota = max(1, int(configuration.descriptors * DESCRIPTOR_SHARE))
        self.log_counts = {}  # (event, *fields) -> (how often since the last summary, detail of the last one)
        self.expiry_scheduled = False
        self.discovery = DiscoveryClient(self, configuration.discovery, configuration.known[0], configuration.seed)
        self.planner = Planner(configuration.bootstrap, configuration.seed)
        self.streams = Streams(self.names, configuration.routes, self.set_timer, self.watch, self.log_planner_text)
        self.files = None  # the files transport, where it is switched on: see `use_files_transport`
        self.writer = self.streams
        self.pending_events = []
        self.round_scheduled = False
        self.last_round_at = 0
        self.longest_round = 0  # microseconds

    def use_files_transport(self, transport, writer):
        """Serves some proxies through files. Must be called before `start`, as both transports need all tables, and
        `start` runs the first round of the planner."""
        self.files, self.writer = transport, writer

    def start(self):
        """Gives the planner the last known list of backends before any connection is served."""
        self.round_scheduled = True  # keeps `queue_event` from scheduling a round, as one is run right here
        self.update_backends("held", *self.configuration.known[1:])
        self.run_round()

    def make_connection(self):
        """The protocol object of a newly accepted connection."""
        return Incoming(self)

    # Input from connections

    def queue_event(self, event):
        """Queues an event, or nothing for None, and schedules a round if none is scheduled."""
        if event:
            self.pending_events.append(event)
            if not self.round_scheduled:
                self.round_scheduled = True
                self.clock.call_at(max(self.clock.now(), self.last_round_at + self.configuration.round), self.run_round)

    def update_backends(self, scope, entries, errors):
        """Takes a list of backends or changes of it. The scope is "whole" (all backends), "changes" (those that have
        changed), or "held" (the last known list, which the coordinator is started with; it may be out of date).

        An entry that cannot be used leaves its backend unchanged. A whole list with such an entry is treated as changes
        in which the missing backends are gone. If the name of an unusable entry cannot be read, any missing backend may
        be the one it names, and none counts as gone."""
        for error in errors.values():
            self.log_aggregated("bad_entry", detail=error)
        if errors and scope == "whole":
            scope, named = "changes", {*errors, *(name for name, *_ in entries)}
            if None not in errors:
                entries = entries + [(name, "gone", 0, 0, 1.0, 0) for name in self.names.index if name not in named]
        for name, state, *_ in entries:
            self.log.info("listed", scope=scope, uid=name, state=state)
        indexed = [(self.names(name), *rest) for name, *rest in entries]
        inheritable = self.streams.backends_listed(scope, indexed)
        self.queue_event(("backends_listed", scope, indexed))
        if inheritable:
            self.queue_event(("withdrawals_inherited", inheritable))

    def stream_attached(self, connection, zone, typical_rate, uses_initial_table):
        """A connection has identified itself as a proxy's stream."""
        self.unidentified.pop(connection, None)
        if not self.files or self.files.stream_opened(connection, zone, typical_rate, uses_initial_table):
            self.join_stream(connection, zone, typical_rate, uses_initial_table)

    def join_stream(self, connection, zone, typical_rate, uses_initial_table):
        """Serves a proxy on this stream from now on. An older stream of the same proxy is ended.

        `uses_initial_table`: the proxy holds only the backends that it drew at its start, no table of a coordinator (in
        the log `cold=`). `inherited`: the number of withdrawals that the proxy may still hold from earlier streams, of
        this coordinator or of another one (in the log `brought=`)."""
        replaced, stream = self.streams.join(connection.proxy, connection, typical_rate, uses_initial_table)
        self.decoder.typical_rate = self.streams.typical_rate()
        if replaced:
            replaced.connection.end(Reason.REPLACED)
        inherited = self.streams.inherited_count(stream)
        self.log.info("joined", proxy=connection.proxy, zone=zone, cold=uses_initial_table, brought=inherited)
        self.queue_event(
            (
                "proxy_joined",
                connection.proxy,
                zone,
                typical_rate,
                uses_initial_table,
                self.streams.may_inherit(stream),
            )
        )

    def connection_closed(self, connection):
        if connection.proxy is None:
            return
        served = self.streams.leave(connection.proxy, connection)
        if served:
            self.decoder.typical_rate = self.streams.typical_rate()
            self.queue_event(("proxy_left", connection.proxy))
        if self.files:
            self.files.stream_closed(connection, served)

    def is_waiting(self, connection):
        """Whether a stream is only a standby, as its proxy is served through files. It is used once the proxy is served
        through files no longer. Until then its messages are ignored, as the proxy's reports and acknowledgements come
        through files."""
        return self.files is not None and connection.proxy in self.files.waiting_streams

    # Limits on unidentified connections and collectors. Unlike streams, of which there is one for each proxy, their
    # number has no natural bound: hundreds may be opened, or left open when the network is cut.

    def add_unidentified(self, connection):
        """Registers a new connection and ends the oldest unidentified ones while there are too many. The new one always
        stays, so that it has the chance to identify itself."""
        self.unidentified[connection] = None
        while len(self.unidentified) > self.connection_quota or (
            len(self.unidentified) > 1
            and len(self.connections) > self.configuration.descriptors * (1 - SPARE_DESCRIPTOR_SHARE)
        ):
            self.drop_unidentified()
        if not self.expiry_scheduled:
            self.expiry_scheduled = True
            self.clock.call_at(connection.opened_at + IDENTIFY_TIMEOUT_US, self.expire_unidentified)

    def drop_unidentified(self, detail=None):
        """Ends the oldest unidentified connection; returns whether there was one."""
        oldest = next(iter(self.unidentified), None)
        if oldest:
            oldest.end(Reason.CROWDED, detail)
        return oldest is not None

    def expire_unidentified(self):
        """Ends the connections that have not identified themselves in time, even if they have sent other messages.
        One scheduled call serves all of them."""
        now = self.clock.now()
        while (oldest := next(iter(self.unidentified), None)) and oldest.opened_at + IDENTIFY_TIMEOUT_US <= now:
            oldest.end(Reason.MUTE)
        self.expiry_scheduled = oldest is not None
        if oldest:
            self.clock.call_at(oldest.opened_at + IDENTIFY_TIMEOUT_US, self.expire_unidentified)

    def add_collector(self, connection):
        """A connection has identified itself as a collector. Ends the longest silent ones while there are too many."""
        self.unidentified.pop(connection, None)
        self.collectors.add(connection)
        while len(self.collectors) > self.connection_quota:
            min(self.collectors, key=lambda collector: collector.last_received_at).end(Reason.CROWDED)

    def reclaim_buffers(self, requester):
        """Frees pool buffers for `requester` when none is left, by ending one connection: the oldest unidentified one
        that holds buffers, else the one that holds the most, as it has the most partly received data. That may be a
        proxy's stream, a watch or `requester` itself. Returns whether it was another connection than `requester`."""
        holders = [connection for connection in self.unidentified if connection.receive_buffer.buffers]
        victim = (
            holders[0]
            if holders
            else max((*self.connections, requester), key=lambda connection: len(connection.receive_buffer.buffers))
        )
        victim.end(Reason.HALF_READ, "no buffer is free")
        return victim is not requester

    def log_aggregated(self, event, detail=None, **fields):
        """Counts an event that may occur very often. Each combination of event and fields gets one log line per summary
        interval, with the count and the detail of the last occurrence."""
        if not self.log_counts:
            self.clock.call_at(self.clock.now() + LOG_SUMMARY_INTERVAL_US, self.flush_log_counts)
        key = event, *fields.items()
        self.log_counts[key] = self.log_counts.get(key, (0,))[0] + 1, detail

    def flush_log_counts(self):
        for (event, *fields), (count, detail) in self.log_counts.items():
            self.log.warning(event, **dict(fields), count=count, detail=detail)
        self.log_counts.clear()

    def reload(self, configuration):
        """Applies the address of discovery of a new configuration. The other fields stay as they were at the start; the
        names of those that differ are logged (`kept=`). Transports reload their own settings."""
        self.log.info(
            "reloaded",
            discovery=":".join(map(str, configuration.discovery)),
            kept=",".join(self.configuration.ignored_changes(configuration)) or None,
        )
        self.discovery.change_address(configuration.discovery)

    # What the planner asks for, apart from messages to proxies

    def log_planner_text(self, text):
        """Logs a text of the planner, with names in place of backend indices, which mean nothing to an operator."""
        self.log.info("planner", says=re.sub(r"(?<=backend )\d+", lambda m: self.names.ids[int(m[0])], text))

    def watch(self):
        """Does nothing: `DiscoveryClient` watches discovery without being asked, and dials again when a watch ends."""

    def set_timer(self, at, number):
        self.clock.call_at(at, lambda: self.queue_event(("timer_fired", number)))

    # Rounds

    def run_round(self):
        self.round_scheduled = False
        if self.stopping:
            return
        events, self.pending_events, self.last_round_at = self.pending_events, [], self.clock.now()
        try:
            self.planner.round(self.last_round_at, events, self.writer)
            messages = self.streams.messages()
        except Exception as failure:  # after an exception the planner's state is not reliable any more
            self.on_planner_failure(failure)
            return
        for connection, message in messages:
            connection.write(message)
        if self.files:
            self.files.publish()
        self.record_round_time(self.clock.now() - self.last_round_at)

    def record_round_time(self, duration):
        """Keeps the longest round, and logs a round that is the longest so far and slow: it delays everything else."""
        if duration > self.longest_round and duration > self.configuration.bootstrap.cycle * SLOW_ROUND_CYCLES:
            self.log.warning("slow_round", us=duration)
        self.longest_round = max(self.longest_round, duration)

    def stop(self):
        self.stopping = True
        self.discovery.stop()
        for connection in list(self.connections):
            connection.end(Reason.STOPPING)
        self.flush_log_counts()
