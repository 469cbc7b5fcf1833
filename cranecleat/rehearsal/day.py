"""One day: coordinators with the real `Planner` and, where it is on, the real gossip `Agent`, over simulated stand-ins.

`Day(scenario).run()` returns figures; the same scenario is the same day, to the call. All figures are of simulated
servers.
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
from cranecleat.rehearsal.network import Network, Token, TokenChecker
from cranecleat.rehearsal.world import SECOND, Draws, World

MILLI = SECOND // 1000
WAY = 1 * MILLI  # one way between a proxy and a backend
ROUND = 20 * MILLI  # what arrives within that is one round
GOSSIP = 50 * MILLI  # from one step of an agent to the next
EPOCH = 1_700_000_000  # Unix seconds at the start of each day


@dataclass(frozen=True, slots=True)
class Work:
    """One route's calls."""

    importance: float
    slo: int
    limit: int  # after which the client gives up
    work: float  # seconds, mean; drawn from a log-normal distribution
    part: float  # of all calls
    mutating: bool


@dataclass(slots=True)
class Scenario:
    seed: int
    coordinators: int
    length: int
    proxies: int
    backends: int
    calls: float  # a second
    works: tuple = (
        Work(3.0, 600 * MILLI, 2 * SECOND, 0.10, 0.7, False),
        Work(5.0, 1200 * MILLI, 4 * SECOND, 0.15, 0.3, True),
    )
    zones: int = 3
    warm_up: int = 10 * SECOND  # left out of the service
    cold: int = 8 * SECOND
    cold_from: float = 0.2
    grace: int = 2 * SECOND
    late: tuple = (0.4, 1.0)  # seconds that reports are late
    lines: int = 60  # report lines a second that a coordinator is given, the oldest first
    repeats: int = 1  # of a client, after a wait
    stated: int = 0  # proxies of the deployment, as the settings state them; from some number on the fleet is parted
    gossip: bool = False
    liars: int = 0
    lost: float = 0.0
    doubled: float = 0.0
    files: bool = False  # all proxies through files from the start; `over` and `back` change it in service
    faults: list = field(default_factory=list)  # (when, name of a method of Day, values)


class Call:
    __slots__ = ("route", "zone", "at", "tries", "given_up", "ran", "over")

    def __init__(self, route, zone, at):
        self.route, self.zone, self.at = route, zone, at
        self.tries, self.given_up, self.ran, self.over = 0, False, 0, False


class Coordinator:
    def __init__(self, day, number):
        self.day, self.number, self.name = day, number, f"n{number}"
        self.arrivals, self.waiting, self.due = [], False, {}  # line of a report -> since when, and its sums
        self.ids = {b.index: f"s-{b.index}" for b in day.fleet}
        self.planner = Planner(day.boot, f"{day.s.seed}:{number}")
        self.channel = Channel(day.world, 4000.0, day.boot.message_overhead, day.boot.backlog, self.told)
        self.folder = Folder(day.world, self, tuple(f"r{i}" for i in range(len(day.s.works))), self.told, number)
        self.writer = CombinedWriter(self.channel, self.folder)
        self.record = day.record(number) if day.record else None  # takes a round's calls and decisions
        if self.record:
            self.writer = self.record.writer(self.writer)
        self.agent = self.bridge = None
        self.shut = {}  # backend -> when it was shut out
        self.told(("backends_listed", "whole", [self.entry(b) for b in day.fleet]))

    def entry(self, b):
        return b.index, b.listed, b.zone, 0, b.cores * 0.5, b.started

    def told(self, call):
        self.arrivals.append(call)
        if not self.waiting:
            self.waiting = True
            self.day.world.after(ROUND, self.round)

    def round(self):
        self.waiting, calls, self.arrivals = False, self.arrivals, []
        if self.record:
            self.record.round(self.day.world.now, calls)
        self.planner.round(self.day.world.now, calls, self.writer)
        self.channel.flush()
        self.folder.flush()
        self.day.audit.channel(self.channel, self.name)
        shut = {b for b, x in self.planner.backends.items() if x.ejected}
        for b in shut - self.shut.keys():
            self.shut[b] = self.day.world.now
            self.day.shut_out(self, b)
        for b in self.shut.keys() - shut:
            del self.shut[b]

    def joined(self):
        return [*self.channel.joined.values(), *self.folder.joined.values()]

    def report(self):
        """Sums since each line was last given: late, at most `lines` a cycle, those that waited longest first."""
        day, now = self.day, self.day.world.now
        for proxy in self.joined():
            for route, calls in proxy.came.items():
                self.due.setdefault(("demand_reported", proxy.number, route), [now - SECOND, 0])[1] += calls
            for b, met in proxy.met.items():
                known = self.due.setdefault(("attempts_reported", b, proxy.zone), [now - SECOND, 0, 0, 0])
                known[1:] = [old + new for old, new in zip(known[1:], met, strict=True)]
            proxy.came, proxy.met = dict.fromkeys(range(len(day.s.works)), 0), {}
        late = day.lateness() * SECOND
        ranks = {line: (due[0], day.coin()) for line, due in self.due.items()}
        for line in sorted(ranks, key=ranks.get)[: day.s.lines]:
            since, *sums = self.due.pop(line)
            if line[0] == "demand_reported":
                call = (*line, sums[0], now - since)
            else:
                tries, lost, took = sums
                call = (*line, tries, lost, took // max(tries - lost, 1), now - since, None)
            day.world.after(late, self.told, call)
        day.world.after(SECOND, self.report)


class Liar(Agent):
    """Says of every backend that it does not answer."""

    everybody = ()

    def observe(self, now, misses):
        super().observe(now, dict.fromkeys(self.everybody, 255.0))


class Day:
    """`record`: where given, called with a coordinator's number, makes what takes its calls and decisions."""

    def __init__(self, scenario, record=None):
        self.s, self.record = scenario, record
        s = scenario
        self.world, self.audit = World(s.seed), Audit(s, self)
        self.boot = Bootstrap(
            routes=tuple(Route(w.importance, w.slo, False, None, None) for w in s.works),
            zones=s.zones,
            coordinators=s.coordinators,
            must_watch=False,
            watch_timeout=10 * SECOND,
            admission="fraction",
            cycle=SECOND,
            backlog=4000,
            channel_lines_per_second=4000.0,
            message_overhead=6.0,
            message_limit=0,
            message_limit_window=10 * SECOND,
            grace=s.grace,
            warm_up_time=s.cold,
            cold_start_capacity=s.cold_from,
            proxies=s.stated,
        )
        make = self.world.chance("fleet")
        self.fleet = [
            Backend(self.world, i, i % s.zones, int(make.choice([2, 4])), make.uniform(0.8, 1.1), s.cold, s.cold_from)
            for i in range(s.backends)
        ]
        rest = self.world.chance("calls")
        self.coin = Draws(lambda n: rest.random(n))
        self.gap = Draws(lambda n: rest.exponential(SECOND / s.calls, n))
        self.spread = Draws(lambda n: rest.lognormal(-0.125, 0.5, n))  # of mean 1
        late = self.world.chance("reports")
        self.lateness = Draws(lambda n: late.uniform(*s.late, n))
        self.earned = self.asked = 0.0
        self.calls = self.refused = 0
        self.took, self.false = {}, []
        self.network = Network(self.world, s.lost, s.doubled)
        self.coordinators = [Coordinator(self, number) for number in range(s.coordinators)]
        self.proxies = [self.proxy(number) for number in range(s.proxies)]
        if s.gossip:
            self.wire_up()
        self.swallowing = {}  # backend -> since when

    def proxy(self, number):
        chance = self.world.chance(f"proxy {number}")
        mine = chance.choice(len(self.fleet), min(5, len(self.fleet)), replace=False)
        return Proxy(number, number % self.s.zones, {int(b): 1.0 for b in mine})

    def wire_up(self):
        members = [Member(c.name, (c.name, 1), (Token(c.name).public,)) for c in self.coordinators]
        for c in self.coordinators:
            roster = Roster("rehearsal", c.name, members)
            kind = Liar if c.number >= self.s.coordinators - self.s.liars else Agent
            c.bridge = Bridge(c.planner, self)
            c.agent = kind(
                roster,
                Token(c.name),
                f"{self.s.seed}:{c.name}",
                EPOCH,
                self.world.now,
                checker=TokenChecker(roster),
                rate=DEFAULT_BYTES_PER_SECOND,
            )
            c.address = (c.name, 1)
            self.network.ends[c.address] = partial(self.datagram, c)
            self.world.after(GOSSIP * (1 + c.number / self.s.coordinators), self.gossip, c)
            c.next_told = 0

    ids = property(lambda self: self.coordinators[0].ids)  # as `Bridge` asks for names

    def unix(self):
        return EPOCH + self.world.now / SECOND

    def datagram(self, c, data, sender):
        self.network.send(c.address, c.agent.received(self.world.now, self.unix(), data, sender))

    def gossip(self, c):
        now = self.world.now
        if isinstance(c.agent, Liar):
            c.agent.everybody = [c.bridge.key(b) for b in c.planner.backends]
        c.agent.observe(now, c.bridge.missing_answers())
        self.network.send(c.address, c.agent.tick(now, self.unix()))
        pooled = c.agent.pooled(now)
        if (pooled or c.bridge.reported) and now >= c.next_told:
            c.next_told = now + SECOND
            for call in c.bridge.events(pooled):
                c.told(call)
        self.world.after(GOSSIP, self.gossip, c)

    # Faults

    def swallow(self, b):
        self.fleet[b].swallows, self.swallowing[b] = True, self.world.now
        self.fleet[b].queue.clear()

    def answer(self, b):
        self.fleet[b].swallows = False
        self.fleet[b].busy = 0
        self.swallowing.pop(b, None)

    def kill(self, b):
        self.fleet[b].die()
        self.list(b, "gone", 1.0)

    def start(self, b):
        self.fleet[b].start()
        self.list(b, "running", 0.5)

    def drain(self, b):
        self.fleet[b].state = "draining"
        self.list(b, "draining", 0.2)

    def list(self, b, state, late):
        """Discovery tells every coordinator, each `late` seconds and a little later."""
        self.fleet[b].listed = state
        for c in self.coordinators:
            self.world.after((late + 0.05 * self.coin()) * SECOND, self.hear, c, b, state)

    def hear(self, c, b, state):
        if self.fleet[b].listed == state:
            self.audit.told(c.name, b, state)
            c.told(("backends_listed", "changes", [c.entry(self.fleet[b])]))

    def part(self, numbers):
        self.network.apart = (frozenset((f"n{n}", 1) for n in numbers),)

    def heal(self):
        self.network.apart = ()

    def shut_out(self, c, b):
        since, x = self.swallowing.get(b), self.fleet[b]
        if since is not None:
            self.took.setdefault(b, {})[c.name] = (self.world.now - since) / SECOND
        elif x.state == "running" and not x.fallen and self.world.now >= self.s.warm_up:
            self.false.append((self.world.now, c.name, b))

    def over(self):
        """All streams end for good: files take over once the choice of transport has waited."""
        for c in self.coordinators:
            for proxy in list(c.channel.joined.values()):
                c.channel.leave(proxy.number)
                c.told(("proxy_left", proxy.number))
                self.world.after(STREAM_LOST_AFTER_US + SECOND // 10 * self.coin(), self.through_files, c, proxy, False)

    def back(self):
        """All streams stand again and have for long enough."""
        for c in self.coordinators:
            for proxy in list(c.folder.joined.values()):
                c.folder.leave(proxy.number)
                c.told(("proxy_left", proxy.number))
                self.world.after(SECOND // 10 * self.coin(), self.through_stream, c, proxy, False)

    def through_files(self, c, proxy, standing):
        c.folder.join(proxy)
        c.told(("proxy_joined", proxy.number, proxy.zone, self.s.calls / len(self.proxies), standing, 0))

    def through_stream(self, c, proxy, standing):
        """As on the socket, what it may still shut out is let back with its first binding."""
        proxy.out &= {b for b, x in c.planner.backends.items() if x.withdrawn}
        c.channel.joined[proxy.number] = proxy
        c.told(("proxy_joined", proxy.number, proxy.zone, self.s.calls / len(self.proxies), standing, 0))

    # Calls

    def arrive(self):
        self.world.after(self.gap(), self.arrive)
        route, point = 0, self.coin()
        while route < len(self.s.works) - 1 and point >= self.s.works[route].part:
            point -= self.s.works[route].part
            route += 1
        call, counted = Call(route, int(self.coin() * self.s.zones), self.world.now), self.world.now >= self.s.warm_up
        self.calls += counted
        self.asked += self.s.works[route].importance * counted
        self.attempt(call)

    def attempt(self, call):
        call.tries += 1
        start = call.tries, self.world.now
        near = [p for p in self.proxies if p.zone == call.zone] or self.proxies
        proxy = near[int(self.coin() * len(near))]
        proxy.came[call.route] = proxy.came.get(call.route, 0) + 1
        if self.coin() >= proxy.levels.get(call.route, 1.0):
            self.refused += 1
            return self.again(call)
        self.world.after(self.s.works[call.route].limit, self.limit, call, start, proxy, self.send(call, proxy, start))

    def send(self, call, proxy, start, without=()):
        """To a backend by the table; to another only on proof that the first never ran it. Returns where to."""
        b = proxy.pick(call.route, self.coin(), without)
        if b is None:
            self.again(call)
            return None
        self.audit.sent(proxy, b)
        work = self.s.works[call.route].work * self.spread()
        once = Call(call.route, call.zone, call.at)  # this try, whose waiting part its client's leaving drops

        def ran(_):
            call.ran += call.tries == start[0]
            self.audit.ran(call, self.s.works[call.route].mutating)
            self.world.after(WAY, self.answered, call, start, proxy, b)

        if not self.fleet[b].take(once, work, ran):
            proxy.met.setdefault(b, [0, 0, 0])
            proxy.met[b][0] += 1
            proxy.met[b][1] += 1
            if not without:
                return self.send(call, proxy, start, (b,))
            self.again(call)
            return None
        return b, once

    def answered(self, call, start, proxy, b):
        if call.over or call.tries != start[0]:
            return
        call.over = True
        took = self.world.now - start[1] + WAY
        known = proxy.met.setdefault(b, [0, 0, 0])
        known[0], known[2] = known[0] + 1, known[2] + took
        if self.world.now - call.at <= self.s.works[call.route].slo and call.at >= self.s.warm_up:
            self.earned += self.s.works[call.route].importance

    def limit(self, call, start, proxy, sent):
        if call.over or call.tries != start[0] or sent is None:
            return
        b, once = sent
        once.given_up = True
        known = proxy.met.setdefault(b, [0, 0, 0])
        known[0], known[1] = known[0] + 1, known[1] + 1
        self.again(call)

    def again(self, call):
        """The client hears at once that its call failed, waits, and may come again."""
        if call.tries <= self.s.repeats and not call.over:
            call.ran = 0  # a client's own repeat is a new call to us
            self.world.after((0.2 + 0.3 * self.coin()) * SECOND, self.attempt, call)
        else:
            call.over = True

    # The day

    def run(self):
        for p in self.proxies:
            c = self.coordinators[p.number % len(self.coordinators)]
            p.home = c
            (self.through_files if self.s.files else self.through_stream)(c, p, True)
        for c in self.coordinators:
            self.world.after(SECOND * (1 + c.number / len(self.coordinators)), c.report)
        for when, what, *values in self.s.faults:
            self.world.at(when, getattr(self, what), *values)
        self.world.after(0, self.arrive)
        self.world.after(SECOND, self.audit.look)
        self.world.run(self.s.length)
        honest = {c.name for c in self.coordinators[: len(self.coordinators) - self.s.liars]}
        took = [
            sum(v for n, v in each.items() if n in honest) / max(len(honest & each.keys()), 1)
            for each in self.took.values()
        ]
        return {
            "seed": self.s.seed,
            "service": self.earned / max(self.asked, 1e-9),
            "calls": self.calls,
            "refused": self.refused,
            "shut_after": took,
            "shut_at": [len(each) for each in self.took.values()],
            "false_shut": len(self.false),
            "broken": self.audit.broken(),
            "bytes_a_second": round(self.network.bytes / (self.s.length / SECOND) / len(self.coordinators)),
        }


def surge(seed, coordinators=2, length=60 * SECOND, files=False, over=False, **more):
    """A day at 0.8 of the fleet's work with a release in it: backends drain, go and come back cold, one after another.
    `over`: streams end at 25 s and stand again at 42 s."""
    backends, mean = 24, 0.7 * 0.10 + 0.3 * 0.15
    faults = [(25 * SECOND, "over"), (42 * SECOND, "back")] if over else []
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
        calls=0.8 * backends * 3 * 0.95 / mean,
        lines=200,
        faults=faults,
        **more,
    )


def swallowing(seed, coordinators, length=60 * SECOND, gossip=False, liars=0, lost=0.0, load=0.55, **more):
    """A day on which one backend swallows calls for good and one for 12 s, one dies and comes back cold, one drains.
    `load`: the part of the fleet's work that is asked for."""
    backends = 24
    mean = 0.7 * 0.10 + 0.3 * 0.15
    return Scenario(
        seed=seed,
        coordinators=coordinators,
        length=length,
        proxies=max(3 * coordinators, 18),
        backends=backends,
        calls=load * backends * 3 * 0.95 / mean,
        gossip=gossip,
        liars=liars,
        lost=lost,
        faults=[
            (16 * SECOND, "swallow", 3),
            (22 * SECOND, "swallow", 7),
            (34 * SECOND, "answer", 7),
            (25 * SECOND, "kill", 11),
            (30 * SECOND, "start", 11),
            (38 * SECOND, "drain", 5),
        ],
        **more,
    )
