"""The service's side of the transport: polls what comes back, publishes what is decided, says what fails. Decides
nothing.

Proxies that are served through files are joined to the planner like those on streams; `Both` is the planner's writer
then.
"""

import time

from cranecleat.decoding import MalformedError
from cranecleat.files.choice import FILES, STREAM, Choice
from cranecleat.files.disk import REPORTS, Disk, FencedError, FolderHeldError, FolderLock, apply_step
from cranecleat.files.format import UnusableFileError, read_report
from cranecleat.files.intake import Intake
from cranecleat.files.ledger import Ledger
from cranecleat.files.recover import scan_folder
from cranecleat.protocol.limits import LOG_SUMMARY_INTERVAL_US
from cranecleat.protocol.reasons import Reason

AGAIN = 500_000  # microseconds until a publication that failed is tried again
SLOW = 50_000  # of one publication: the disk holds rounds up
MOST_TOLD = 16  # proxies that one line of lags names, the worst first
LAGGED = 2  # a proxy is said to lag after the grace of drains by this


class CombinedWriter:
    """The planner's writer where some proxies are on streams and some on files."""

    def __init__(self, streams, ledger):
        self.streams, self.ledger = streams, ledger
        self.watch, self.set_timer, self.log = streams.watch, streams.set_timer, streams.log

    def set_weight(self, table, backend, weight):
        self.streams.set_weight(table, backend, weight)
        self.ledger.set_weight(table, backend, weight)

    def bind(self, proxy, table, routes, is_subset=False):
        (self.ledger if proxy in self.ledger.proxies else self.streams).bind(proxy, table, routes, is_subset)

    def withdraw(self, backend, out):
        self.streams.withdraw(backend, out)
        self.ledger.withdraw(backend, out)

    def set_admission(self, table, routes, level, tries):
        self.streams.set_admission(table, routes, level, tries)
        self.ledger.set_admission(table, routes, level, tries)

    def forget(self, backend):
        self.ledger.forget(backend)
        self.streams.forget(backend)

    def request_ack(self, number):
        return {*self.streams.request_ack(number), *self.ledger.request_ack(number)}


class FilesTransport:
    def __init__(self, coordinator, section, calls=None):
        self.coordinator, self.section = coordinator, section
        configuration = coordinator.configuration
        try:
            self.disk = Disk(section.folder, section.sync, *([calls] if calls else []))
            self.disk.prepare()
            self.lock = FolderLock(self.disk, configuration.name, int(time.time()))
            found = scan_folder(self.disk, sweep=True)
        except FolderHeldError as taken:
            raise MalformedError(str(taken)) from None
        except OSError as failure:
            raise MalformedError(
                f"{section.folder}: {failure.strerror}; `folder` in the operator's file names it"
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
        self.choice = Choice(section.lose, section.hold)
        self.versions, self.waiting_streams, self.retry_at, self.closed = {}, {}, 0, False
        self.lagging, self.next_lags = set(), 0
        coordinator.log.info(
            "files_open",
            folder=section.folder,
            fence=self.lock.fence,
            generation=found.generation,
            bodies=len(found.bodies),
            proxies=len(found.orders),
            swept=found.swept or None,
        )
        for path, wrong in found.wrong:
            coordinator.log.warning("files_found", path=path, says=wrong)
        if found.foreign:
            coordinator.log.warning("files_foreign", names=",".join(found.foreign[:8]), count=len(found.foreign))

    # What comes back

    def poll(self):
        if self.closed:
            return
        now = self.coordinator.clock.now()
        try:
            names = self.disk.list_files(REPORTS)
        except OSError as failure:
            self.coordinator.log_aggregated("files_unread", says=failure.strerror)
            names = []
        most = self.coordinator.configuration.proxies + len(self.coordinator.configuration.zones)
        if len(names) > most:
            self.coordinator.log_aggregated("files_too_many", says=f"{len(names)} reports, {most} are the most")
        standing = {}
        for called, version in sorted(names)[: 2 * most]:
            standing[called] = version
            if self.versions.get(called) != version:
                self.take(now, called)
        self.versions = standing
        calls, ended = self.intake.silent(now)
        for who in ended:
            self.versions.pop(who, None)
            self.coordinator.log.info("files_silent", who=who)
        self.left(now, calls)
        self.switch(now)
        self.publish()
        self.tell_lags(now)
        self.coordinator.clock.call_at(now + self.section.poll, self.poll)

    def take(self, now, called):
        try:
            data = self.disk.read(REPORTS, called)
            if data is None:
                return
            report = read_report(data)
            if report.who != called:
                raise UnusableFileError(f"a report of {report.who[:40]!r}")
            calls = self.intake.take(now, report)
        except UnusableFileError as wrong:
            self.coordinator.log_aggregated("files_spoilt", detail=f"{called[:40]}: {wrong}")
            return
        except OSError as failure:
            self.coordinator.log_aggregated("files_unread", says=failure.strerror)
            return
        proxy = self.intake.known(report.who)
        self.left(now, calls)
        for call in calls:
            if call[0] == "proxy_joined":
                self.choice.files(now, proxy, True)
            elif call[0] == "attempts_reported" or call[0] == "demand_reported" and self.choice.serves(proxy) == FILES:
                self.coordinator.queue_event(call)
        if proxy is not None and self.choice.serves(proxy) == FILES:
            for mark in self.ledger.acknowledge(proxy, *report.applied, report.again, now):
                self.coordinator.queue_event(("acknowledged", proxy, mark))

    def left(self, now, calls):
        for call in calls:
            if call[0] == "proxy_left":
                self.choice.files(now, call[1], False)

    # Which transport

    def stream_opened(self, connection, zone, typical, standing):
        """Whether the stream of a proxy serves it at once; if not, it waits until it has stood for long enough."""
        now, proxy = self.coordinator.clock.now(), connection.proxy
        if self.closed:
            return True
        self.choice.stream(now, proxy, True)
        if self.choice.serves(proxy) != FILES:
            self.choice.decide(now)
            return True
        old = self.waiting_streams.pop(proxy, None)
        if old:
            old[0].end(Reason.REPLACED)
        self.waiting_streams[proxy] = connection, zone, typical, standing
        self.coordinator.log.info("files_stream_waits", proxy=proxy)
        return False

    def stream_closed(self, connection, served):
        """A stream has ended: the one that served its proxy, one that stood aside, or one that was replaced."""
        proxy = connection.proxy
        aside = proxy in self.waiting_streams and self.waiting_streams[proxy][0] is connection
        if aside:
            del self.waiting_streams[proxy]
        if served or aside:
            self.choice.stream(self.coordinator.clock.now(), proxy, False)

    def switch(self, now):
        for proxy, serves in self.choice.decide(now):
            if proxy in self.ledger.proxies:
                self.ledger.leave(proxy)
                self.coordinator.queue_event(("proxy_left", proxy))
            party = self.intake.parties.get(f"p{proxy}")
            if serves == FILES and party:
                self.ledger.join(proxy)
                self.coordinator.queue_event(
                    (
                        "proxy_joined",
                        proxy,
                        self.intake.zones[party.report.zone],
                        party.report.typical,
                        party.report.standing,
                        0,
                    )
                )
            elif serves == STREAM and proxy in self.waiting_streams:
                self.publish()  # that it follows files no more stands before anything comes on its stream
                self.coordinator.join_stream(*self.waiting_streams.pop(proxy))
            self.coordinator.log.info("files_serves", proxy=proxy, by=serves or "nobody")

    # What goes out

    def publish(self):
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
            self.give_up()
            return
        except OSError as failure:
            self.ledger.publication_failed()
            self.retry_at = now + AGAIN
            self.coordinator.log_aggregated("files_unwritten", says=failure.strerror)
        took = self.coordinator.clock.now() - now
        if took > SLOW:
            self.coordinator.log_aggregated("files_slow", detail=f"{took} us")

    def give_up(self):
        """The folder is another writer's: whom it served has left here, and streams that stood aside serve at once."""
        self.closed = True
        for proxy in list(self.ledger.proxies):
            self.ledger.leave(proxy)
            self.coordinator.queue_event(("proxy_left", proxy))
        for proxy in list(self.waiting_streams):
            self.coordinator.join_stream(*self.waiting_streams.pop(proxy))

    def tell_lags(self, now):
        """A reader that lags is said once, and once when it does not any more; lags as figures every five seconds."""
        lags = {p: lag for p, lag in self.ledger.lags(now).items() if lag}
        if lags and now >= self.next_lags:
            self.next_lags = now + LOG_SUMMARY_INTERVAL_US
            worst = sorted(lags, key=lags.get, reverse=True)[:MOST_TOLD]
            self.coordinator.log.info(
                "files_lag", behind=len(lags), seconds=",".join(f"{p}:{lags[p] / 1e6:.2f}" for p in worst)
            )
        late = {
            p
            for p, lag in self.ledger.lags(now).items()
            if lag > self.coordinator.configuration.bootstrap.grace // LAGGED
        }
        for proxy in sorted(late - self.lagging):
            self.coordinator.log.warning("files_lagging", proxy=proxy)
        for proxy in sorted(self.lagging - late):
            self.coordinator.log.info("files_caught_up", proxy=proxy)
        self.lagging = late

    def close(self):
        self.closed = True
        self.lock.release()
