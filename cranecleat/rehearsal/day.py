"""A simulated day: coordinators with the real `Planner` and, where it is on, the real gossip `Agent`, over simulated
clients, proxies, backends, discovery and network.

`Day(scenario).run()` returns the results; the same scenario gives the same day, down to the single call. All results
are of simulated servers.
"""

from dataclasses import dataclass, field
from functools import partial

from cranecleat.files.choice import STREAM_LOST_AFTER_US
from cranecleat.files.front import CombinedWriter
from cranecleat.gossip.agent import DEFAULT_BYTES_PER_SECOND, Agent
from cranecleat.gossip.bridge import Bridge
from cranecleat.gossip.roster import Member, Roster
from cranecleat.interface import Bootstrap, Route
from cranecleat.policy import Planner
from cranecleat.rehearsal.audit import Audit
from cranecleat.rehearsal.edge import Channel, Folder, Proxy
from cranecleat.rehearsal.fleet import Backend
from cranecleat.rehearsal.network import HashChecker, HashSigner, Network
from cranecleat.rehearsal.world import SECOND, BufferedDraws, Simulation

MILLISECOND = SECOND // 1000
ONE_WAY_DELAY_US = 1 * MILLISECOND  # between a proxy and a backend
ROUND_DELAY_US = 20 * MILLISECOND  # from the first event that waits to the round that takes all of them
GOSSIP_STEP_US = 50 * MILLISECOND  # from one step of an agent to the next
START_UNIX_SECONDS = 1_700_000_000  # Unix time at the start of each day


@dataclass(frozen=True, slots=True)
class RouteLoad:
    """The calls of one route. Times are microseconds unless they are said to be seconds."""

    importance: float
    slo: int
    timeout: int  # after which the client gives up a try
    mean_work: float  # seconds; the work of a call is drawn from a log-normal distribution
    share: float  # of all calls
    mutating: bool


@dataclass(slots=True)
class Scenario:
    """What a day is made of. Times are microseconds unless they are said to be seconds."""

    seed: int
    coordinators: int
    length: int
    proxies: int
    backends: int
    calls_per_second: float
    routes: tuple = (
        RouteLoad(3.0, 600 * MILLISECOND, 2 * SECOND, 0.10, 0.7, False),
        RouteLoad(5.0, 1200 * MILLISECOND, 4 * SECOND, 0.15, 0.3, True),
    )
    zones: int = 3
    measured_from: int = 10 * SECOND  # calls that start earlier are not counted in the result `service`
    warm_up_time: int = 8 * SECOND
    cold_start_capacity: float = 0.2
    grace: int = 2 * SECOND
    report_delay: tuple = (0.4, 1.0)  # seconds: the shortest and the longest delay of a report
    report_lines_per_second: int = 60  # that each coordinator receives; lines that have waited longest come first
    client_retries: int = 1  # how often a client retries a failed call, each time after a wait
    stated_proxies: int = 0  # number of proxies in the settings; a large deployment is divided into subsets
    gossip: bool = False
    liars: int = 0  # coordinators that claim that every backend is dead
    lost: float = 0.0  # share of the gossip datagrams that are lost
    doubled: float = 0.0  # share of the gossip datagrams that are sent twice
    files: bool = False  # whether proxies start on files; `end_streams` and `restore_streams` move them during the day
    faults: list = field(default_factory=list)  # (time, name of a method of Day, its arguments)


class Call:
    """A client's call over all its tries. A separate object of this class stands for one try in a backend's queue."""

    __slots__ = ("route", "zone", "started_at", "tries", "abandoned", "executions", "finished")

    def __init__(self, route, zone, started_at):
        self.route, self.zone, self.started_at = route, zone, started_at
        self.tries = 0
        self.abandoned = False
        self.executions = 0
        self.finished = False


class Coordinator:
    """The real planner with a simulated channel and folder, and an agent where gossip is on."""

    def __init__(self, day, number):
        self.day, self.number, self.name = day, number, f"n{number}"
        self.events = []  # for the next round
        self.round_scheduled = False
        self.unreported = {}  # key of a report line -> [since when, sums ...]
        self.ids = {b.index: f"s-{b.index}" for b in day.fleet}
        self.planner = Planner(day.bootstrap, f"{day.scenario.seed}:{number}")
        self.channel = Channel(
            day.simulation, 4000.0, day.bootstrap.message_overhead, day.bootstrap.backlog, self.queue_event
        )
        routes = tuple(f"r{i}" for i in range(len(day.scenario.routes)))
        self.folder = Folder(day.simulation, self, routes, self.queue_event, number)
        self.writer = CombinedWriter(self.channel, self.folder)
        self.recorder = day.make_recorder(number) if day.make_recorder else None
        if self.recorder:
            self.writer = self.recorder.wrap_writer(self.writer)
        self.agent = self.bridge = None
        self.ejected_at = {}  # backend -> when it was ejected
        self.queue_event(("backends_listed", "whole", [self.list_entry(b) for b in day.fleet]))

    def list_entry(self, backend):
        """The backend's entry in a list of discovery, as in the event `backends_listed`."""
        return (backend.index, backend.listed_state, backend.zone, 0, backend.cores * 0.5, backend.started_at)

    def queue_event(self, event):
        """Queues an event for the next round, and schedules the round."""
        self.events.append(event)
        if not self.round_scheduled:
            self.round_scheduled = True
            self.day.simulation.call_after(ROUND_DELAY_US, self.run_round)

    def run_round(self):
        self.round_scheduled = False
        events = self.events
        self.events = []
        if self.recorder:
            self.recorder.begin_round(self.day.simulation.now, events)
        self.planner.round(self.day.simulation.now, events, self.writer)
        self.channel.flush()
        self.folder.flush()
        self.day.audit.check_channel(self.channel, self.name)
        ejected = {b for b, backend in self.planner.backends.items() if backend.ejected}
        for b in ejected - self.ejected_at.keys():
            self.ejected_at[b] = self.day.simulation.now
            self.day.record_ejection(self, b)
        for b in self.ejected_at.keys() - ejected:
            del self.ejected_at[b]

    def joined_proxies(self):
        return [*self.channel.joined.values(), *self.folder.joined.values()]

    def report(self):
        """Sends the planner the sums since each line was last reported.

        They come late, and at most `report_lines_per_second` lines a cycle; those that have waited longest come first.
        """
        day, now = self.day, self.day.simulation.now
        for proxy in self.joined_proxies():
            for route, calls in proxy.calls_by_route.items():
                self.unreported.setdefault(("demand_reported", proxy.number, route), [now - SECOND, 0])[1] += calls
            for b, counts in proxy.tries_by_backend.items():
                sums = self.unreported.setdefault(("attempts_reported", b, proxy.zone), [now - SECOND, 0, 0, 0])
                sums[1:] = [old + new for old, new in zip(sums[1:], counts, strict=True)]
            proxy.calls_by_route = dict.fromkeys(range(len(day.scenario.routes)), 0)
            proxy.tries_by_backend = {}
        delay = day.draw_report_delay() * SECOND
        ranks = {line: (sums[0], day.draw_uniform()) for line, sums in self.unreported.items()}
        for line in sorted(ranks, key=ranks.get)[: day.scenario.report_lines_per_second]:
            since, *sums = self.unreported.pop(line)
            if line[0] == "demand_reported":
                event = (*line, sums[0], now - since)
            else:
                tries, unanswered, answer_time = sums
                event = (*line, tries, unanswered, answer_time // max(tries - unanswered, 1), now - since, None)
            day.simulation.call_after(delay, self.queue_event, event)
        day.simulation.call_after(SECOND, self.report)


class LyingAgent(Agent):
    """Claims that no backend answers."""

    claimed_backends = ()

    def observe(self, now, missing_answers):
        super().observe(now, dict.fromkeys(self.claimed_backends, 255.0))


class Day:
    """One run of a scenario. In the methods, `b` is the index of a backend.

    `make_recorder(coordinator's number)`, where given, makes the `Recorder` of its events and decisions.
    """

    def __init__(self, scenario, make_recorder=None):
        self.scenario, self.make_recorder = scenario, make_recorder
        self.simulation, self.audit = Simulation(scenario.seed), Audit(scenario, self)
        self.bootstrap = Bootstrap(
            routes=tuple(Route(load.importance, load.slo, False, None, None) for load in scenario.routes),
            zones=scenario.zones,
            coordinators=scenario.coordinators,
            must_watch=False,
            watch_timeout=10 * SECOND,
            admission="fraction",
            cycle=SECOND,
            backlog=4000,
            channel_lines_per_second=4000.0,
            message_overhead=6.0,
            message_limit=0,
            message_limit_window=10 * SECOND,
            grace=scenario.grace,
            warm_up_time=scenario.warm_up_time,
            cold_start_capacity=scenario.cold_start_capacity,
            proxies=scenario.stated_proxies,
        )
        fleet_random = self.simulation.random_generator("fleet")
        self.fleet = [
            Backend(
                self.simulation,
                i,
                i % scenario.zones,
                int(fleet_random.choice([2, 4])),
                fleet_random.uniform(0.8, 1.1),
                scenario.warm_up_time,
                scenario.cold_start_capacity,
            )
            for i in range(scenario.backends)
        ]
        call_random = self.simulation.random_generator("calls")
        self.draw_uniform = BufferedDraws(lambda n: call_random.random(n))
        self.draw_call_interval = BufferedDraws(
            lambda n: call_random.exponential(SECOND / scenario.calls_per_second, n)
        )
        self.draw_work_factor = BufferedDraws(lambda n: call_random.lognormal(-0.125, 0.5, n))  # mean 1
        report_random = self.simulation.random_generator("reports")
        self.draw_report_delay = BufferedDraws(lambda n: report_random.uniform(*scenario.report_delay, n))
        self.served_importance = self.offered_importance = 0.0
        self.call_count = self.refused_count = 0
        self.ejection_times = {}  # unresponsive backend -> {coordinator's name: seconds until it was ejected there}
        self.false_ejections = []  # (time, coordinator's name, backend)
        self.network = Network(self.simulation, scenario.lost, scenario.doubled)
        self.coordinators = [Coordinator(self, number) for number in range(scenario.coordinators)]
        self.proxies = [self.make_proxy(number) for number in range(scenario.proxies)]
        if scenario.gossip:
            self.start_gossip()
        self.unresponsive_since = {}  # backend -> time

    def make_proxy(self, number):
        random = self.simulation.random_generator(f"proxy {number}")
        drawn = random.choice(len(self.fleet), min(5, len(self.fleet)), replace=False)
        return Proxy(number, number % self.scenario.zones, {int(b): 1.0 for b in drawn})

    def start_gossip(self):
        members = [
            Member(coordinator.name, (coordinator.name, 1), (HashSigner(coordinator.name).public,))
            for coordinator in self.coordinators
        ]
        for coordinator in self.coordinators:
            roster = Roster("rehearsal", coordinator.name, members)
            agent_class = (
                LyingAgent if coordinator.number >= self.scenario.coordinators - self.scenario.liars else Agent
            )
            coordinator.bridge = Bridge(coordinator.planner, self)
            coordinator.agent = agent_class(
                roster,
                HashSigner(coordinator.name),
                f"{self.scenario.seed}:{coordinator.name}",
                START_UNIX_SECONDS,
                self.simulation.now,
                checker=HashChecker(roster),
                rate=DEFAULT_BYTES_PER_SECOND,
            )
            coordinator.address = (coordinator.name, 1)
            self.network.receivers[coordinator.address] = partial(self.receive_datagram, coordinator)
            first_step = GOSSIP_STEP_US * (1 + coordinator.number / self.scenario.coordinators)
            self.simulation.call_after(first_step, self.step_gossip, coordinator)
            coordinator.next_peer_events_at = 0

    ids = property(lambda self: self.coordinators[0].ids)  # backends' ids by index, for `Bridge`

    def unix_time(self):
        return START_UNIX_SECONDS + self.simulation.now / SECOND

    def receive_datagram(self, coordinator, data, sender):
        self.network.send(
            coordinator.address, coordinator.agent.received(self.simulation.now, self.unix_time(), data, sender)
        )

    def step_gossip(self, coordinator):
        now = self.simulation.now
        if isinstance(coordinator.agent, LyingAgent):
            coordinator.agent.claimed_backends = [coordinator.bridge.key(b) for b in coordinator.planner.backends]
        coordinator.agent.observe(now, coordinator.bridge.missing_answers())
        self.network.send(coordinator.address, coordinator.agent.tick(now, self.unix_time()))
        pooled = coordinator.agent.pooled(now)
        if (pooled or coordinator.bridge.reported) and now >= coordinator.next_peer_events_at:
            coordinator.next_peer_events_at = now + SECOND
            for event in coordinator.bridge.events(pooled):
                coordinator.queue_event(event)
        self.simulation.call_after(GOSSIP_STEP_US, self.step_gossip, coordinator)

    # Faults

    def stop_answering(self, b):
        """The backend goes on accepting calls and answers none."""
        self.fleet[b].unresponsive, self.unresponsive_since[b] = True, self.simulation.now
        self.fleet[b].queue.clear()

    def resume_answering(self, b):
        self.fleet[b].unresponsive = False
        self.fleet[b].busy_cores = 0
        self.unresponsive_since.pop(b, None)

    def kill(self, b):
        self.fleet[b].kill()
        self.update_listing(b, "gone", 1.0)

    def start(self, b):
        self.fleet[b].restart()
        self.update_listing(b, "running", 0.5)

    def drain(self, b):
        self.fleet[b].state = "draining"
        self.update_listing(b, "draining", 0.2)

    def update_listing(self, b, state, delay):
        """Discovery tells each coordinator of the state after `delay` seconds and up to 0.05 s more."""
        self.fleet[b].listed_state = state
        for coordinator in self.coordinators:
            self.simulation.call_after(
                (delay + 0.05 * self.draw_uniform()) * SECOND, self.receive_listing, coordinator, b, state
            )

    def receive_listing(self, coordinator, b, state):
        if self.fleet[b].listed_state == state:
            self.audit.state_listed(coordinator.name, b, state)
            coordinator.queue_event(("backends_listed", "changes", [coordinator.list_entry(self.fleet[b])]))

    def partition(self, numbers):
        """Cuts these coordinators off from the others."""
        self.network.partitions = (frozenset((f"n{n}", 1) for n in numbers),)

    def heal(self):
        self.network.partitions = ()

    def record_ejection(self, coordinator, b):
        """Records that a coordinator ejected a backend: how long after it stopped answering, or that the ejection was
        false."""
        since, backend = self.unresponsive_since.get(b), self.fleet[b]
        if since is not None:
            self.ejection_times.setdefault(b, {})[coordinator.name] = (self.simulation.now - since) / SECOND
        elif backend.state == "running" and not backend.crashed and self.simulation.now >= self.scenario.measured_from:
            self.false_ejections.append((self.simulation.now, coordinator.name, b))

    def end_streams(self):
        """All streams end for good: proxies change to files once a stream has been lost for long enough."""
        for coordinator in self.coordinators:
            for proxy in list(coordinator.channel.joined.values()):
                coordinator.channel.leave(proxy.number)
                coordinator.queue_event(("proxy_left", proxy.number))
                delay = STREAM_LOST_AFTER_US + SECOND // 10 * self.draw_uniform()
                self.simulation.call_after(delay, self.join_through_files, coordinator, proxy, False)

    def restore_streams(self):
        """All streams are up again, and have been for long enough: proxies change back to them."""
        for coordinator in self.coordinators:
            for proxy in list(coordinator.folder.joined.values()):
                coordinator.folder.leave(proxy.number)
                coordinator.queue_event(("proxy_left", proxy.number))
                delay = SECOND // 10 * self.draw_uniform()
                self.simulation.call_after(delay, self.join_through_stream, coordinator, proxy, False)

    def join_through_files(self, coordinator, proxy, uses_initial_table):
        coordinator.folder.join(proxy)
        rate = self.scenario.calls_per_second / len(self.proxies)
        coordinator.queue_event(("proxy_joined", proxy.number, proxy.zone, rate, uses_initial_table, 0))

    def join_through_stream(self, coordinator, proxy, uses_initial_table):
        """As on a real stream, the withdrawals that the proxy may still hold and that are not in force are lifted."""
        proxy.withdrawn &= {b for b, backend in coordinator.planner.backends.items() if backend.withdrawn}
        coordinator.channel.joined[proxy.number] = proxy
        rate = self.scenario.calls_per_second / len(self.proxies)
        coordinator.queue_event(("proxy_joined", proxy.number, proxy.zone, rate, uses_initial_table, 0))

    # Calls

    def start_call(self):
        self.simulation.call_after(self.draw_call_interval(), self.start_call)
        route, point = 0, self.draw_uniform()
        while route < len(self.scenario.routes) - 1 and point >= self.scenario.routes[route].share:
            point -= self.scenario.routes[route].share
            route += 1
        call = Call(route, int(self.draw_uniform() * self.scenario.zones), self.simulation.now)
        is_measured = self.simulation.now >= self.scenario.measured_from
        self.call_count += is_measured
        self.offered_importance += self.scenario.routes[route].importance * is_measured
        self.try_call(call)

    def try_call(self, call):
        call.tries += 1
        this_try = call.tries, self.simulation.now  # its number and start
        near = [p for p in self.proxies if p.zone == call.zone] or self.proxies
        proxy = near[int(self.draw_uniform() * len(near))]
        proxy.calls_by_route[call.route] = proxy.calls_by_route.get(call.route, 0) + 1
        if self.draw_uniform() >= proxy.levels.get(call.route, 1.0):
            self.refused_count += 1
            return self.fail_try(call)
        timeout = self.scenario.routes[call.route].timeout
        sent = self.send_try(call, proxy, this_try)
        self.simulation.call_after(timeout, self.expire_try, call, this_try, proxy, sent)

    def send_try(self, call, proxy, this_try, excluded=()):
        """Sends the try to a backend of the proxy's table that is not in `excluded`.

        The proxy sends it to a second backend only if the first one did not accept it, which proves that it did not run
        there. Returns the backend and the request there, or None where no backend accepted it.
        """
        b = proxy.pick(call.route, self.draw_uniform(), excluded)
        if b is None:
            self.fail_try(call)
            return None
        self.audit.try_sent(proxy, b)
        work = self.scenario.routes[call.route].mean_work * self.draw_work_factor()
        request = Call(call.route, call.zone, call.started_at)  # this try; abandoned if the client gives it up

        def executed(_):
            call.executions += call.tries == this_try[0]  # a try that the client has given up does not count
            self.audit.call_executed(call, self.scenario.routes[call.route].mutating)
            self.simulation.call_after(ONE_WAY_DELAY_US, self.receive_answer, call, this_try, proxy, b)

        if not self.fleet[b].accept(request, work, executed):
            proxy.tries_by_backend.setdefault(b, [0, 0, 0])
            proxy.tries_by_backend[b][0] += 1
            proxy.tries_by_backend[b][1] += 1
            if not excluded:
                return self.send_try(call, proxy, this_try, (b,))
            self.fail_try(call)
            return None
        return b, request

    def receive_answer(self, call, this_try, proxy, b):
        if call.finished or call.tries != this_try[0]:
            return
        call.finished = True
        answer_time = self.simulation.now - this_try[1] + ONE_WAY_DELAY_US
        counts = proxy.tries_by_backend.setdefault(b, [0, 0, 0])
        counts[0], counts[2] = counts[0] + 1, counts[2] + answer_time
        route = self.scenario.routes[call.route]
        if self.simulation.now - call.started_at <= route.slo and call.started_at >= self.scenario.measured_from:
            self.served_importance += route.importance

    def expire_try(self, call, this_try, proxy, sent):
        if call.finished or call.tries != this_try[0] or sent is None:
            return
        b, request = sent
        request.abandoned = True
        counts = proxy.tries_by_backend.setdefault(b, [0, 0, 0])
        counts[0], counts[1] = counts[0] + 1, counts[1] + 1
        self.fail_try(call)

    def fail_try(self, call):
        """The client learns at once that its call failed, waits, and retries while it has retries left."""
        if call.tries <= self.scenario.client_retries and not call.finished:
            call.executions = 0  # A client's own retry is a new call to the proxies.
            self.simulation.call_after((0.2 + 0.3 * self.draw_uniform()) * SECOND, self.try_call, call)
        else:
            call.finished = True

    # The day

    def run(self):
        for p in self.proxies:
            coordinator = self.coordinators[p.number % len(self.coordinators)]
            p.coordinator = coordinator
            (self.join_through_files if self.scenario.files else self.join_through_stream)(coordinator, p, True)
        for coordinator in self.coordinators:
            self.simulation.call_after(SECOND * (1 + coordinator.number / len(self.coordinators)), coordinator.report)
        for when, method, *values in self.scenario.faults:
            self.simulation.call_at(when, getattr(self, method), *values)
        self.simulation.call_after(0, self.start_call)
        self.simulation.call_after(SECOND, self.audit.check_periodically)
        self.simulation.run(self.scenario.length)
        honest = {coordinator.name for coordinator in self.coordinators[: len(self.coordinators) - self.scenario.liars]}
        mean_ejection_times = [
            sum(seconds for name, seconds in times.items() if name in honest) / max(len(honest & times.keys()), 1)
            for times in self.ejection_times.values()
        ]
        return {
            "seed": self.scenario.seed,
            "service": self.served_importance / max(self.offered_importance, 1e-9),
            "calls": self.call_count,
            "refused": self.refused_count,
            "shut_after": mean_ejection_times,
            "shut_at": [len(times) for times in self.ejection_times.values()],
            "false_shut": len(self.false_ejections),
            "broken": self.audit.broken_rules(),
            "bytes_a_second": round(self.network.sent_bytes / (self.scenario.length / SECOND) / len(self.coordinators)),
        }


def rolling_release(seed, coordinators=2, length=60 * SECOND, files=False, streams_fail=False, **more):
    """A day at 0.8 of the fleet's capacity with a release: backends drain, go and come back cold, one after another.

    With `streams_fail`, streams end at 25 s and are up again at 42 s.
    """
    backends, mean_work = 24, 0.7 * 0.10 + 0.3 * 0.15
    faults = [(25 * SECOND, "end_streams"), (42 * SECOND, "restore_streams")] if streams_fail else []
    for i in range(6):
        at = (18 + 4 * i) * SECOND
        faults += [(at, "drain", 2 * i), (at + 3 * SECOND, "kill", 2 * i), (at + 6 * SECOND, "start", 2 * i)]
    return Scenario(
        seed=seed,
        coordinators=coordinators,
        length=length,
        proxies=24,
        backends=backends,
        files=files,
        calls_per_second=0.8 * backends * 3 * 0.95 / mean_work,
        report_lines_per_second=200,
        faults=faults,
        **more,
    )


def unresponsive_backends(seed, coordinators, length=60 * SECOND, gossip=False, liars=0, lost=0.0, load=0.55, **more):
    """A day on which one backend stops answering for good and one for 12 s, one dies and comes back cold, one drains.

    `load` is the work that is asked for, as a part of the fleet's capacity.
    """
    backends = 24
    mean_work = 0.7 * 0.10 + 0.3 * 0.15
    return Scenario(
        seed=seed,
        coordinators=coordinators,
        length=length,
        proxies=max(3 * coordinators, 18),
        backends=backends,
        calls_per_second=load * backends * 3 * 0.95 / mean_work,
        gossip=gossip,
        liars=liars,
        lost=lost,
        faults=[
            (16 * SECOND, "stop_answering", 3),
            (22 * SECOND, "stop_answering", 7),
            (34 * SECOND, "resume_answering", 7),
            (25 * SECOND, "kill", 11),
            (30 * SECOND, "start", 11),
            (38 * SECOND, "drain", 5),
        ],
        **more,
    )
