"""The coordinator's side of the files transport: polls the reports, publishes the planner's decisions and logs what
fails. It decides nothing itself.

Proxies that are served through files join the planner like those on streams. With this transport switched on, the
planner's writer is a `CombinedWriter`.
"""

import time

from cranecleat.decoding import MalformedError
from cranecleat.files.choice import FILES, STREAM, TransportSelector
from cranecleat.files.disk import REPORTS, Disk, FencedError, FolderHeldError, FolderLock, apply_step
from cranecleat.files.format import UnusableFileError, read_report
from cranecleat.files.intake import Intake
from cranecleat.files.ledger import Ledger
from cranecleat.files.recover import scan_folder
from cranecleat.protocol.limits import LOG_SUMMARY_INTERVAL_US
from cranecleat.protocol.reasons import Reason

PUBLISH_RETRY_US = 500_000  # time after a failed publication until it is tried again
SLOW_PUBLICATION_US = 50_000  # a publication that takes longer is logged, as the disk then delays rounds
MAX_LOGGED_LAGS = 16  # proxies in one log line of lags, those furthest behind first
LAGGING_GRACE_DIVISOR = 2  # a proxy counts as lagging once its lag exceeds the grace of drains divided by this


class CombinedWriter:
    """The planner's writer where some proxies are served on streams and some through files.

    Bindings go to the transport that serves the proxy. All other decisions go to both transports.
    """

    def __init__(self, streams, ledger):
        self.streams, self.ledger = streams, ledger
        self.watch, self.set_timer, self.log = streams.watch, streams.set_timer, streams.log

    def set_weight(self, table, backend, weight):
        self.streams.set_weight(table, backend, weight)
        self.ledger.set_weight(table, backend, weight)

    def bind(self, proxy, table, routes, is_subset=False):
        (self.ledger if proxy in self.ledger.proxies else self.streams).bind(proxy, table, routes, is_subset)

    def withdraw(self, backend, is_withdrawn):
        self.streams.withdraw(backend, is_withdrawn)
        self.ledger.withdraw(backend, is_withdrawn)

    def set_admission(self, table, routes, level, tries):
        self.streams.set_admission(table, routes, level, tries)
        self.ledger.set_admission(table, routes, level, tries)

    def forget(self, backend):
        self.ledger.forget(backend)
        return self.streams.forget(backend)

    def request_ack(self, number):
        return {*self.streams.request_ack(number), *self.ledger.request_ack(number)}


class FilesTransport:
    """Serves proxies through one folder.

    settings: the operator's `files` section.
    report_versions: name of a report file -> the version last read, see `Disk.list_files`.
    waiting_streams: proxy -> (connection, zone, typical rate, uses_initial_table) of a stream that is open while files
    still serve the proxy.
    retry_at: nothing is published before this time, since the last publication failed.
    closed: whether the transport has ended, at shutdown or because another writer has taken the folder over.
    lagging: proxies that were lagging at the last poll.
    """

    def __init__(self, coordinator, settings, system_calls=None):
        self.coordinator, self.settings = coordinator, settings
        configuration = coordinator.configuration
        try:
            self.disk = Disk(settings.folder, settings.sync, *([system_calls] if system_calls else []))
            self.disk.prepare()
            self.lock = FolderLock(self.disk, configuration.name, int(time.time()))
            found = scan_folder(self.disk, sweep=True)
        except FolderHeldError as held:
            raise MalformedError(str(held)) from None
        except OSError as failure:
            raise MalformedError(
                f"{settings.folder}: {failure.strerror}; `folder` in the operator's file names it"
            ) from None
        self.ledger = Ledger(
            coordinator.names, configuration.routes, self.lock.fence, int(time.time()), found.generation
        )
        self.ledger.bodies = found.bodies
        self.intake = Intake(
            configuration.zones,
            {route: i for i, route in enumerate(configuration.routes)},
            configuration.proxies,
            coordinator.names,
            configuration.bootstrap.cycle,
        )
        self.selector = TransportSelector(settings.lose, settings.hold)
        self.report_versions, self.waiting_streams = {}, {}
        self.retry_at, self.closed = 0, False
        self.lagging, self.next_lag_log_at = set(), 0
        coordinator.log.info(
            "files_open",
            folder=settings.folder,
            fence=self.lock.fence,
            generation=found.generation,
            bodies=len(found.bodies),
            proxies=len(found.orders),
            swept=found.swept or None,
        )
        for path, error in found.errors:
            coordinator.log.warning("files_found", path=path, says=error)
        if found.foreign:
            coordinator.log.warning("files_foreign", names=",".join(found.foreign[:8]), count=len(found.foreign))

    # Reports

    def poll(self):
        """Reads new reports, switches transports, publishes, logs lags, and schedules the next poll."""
        if self.closed:
            return
        now = self.coordinator.clock.now()
        try:
            found = self.disk.list_files(REPORTS)
        except OSError as failure:
            self.coordinator.log_aggregated("files_unread", says=failure.strerror)
            found = []
        max_reports = self.coordinator.configuration.proxies + len(self.coordinator.configuration.zones)
        if len(found) > max_reports:
            self.coordinator.log_aggregated(
                "files_too_many", says=f"{len(found)} reports exceed the limit of {max_reports}"
            )
        versions = {}
        for name, version in sorted(found)[: 2 * max_reports]:  # bounds the work where the folder has too many files
            versions[name] = version
            if self.report_versions.get(name) != version:
                self.process_report_file(now, name)
        self.report_versions = versions
        events, ended = self.intake.remove_silent_writers(now)
        for who in ended:
            self.report_versions.pop(who, None)
            self.coordinator.log.info("files_silent", who=who)
        self.record_departures(now, events)
        self.switch_transports(now)
        self.publish()
        self.log_lags(now)
        self.coordinator.clock.call_at(now + self.settings.poll, self.poll)

    def process_report_file(self, now, name):
        """Reads one report file and passes its events to the planner.

        Departures and joins go to the selector, which decides when the planner hears of them. Attempts are always
        passed on; demand and acknowledgements only while files serve the proxy.
        """
        try:
            data = self.disk.read(REPORTS, name)
            if data is None:
                return
            report = read_report(data)
            if report.who != name:
                raise UnusableFileError(f"a report of {report.who[:40]!r}")
            events = self.intake.process_report(now, report)
        except UnusableFileError as error:
            self.coordinator.log_aggregated("files_spoilt", detail=f"{name[:40]}: {error}")
            return
        except OSError as failure:
            self.coordinator.log_aggregated("files_unread", says=failure.strerror)
            return
        proxy = self.intake.proxy_of(report.who)
        self.record_departures(now, events)
        for event in events:
            if event[0] == "proxy_joined":
                self.selector.record_files(now, proxy, True)
            elif event[0] == "attempts_reported" or (
                event[0] == "demand_reported" and self.selector.transport_of(proxy) == FILES
            ):
                self.coordinator.queue_event(event)
        if proxy is not None and self.selector.transport_of(proxy) == FILES:
            for ack_number in self.ledger.acknowledge(proxy, *report.applied, report.last_retry, now):
                self.coordinator.queue_event(("acknowledged", proxy, ack_number))

    def record_departures(self, now, events):
        """Tells the selector which proxies no longer renew their reports."""
        for event in events:
            if event[0] == "proxy_left":
                self.selector.record_files(now, event[1], False)

    # Which transport serves a proxy

    def stream_opened(self, connection, zone, typical_rate, uses_initial_table):
        """Records that a proxy's stream has opened. Returns whether the stream serves the proxy at once; if not, the
        stream waits until it has stayed open for long enough."""
        now, proxy = self.coordinator.clock.now(), connection.proxy
        if self.closed:
            return True
        self.selector.record_stream(now, proxy, True)
        if self.selector.transport_of(proxy) != FILES:
            self.selector.decide(now)
            return True
        old = self.waiting_streams.pop(proxy, None)
        if old:
            old[0].end(Reason.REPLACED)
        self.waiting_streams[proxy] = connection, zone, typical_rate, uses_initial_table
        self.coordinator.log.info("files_stream_waits", proxy=proxy)
        return False

    def stream_closed(self, connection, served):
        """Records that a proxy's stream has ended. `served` says whether it served the proxy; one that did not was
        waiting, or had been replaced by a newer one."""
        proxy = connection.proxy
        was_waiting = proxy in self.waiting_streams and self.waiting_streams[proxy][0] is connection
        if was_waiting:
            del self.waiting_streams[proxy]
        if served or was_waiting:
            self.selector.record_stream(self.coordinator.clock.now(), proxy, False)

    def switch_transports(self, now):
        """Carries out the changes of transport that are due."""
        for proxy, transport in self.selector.decide(now):
            if proxy in self.ledger.proxies:
                self.ledger.leave(proxy)
                self.coordinator.queue_event(("proxy_left", proxy))
            writer = self.intake.writers.get(f"p{proxy}")
            if transport == FILES and writer:
                self.ledger.join(proxy)
                self.coordinator.queue_event(
                    (
                        "proxy_joined",
                        proxy,
                        self.intake.zones[writer.report.zone],
                        writer.report.typical_rate,
                        writer.report.uses_initial_table,
                    )
                )
            elif transport == STREAM and proxy in self.waiting_streams:
                self.publish()  # tells the proxy to stop following files before anything is sent on its stream
                self.coordinator.join_stream(*self.waiting_streams.pop(proxy))
            self.coordinator.log.info("files_serves", proxy=proxy, by=transport or "nobody")

    # Publication

    def publish(self):
        """Writes what has changed. After a failure, everything is written again at a later call."""
        now = self.coordinator.clock.now()
        if self.closed or now < self.retry_at or not self.ledger.has_changes():
            return
        try:
            self.lock.check()
            for step in self.ledger.steps():
                apply_step(self.disk, step)
                self.ledger.step_done(step)
            for step in self.ledger.publication_done(now):
                apply_step(self.disk, step)
        except FencedError as fenced:
            self.coordinator.log.error("files_fenced", says=str(fenced))
            self.abandon_folder()
            return
        except OSError as failure:
            self.ledger.publication_failed()
            self.retry_at = now + PUBLISH_RETRY_US
            self.coordinator.log_aggregated("files_unwritten", says=failure.strerror)
        elapsed = self.coordinator.clock.now() - now
        if elapsed > SLOW_PUBLICATION_US:
            self.coordinator.log_aggregated("files_slow", detail=f"{elapsed} us")

    def abandon_folder(self):
        """Another writer has taken the folder over: the proxies served through it leave the planner, and streams that
        were waiting serve at once."""
        self.closed = True
        for proxy in list(self.ledger.proxies):
            self.ledger.leave(proxy)
            self.coordinator.queue_event(("proxy_left", proxy))
        for proxy in list(self.waiting_streams):
            self.coordinator.join_stream(*self.waiting_streams.pop(proxy))

    def log_lags(self, now):
        """Logs when a proxy begins to lag and when it has caught up. Also logs the longest lags, at most once in each
        interval of log summaries."""
        lags = {p: lag for p, lag in self.ledger.lags(now).items() if lag}
        if lags and now >= self.next_lag_log_at:
            self.next_lag_log_at = now + LOG_SUMMARY_INTERVAL_US
            longest = sorted(lags, key=lags.get, reverse=True)[:MAX_LOGGED_LAGS]
            self.coordinator.log.info(
                "files_lag", behind=len(lags), seconds=",".join(f"{p}:{lags[p] / 1e6:.2f}" for p in longest)
            )
        lagging_now = {
            p
            for p, lag in self.ledger.lags(now).items()
            if lag > self.coordinator.configuration.bootstrap.grace // LAGGING_GRACE_DIVISOR
        }
        for proxy in sorted(lagging_now - self.lagging):
            self.coordinator.log.warning("files_lagging", proxy=proxy)
        for proxy in sorted(self.lagging - lagging_now):
            self.coordinator.log.info("files_caught_up", proxy=proxy)
        self.lagging = lagging_now

    def close(self):
        self.closed = True
        self.lock.release()
