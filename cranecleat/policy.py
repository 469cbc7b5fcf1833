"""All decisions of cranecleat: adaptive multi-path waterfilling over routes and backends.

Called as `planner = Planner(bootstrap, seed)`, one an instance, then `planner.round(now, arrivals, out)`
once a batch: `arrivals` are calls in order, each a verb (a method under "What comes in") and its values;
decisions go straight into `out`. `Bootstrap` and `Writer` stand in cranecleat/interface.py.
Times are whole microseconds, ids small indices. Why it decides so: docs/design.md.
"""

import zlib
from heapq import heappop, heappush

TURN, DUE = 0, 1  # marks of the two timers: the periodic turn, and the head of the ordered due times
TARGET = 0.65  # assumed load where none is reported
GROWTH = 1.1  # of a capacity, for each recompute with clean answers
FLOOR = 0.1  # least multiplier, in even shares
CHANGED = 0.1  # a line goes out when it has moved by more than this part
ITERATIONS = 10  # of the multiplier loop
SLACK = 1.02  # backends are filled to a common level this much above the least that holds the demand
SLOW = 0.55  # answers are slow past this part of the tightest SLO time
FAILING = 0.2  # and a backend fails past this part of its tries
DRAIN = 0.85  # of the served rate: what a slow backend is given, so that its queue shortens
SETTLED = 2.5  # cycles after which a proxy that has joined is in the reports in full
SILENT = 8  # tries that must be missing, or have failed in a row, before a backend counts as not answering
ROUNDING = 0.03  # what the capped multiplier loop may leave open
PATIENCE = 3  # cycles from one drop of the fleet's capacity to the next
MEMORY = 40  # answers that an answer time rests on at most
PRIOR = 10  # answers that the average of its kind counts for
MOST_SHUT = 0.5  # part of the capacity that may be shut out on symptoms


def waterfill(demands, weights, paths, capacity):
    """Alg. 2 of the paper: rates f[k][j] of demand k on backend e, each link visited once, in ascending
    order of its first fair share. A demand's own size is a virtual link over all of its paths."""
    rates = [dict.fromkeys(path, float("inf")) for path in paths]
    links = []
    for k, path in enumerate(paths):
        total = weights[k] * sum(path.values())
        if total > 0:
            links.append((demands[k] / total, 0, k, demands[k], [(k, j) for j in path]))
    members = {}
    for k, path in enumerate(paths):
        for j in path:
            members.setdefault(j, []).append((k, j))
    for j, crossing in members.items():
        total = sum(weights[k] * paths[k][j] for k, _ in crossing)
        links.append((capacity[j] / total if total > 0 else 0.0, 1, j, capacity[j], crossing))
    for _, _, _, left, crossing in sorted(links):
        while crossing:
            total = sum(weights[k] * paths[k][j] for k, j in crossing)
            fair = max(left, 0.0) / total if total > 0 else 0.0
            elsewhere = [(k, j) for k, j in crossing if rates[k][j] < fair * weights[k] * paths[k][j]]
            if not elsewhere:
                for k, j in crossing:
                    rates[k][j] = fair * weights[k] * paths[k][j]
                break
            left -= sum(rates[k][j] for k, j in elsewhere)
            gone = set(elsewhere)
            crossing = [c for c in crossing if c not in gone]
    return rates


class Tally:
    """What the reports of one turn add up to."""

    __slots__ = ("tries", "dropped", "answered", "took")

    def __init__(self):
        self.tries = self.dropped = self.answered = self.took = 0


class Backend:
    __slots__ = ("state", "zone", "kind", "size", "started", "out", "served", "heard",
                 "tries", "dropped", "took", "calls", "seen", "shut", "back", "busy", "rate", "weight")

    def __init__(self):
        self.state, self.zone, self.kind, self.size, self.started = "gone", 0, 0, 1.0, 0
        self.out = False  # withdrawn from joined proxies
        self.forget()

    def forget(self):
        """Nothing is known of the process that runs there now."""
        self.busy = self.rate = self.weight = 0.0  # what it reports, summed with decay: cores busy, calls a second
        self.served = {}  # zone -> (answered a second, smoothed; when heard)
        self.tries = self.dropped = 0.0  # smoothed sums, for the part that fails
        self.took, self.calls = 0.0, 0.0  # answer time, and how many answers it rests on
        self.heard, self.seen = 0, 0.0  # when it last answered, and the answers of all by then
        self.shut, self.back = False, None

    def answering(self):
        return sum(rate for rate, _ in self.served.values())


class Proxy:
    __slots__ = ("zone", "typical", "since", "usage", "bound", "owed", "cost", "sent")

    def __init__(self, zone, typical, now):
        self.zone, self.typical, self.since = zone, typical, now
        self.usage = {}  # route -> (calls a second, when heard)
        self.bound = False
        self.owed = []  # (mark, lines) of messages not yet known to have arrived
        self.cost = 0  # lines that this round has put into its message
        self.sent = []  # when messages were written, within the counted span

    def calls(self):
        return sum(rate for rate, _ in self.usage.values()) if self.usage else self.typical


class Planner:
    def __init__(self, bootstrap, seed):
        self.boot, self.seed, self.draws = bootstrap, seed, 0
        self.backends, self.proxies = {}, {}
        self.tables = {}  # table -> {backend: weight as sent}
        self.levels = {}  # table -> (level, tries) as sent
        self.theta = {}  # table -> {backend: multiplier}
        self.share = [1.0] * len(bootstrap.routes)
        self.due, self.next_turn, self.mark, self.answers = [], None, 0, 0
        self.reported = None  # when the last line of a report came
        self.recompute_now = False
        self.told = Tally()
        self.fleet, self.held = None, 0.0  # calls a second that all backends can do; what they did before trouble
        self.asks = 0
        self.quickest = None  # least mean answer time of a turn: what an idle fleet takes
        self.learned = 0  # when reports last taught something
        self.width = 0.0  # size of what runs, cold ones in part
        self.dropped = 0  # when the fleet's capacity was last taken down
        self.strained = False  # the fleet is slow or failing
        self.level = 1.0  # the part of their capacity to which backends are filled

    def round(self, now, arrivals, out):
        self.now, self.out = now, out
        if self.next_turn is None:
            self.next_turn = now + self.boot.cycle
            out.wake(self.next_turn, TURN)
            if self.boot.must_ask:
                out.watch()
        for verb, *values in arrivals:
            getattr(self, verb)(*values)
        while self.due and self.due[0][0] <= now:
            heappop(self.due)[2]()
        turn = now >= self.next_turn
        if turn:
            self.next_turn = now + self.boot.cycle
            out.wake(self.next_turn, TURN)
            self.judge()
            self.learn()
        if turn or self.recompute_now:
            self.decide()
            self.push(turn)
        self.join()
        self.post()
        self.recompute_now = False

    def later(self, delay, act):
        """One ordered structure for all that is not periodic."""
        self.draws += 1
        heappush(self.due, (self.now + delay, self.draws, act))
        self.out.wake(self.now + delay, DUE)

    def chance(self):
        self.draws += 1
        return zlib.crc32(f"{self.seed}:{self.draws}".encode()) / 2**32

    # What comes in

    def woke(self, mark):
        pass

    def listed(self, how, entries):
        if how == "failed":
            # The list service is jammed or the watch broke: ask again, later each time.
            self.asks += 1
            delay = min(self.boot.ask_within // 4, self.boot.cycle * 2 ** min(self.asks, 4) // 4)
            self.later(int(delay * (0.5 + self.chance())), lambda: self.out.watch())
            return
        self.asks = 0
        present = set()
        for b, state, zone, kind, size, started in entries:
            backend = self.backends.setdefault(b, Backend())
            present.add(b)
            if state == "gone":
                backend.state = "gone"
                continue
            if backend.state == "gone" or started != backend.started:
                backend.forget()
                backend.heard, backend.seen = self.now, self.answers
            backend.state, backend.zone, backend.kind = state, zone, kind
            backend.size, backend.started = max(size, 0.01), started
        if how != "changes":
            for b, backend in self.backends.items():
                if b not in present:
                    backend.state = "gone"
        self.recompute_now = True

    def joined(self, p, zone, typical):
        self.left(p)
        self.rebase(zone, typical)
        self.proxies[p] = Proxy(zone, typical, self.now)

    def left(self, p):
        proxy = self.proxies.pop(p, None)
        if proxy:
            self.rebase(proxy.zone, 0.0, -proxy.calls())

    def rebase(self, zone, more, less=0.0):
        """What is known of a backend is the part that the joined proxies use. It moves with them at once: served
        rates that lag behind would make arrivals from a dead coordinator look like a surge of traffic."""
        zoned = sum(p.calls() for p in self.proxies.values() if p.zone == zone)
        whole = sum(p.calls() for p in self.proxies.values())
        if less:
            zoned, whole, more = zoned - less, whole - less, less
        if zoned <= 0 or whole + more <= 0:
            return
        if self.fleet is not None:
            self.fleet *= (whole + more) / whole
            self.held *= (whole + more) / whole
        for x in self.backends.values():
            if zone in x.served:
                rate, at = x.served[zone]
                x.served[zone] = (rate * max(zoned + more, 0.0) / zoned, at)

    def met(self, b, zone, tries, dropped, took, covers, load):
        backend = self.backends.get(b)
        if backend is None or backend.state == "gone" or tries <= 0 or covers <= 0:
            return
        answered = max(tries - dropped, 0)
        keep = 0.5 ** (covers / self.boot.cycle)
        rate, at = backend.served.get(zone, (None, 0))
        now_rate = answered * 1e6 / covers
        backend.served[zone] = (now_rate if rate is None else keep * rate + (1 - keep) * now_rate, self.now)
        self.answers += answered
        backend.tries, backend.dropped = keep * backend.tries + tries, keep * backend.dropped + dropped
        if answered:
            backend.took = (backend.took * backend.calls + took * answered) / (backend.calls + answered)
            backend.calls = min(backend.calls + answered, MEMORY)
            backend.heard, backend.seen = self.now, self.answers
            if backend.shut:
                backend.shut, backend.back = False, self.now
        if load and load[0] > 0.02:
            # Served rate over reported load, as a ratio of sums: a nearly idle backend's report says little.
            hold = keep ** 0.25
            backend.busy = hold * backend.busy + load[0] * self.warmth(backend)
            backend.rate = hold * backend.rate + load[1]
            backend.weight = hold * backend.weight + 1.0
        self.reported = self.now
        if not backend.shut:
            self.told.tries += tries
            self.told.dropped += dropped if answered else 0  # one that never answers is judged by itself
            self.told.answered += answered
            self.told.took += answered * took

    def came(self, p, route, calls, covers):
        proxy = self.proxies.get(p)
        if proxy is None or covers <= 0 or not 0 <= route < len(self.boot.routes):
            return
        keep = 0.2 ** (covers / self.boot.cycle)
        rate, _ = proxy.usage.get(route, (proxy.typical * self.mix()[route], 0))
        proxy.usage[route] = (keep * rate + (1 - keep) * calls * 1e6 / covers, self.now)
        self.reported = self.now

    def applied(self, p, number):
        proxy = self.proxies.get(p)
        if proxy:
            for i, (mark, _) in enumerate(proxy.owed):
                if mark == number:
                    del proxy.owed[: i + 1]
                    break

    def probed(self, b, answered, took):
        pass

    def told(self, peer, text):
        pass

    def given(self, table, mine):
        pass

    def held(self, table, b, weight):
        pass

    def heat(self, table, route, calls, covers):
        pass

    # Health, by symptom

    def usable(self, route, zone=None):
        """Running backends that a route may go to (from a proxy's zone, where it may not leave it)."""
        r = self.boot.routes[route]
        return [b for b, x in self.backends.items() if x.state == "running"
                and (r.kinds is None or x.kind in r.kinds) and (r.zones is None or x.zone in r.zones)
                and (not r.own_zone or zone is None or x.zone == zone)]

    def judge(self):
        """Shuts out what never answers, whether its tries fail or are not heard of at all: by the answers of the
        others it would have given so many that chance cannot account for none."""
        if self.reported is None or self.now - self.reported > 1.5 * self.boot.cycle:
            return
        running = {b: x for b, x in self.backends.items() if x.state == "running"}
        parts = self.parts(running)
        room = MOST_SHUT * sum(x.size for x in running.values()) - sum(x.size for x in running.values() if x.shut)
        for b, x in running.items():
            missing = (self.answers - x.seen) * parts.get(b, 0.0)
            if not x.shut and missing > SILENT and self.now - x.heard > 2.2 * self.boot.cycle and x.size <= room:
                x.shut, x.back = True, None
                room -= x.size
                self.out.log(f"shut out {b}: no answer")

    def parts(self, running):
        """The part of all tries that each backend should see, by the tables as sent."""
        demands = self.demands()
        parts = {}
        for table, lines in self.tables.items():
            total = sum(w for b, w in lines.items() if b in running)
            for b, w in lines.items():
                if b in running and total > 0:
                    parts[b] = parts.get(b, 0.0) + demands[self.route_of(table)] * w / total
        whole = sum(parts.values())
        return {b: p / whole for b, p in parts.items()} if whole > 0 else {}

    # Learned capacity and demand

    def warmth(self, x):
        """The part of a backend's capacity that can be counted on while it is cold or just back."""
        part = 1.0
        if x.started and self.now - x.started < self.boot.cold:
            age = max(self.now - x.started, 0) / self.boot.cold
            part = self.boot.cold_from + (1 - self.boot.cold_from) * age
        if x.back is not None and self.now - x.back < 5 * self.boot.cycle:
            part = min(part, 0.2 + 0.8 * (self.now - x.back) / (5 * self.boot.cycle))
        return part

    def learn(self):
        """Fleet capacity from what was served. A turn without reports teaches nothing."""
        told, self.told = self.told, Tally()
        calls = sum(p.calls() for p in self.proxies.values())
        new = sum(p.calls() for p in self.proxies.values() if self.now - p.since < SETTLED * self.boot.cycle)
        if not told.tries or new > 0.25 * calls:
            # Proxies that have just come are in the demand before they are in the reports, so that a dead
            # coordinator's proxies arriving would look like a collapse of what is served.
            return
        running = [x for x in self.backends.values() if x.state == "running"]
        for x in running:
            # No try, no line: a zone that others were heard from in this turn has met nothing there.
            for zone, (rate, at) in x.served.items():
                if at <= self.learned:
                    x.served[zone] = (rate / 2, at)
        self.learned = self.now
        served = sum(x.answering() for x in running)
        took = told.took / told.answered if told.answered else 0
        self.quickest = min(self.quickest or took, took or self.quickest or 0)
        slow = took > max(SLOW * min(r.slo for r in self.boot.routes), 1.3 * self.quickest)
        if slow or told.dropped > FAILING * told.tries:
            # One drop, then none until its effect can have been reported: what is served while calls are turned
            # away says nothing of what could be.
            if not self.strained:
                self.held = (self.fleet or served) * self.level
            if not self.strained or self.now - self.dropped >= PATIENCE * self.boot.cycle:
                fleet = self.fleet or served
                self.fleet, self.dropped = min(fleet, max(DRAIN * served, fleet * self.level / 2)), self.now
            # What is served now, though, can be done.
            self.strained, self.fleet = True, max(self.fleet, DRAIN * served)
        elif self.fleet is None:
            self.fleet = served / TARGET
        else:
            # Half of the way back to what was carried before the trouble, which may have been a passing one
            # (a burst, a slowdown of all); from there on by the tenth, as beyond lies unknown ground.
            self.strained = False
            self.fleet = max(self.fleet * GROWTH, (self.fleet + self.held) / 2)

    def mix(self):
        """The part of each route in the calls of the proxies that have been heard."""
        heard = [sum(p.usage.get(r, (0.0, 0))[0] for p in self.proxies.values()) for r in range(len(self.boot.routes))]
        whole = sum(heard)
        return [h / whole if whole else 1 / len(heard) for h in heard]

    def demands(self):
        """Calls a second by route. A gap in the reports leaves a figure as it was."""
        totals = [0.0] * len(self.boot.routes)
        mute = 0.0
        for proxy in self.proxies.values():
            if not proxy.usage:
                mute += proxy.typical
            for route, (rate, at) in proxy.usage.items():
                totals[route] += rate
        heard = sum(totals)
        if mute:
            for route in range(len(totals)):
                totals[route] += mute * (totals[route] / heard if heard else 1 / len(totals))
        return totals

    def stated(self, x):
        """Capacity by what a backend reports, less what other coordinators' proxies take of it."""
        whole = x.rate / x.busy
        if self.boot.coordinators > 1:
            whole = max(whole - max(x.rate / x.weight - x.answering(), 0.0), x.answering())
        return max(whole, 0.01)

    def capacities(self):
        """What each running backend can take now: its part of what the fleet can. The parts are the reported
        capacities, else size over answer time, which is the load that a call brings; unheard ones count as average
        for their size and kind."""
        running = {b: x for b, x in self.backends.items() if x.state == "running"}
        part = {}
        for kind in {x.kind for x in running.values()}:
            alike = [x for x in running.values() if x.kind == kind]
            heard = [x for x in alike if x.calls] or [x for x in running.values() if x.calls]
            took = sum(x.took * x.calls for x in heard) / sum(x.calls for x in heard) if heard else 1.0
            stated = [x for x in alike if x.busy] or [x for x in running.values() if x.busy]
            unit = sum(self.stated(x) for x in stated) / sum(x.size for x in stated) if stated else 0.0
            for b, x in running.items():
                if x.kind == kind and stated:
                    part[b] = self.stated(x) if x.busy else unit * x.size
                elif x.kind == kind:
                    part[b] = x.size * (x.calls + PRIOR) / (x.calls * x.took + PRIOR * took)
        whole = sum(part[b] * self.warmth(x) for b, x in running.items()) or 1.0
        # What the fleet can do goes with what runs and how warm it is, from this moment on.
        width = sum(x.size * self.warmth(x) for x in running.values())
        if self.width and self.fleet is not None:
            self.fleet *= width / self.width
            self.held *= width / self.width
        self.width = width
        if stated:
            self.fleet = min(self.fleet, whole) if self.fleet and self.held else whole  # not grown beyond the reports
        fleet = self.fleet or sum(self.demands()) / TARGET or 1.0
        capacity = {b: fleet * part[b] * self.warmth(x) / whole for b, x in running.items()}
        for b, x in running.items():
            if x.shut:
                capacity[b] = 0.0
            elif x.dropped > FAILING * x.tries:
                capacity[b] = min(capacity[b], DRAIN * x.answering() / self.level)
        return capacity

    # The waterfill decides rates, shares and weights

    def route_of(self, table):
        return table % len(self.boot.routes)

    def layout(self):
        """One shared table a route; a route that may not leave its zone has one for each zone."""
        n = len(self.boot.routes)
        for route, r in enumerate(self.boot.routes):
            for zone in range(self.boot.zones) if r.own_zone else [None]:
                yield (route if zone is None else route + n * (1 + zone)), route, zone

    def decide(self):
        demands, capacity = self.demands(), self.capacities()
        if not capacity:
            return
        ranks = sorted({r.importance for r in self.boot.routes})
        tables, wants, weights = [], [], []
        for table, route, zone in self.layout():
            paths = self.usable(route, zone)
            if not paths:
                continue
            old = self.theta.get(table, {})
            whole = sum(capacity[b] for b in paths)
            fresh = {b: capacity[b] / whole if whole > 0 else 1 / len(paths) for b in paths}
            self.theta[table] = self.floored({b: old.get(b, fresh[b]) for b in paths})
            zones = [p.typical for p in self.proxies.values() if zone is None or p.zone == zone]
            part = sum(zones) / max(sum(p.typical for p in self.proxies.values()), 1e-9)
            want = demands[route] * (1.0 if zone is None else part)
            if want > 0:
                tables.append(table)
                wants.append(want)
                weights.append(want * 8.0 ** ranks.index(self.boot.routes[route].importance))
        if not tables:
            return
        fit = self.fit(tables, wants, capacity)
        if fit > 1.0 and not self.strained and not self.held:
            # Served over 0.65 is what was asked of a backend, not what it can do. As long as nothing is slow or
            # failing, more demand (another coordinator's proxies, a start after a crash) is not turned away.
            capacity = {b: c * fit for b, c in capacity.items()}
            self.fleet, fit = sum(capacity.values()), 1.0
        grants = wants
        if fit > 1.0:
            # Too much for all: what each route may have, the important ones first. Its own multipliers are left
            # alone, as a route that gets all it asks for would keep stale ones.
            rates, _ = self.fill(tables, wants, weights, capacity)
            grants = [sum(rate.values()) for rate in rates]
            fit = self.fit(tables, grants, capacity)
        # Where it goes: backends filled to a common level just above what it takes, so that each one binds and
        # the multipliers move under light load as well.
        level = self.level = min(1.0, fit)
        rates, thetas = self.fill(tables, grants, grants, {b: c * level for b, c in capacity.items()})
        self.theta.update(zip(tables, thetas))
        # Full while a usable backend is under capacity: the waterfill grants less than is wanted only where every
        # backend that the route may use binds.
        for route in range(len(demands)):
            pairs = [(w, g) for t, w, g in zip(tables, wants, grants) if self.route_of(t) == route]
            if pairs:
                part = sum(g for _, g in pairs) / sum(w for w, _ in pairs)
                self.share[route] = 1.0 if part > 1.0 - ROUNDING else part

    def fit(self, tables, wants, capacity):
        """The part of the capacity that the wants take, with a little slack for the multiplier loop to close on."""
        reach = [max(sum(capacity[b] for b in self.theta[t]), 1e-9) for t in tables]
        whole = max(sum(capacity.values()), 1e-9)
        return SLACK * max(max(w / c for w, c in zip(wants, reach)), sum(wants) / whole)

    def fill(self, tables, wants, weights, capacity):
        """The multiplier loop around Alg. 2, from the multipliers carried over."""
        thetas = [self.theta[t] for t in tables]
        for _ in range(ITERATIONS):
            rates = waterfill(wants, weights, thetas, capacity)
            thetas = [self.floored({b: f / sum(rate.values()) for b, f in rate.items()})
                      if sum(rate.values()) > 0 else theta for rate, theta in zip(rates, thetas)]
        return rates, thetas

    @staticmethod
    def floored(theta):
        least = FLOOR / len(theta)
        raised = {b: max(t, least) for b, t in theta.items()}
        total = sum(raised.values())
        return {b: t / total for b, t in raised.items()}

    # What goes out: tables, levels, withdrawals, bindings

    def tries(self, route):
        return 1

    def quota(self, route):
        """The admitted share, or the same number of calls a second for every proxy that yields it."""
        share = self.share[route]
        if self.boot.admission != "per_second":
            return round(share, 3)
        mix = self.demands()
        part = mix[route] / sum(mix) if sum(mix) else 0.0
        rates = sorted(p.usage.get(route, (0.0, 0))[0] if p.usage else p.typical * part
                       for p in self.proxies.values())
        if share >= 1.0 or not rates:
            return 1e6
        left, quota = share * sum(rates), 0.0
        for i, rate in enumerate(rates):
            quota = left / (len(rates) - i)
            if rate >= quota:
                break
            left -= rate
        return round(quota, 3)

    def users(self, table):
        zone = table // len(self.boot.routes) - 1
        return [p for p in self.proxies.values() if p.bound and (zone < 0 or p.zone == zone)]

    def put(self, table, b, weight):
        lines = self.tables.setdefault(table, {})
        if weight > 0:
            lines[b] = weight
        else:
            lines.pop(b, None)
        self.out.line(table, b, weight)
        for p in self.users(table):
            p.cost += 1

    def set_out(self, b, out):
        self.backends[b].out = out
        self.out.withdraw(b, out)
        for p in self.proxies.values():
            p.cost += 1

    def waiting(self):
        return sum(lines for p in self.proxies.values() for _, lines in p.owed) + sum(
            p.cost + self.boot.head + 1 for p in self.proxies.values() if p.cost)

    def push(self, turn):
        changes = []
        for table, route, zone in self.layout():
            theta, lines = self.theta.get(table, {}), self.tables.get(table, {})
            for b, t in theta.items():
                weight = float(f"{t * len(theta):.3g}")
                old = lines.get(b, 0.0)
                if abs(weight - old) > CHANGED * old:
                    changes.append((0 if old == 0.0 else 1, -abs(weight - old), table, b, weight))
            for b in lines:
                if b not in theta and self.backends[b].state != "running":
                    changes.append((2, 0.0, table, b, 0.0))
        changes.sort()
        for order, _, table, b, weight in changes:
            if order and (not turn or self.waiting() > self.boot.backlog / 2):
                continue
            self.put(table, b, weight)
        for b, x in self.backends.items():
            if x.out and x.state == "running":
                self.set_out(b, False)
            elif not x.out and x.state != "running":
                self.set_out(b, True)
        for table, route, zone in self.layout():
            quota, tries = self.quota(route), self.tries(route)
            old = self.levels.get(table)
            if old is None or tries != old[1] or abs(quota - old[0]) > 0.03 * old[0] or (quota == 1) != (old[0] == 1):
                if old is None or turn:
                    self.levels[table] = (quota, tries)
                    self.out.admit(table, (route,), quota, tries)
                    for p in self.users(table):
                        p.cost += 1

    def join(self):
        for p, proxy in self.proxies.items():
            if proxy.bound or not self.tables:
                continue
            cost = 0
            for table, route, zone in self.layout():
                if zone is None or zone == proxy.zone:
                    cost += 2 + len(self.tables.get(table, {})) + sum(
                        1 for b in self.tables.get(table, {}) if self.backends[b].out)
            if self.waiting() + cost + self.boot.head > 0.9 * self.boot.backlog:
                break
            for table, route, zone in self.layout():
                if zone is None or zone == proxy.zone:
                    self.out.bind(p, table, (route,))
            proxy.bound = True
            proxy.cost += cost

    def post(self):
        """Accounts for the messages of this round; a mark tells when they have arrived."""
        written = [p for p in self.proxies.values() if p.cost]
        if written:
            self.mark = (self.mark + 1) % 65536
            self.out.mark(self.mark)
            for p in written:
                p.owed.append((self.mark, p.cost + self.boot.head + 1))
                p.cost = 0
