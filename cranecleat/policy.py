"""All decisions of cranecleat: adaptive multi-path waterfilling over routes and backends.

Called as `planner = Planner(bootstrap, seed)`, one an instance, then `planner.round(now, arrivals, out)`
once a batch: `arrivals` are calls in order, each a verb (a method under "What comes in") and its values;
decisions go straight into `out`. `Bootstrap` and `Writer` stand in cranecleat/interface.py.
Times are whole microseconds, ids small indices, rates calls a second. Why: docs/design/planner.md."""

import zlib
from collections import Counter
from heapq import heapify, heappop, heappush
from itertools import islice

from cranecleat.bookkeeping.channel import Channel
from cranecleat.bookkeeping.demand import Demand, equal_limit
from cranecleat.bookkeeping.known import Backend, Proxy
from cranecleat.bookkeeping.layout import Layout, sum_by_table
from cranecleat.bookkeeping.users import Users

TURN, DUE = 0, 1  # marks of the two timers: the periodic turn, and the head of the ordered due times
TARGET = 0.65  # assumed load where none is reported
GROWTH, ENOUGH = 1.1, 0.25  # of the fleet's capacity, a clean recompute, where more than this part is used
FLOOR, ITERATIONS = 0.1, 10  # least multiplier, in even shares; rounds of the multiplier loop at most
STILL = 1e-9  # in even shares: the loop has closed where no multiplier moves by more
CHANGED, FINE = 0.1, 0.03  # parts by which a line, and a level (or the capped loop), may be off
SLACK = 1.02  # backends are filled to a common level this much above the least that holds the demand
PRECEDENCE = 8.0  # weight of a route over the next less important one
SLOW = 0.55  # the fleet is slow past this part of the tightest SLO time
ENOUGH_TRIES = 4  # under which losses of a backend are chance
DRAIN = 0.85  # of the served rate: the least that a slow fleet is given, so that queues shorten
AGAIN = 0.4  # part of the refused calls that come again
PATIENCE, SETTLED = 2, 1.5  # cycles, and a spell: from one drop to the next; until who joined is reported
NEWCOMERS = 0.25  # part of the calls that may come from proxies that have not settled
SILENT, QUIET = 8, 3  # answers missing, and spells of reports without one, from who never answers
SIGN, ONCE = 1, 1  # what of these has to be seen here, whatever peers miss
MOST_SHUT = 0.7  # part of the fleet's size that may be shut out on symptoms
MEMORY, PRIOR = 40, 10  # answers that an answer time rests on at most, and that its kind's average counts for
IDLE, FULL = 0.02, 1e6  # a reported load that says nothing of the capacity; calls a second that limit nothing
PROOF = 1  # rule 2: a further try, whatever the effect, only on proof that the first never ran
# Parts of the backlog: cheap orders, weights, bindings, skewed tables beside them, levels, new lines, crowds, the rest.
AT_ONCE, WEIGHTS, BINDINGS, BESIDE, LEVELS, NEW, CROWD, OUT = 0.1, 0.3, 0.33, 0.36, 0.75, 0.5, 0.95, 0.98
AT_RISK, REFUGE = 0.2, 12  # part of the known backends gone, backends in the table for proxies that wait
GATHER, LATELY, REST = 0.12, 5, 20  # graces: to gather withdrawals; said to who comes; what went is forgotten
# Sections: shares of the proxies to serve at most; of a grace, to bind these all; lines of a table; its least part.
REACH, BOUND_IN, FEWEST, MOST, THIN = 5, 0.7, 8, 30, 0.5
COLD_MOST, FORGET = 1 / 2, 0.99  # of rule 4's multiple of what was served by size, for a cold one; kept a turn
MANY, OVER = 0.25, 2.0  # part of the fleet that is cold in a release; of what was served by size, believed then
TIPPING = 2.0  # rule 4: a cold backend's share in force, over the decided one, that cannot wait
# Order of lines: of bare tables, of skewed ones, of what leaves, missing ones, others, others of what is withdrawn.
BARE, SKEWED, LEAVING, MISSING, ORDINARY, WITHDRAWN = range(6)


def waterfill(demands, weights, paths, capacity):
    """Alg. 2 of the paper: rates f[k][e] of demand k on backend e, each link visited once, in ascending
    order of its first fair share. A demand's own size is a virtual link over all of its paths."""
    rates = [dict.fromkeys(path, float("inf")) for path in paths]
    gamma = [{e: weights[k] * theta for e, theta in path.items()} for k, path in enumerate(paths)]
    links, through = [(demands[k], [(k, e) for e in path]) for k, path in enumerate(paths)], {}
    for k, e in [pair for _, crossing in links for pair in crossing]:
        through.setdefault(e, []).append((k, e))
    links += [(capacity[e], crossing) for e, crossing in through.items()]
    fair = [left / max(sum(gamma[k][e] for k, e in crossing), 1e-12) for left, crossing in links]
    for link in sorted(range(len(links)), key=fair.__getitem__):
        left, crossing = links[link]
        while crossing:
            share = max(left, 0.0) / max(sum(gamma[k][e] for k, e in crossing), 1e-12)
            elsewhere = [(k, e) for k, e in crossing if rates[k][e] < share * gamma[k][e]]
            if not elsewhere:
                for k, e in crossing:
                    rates[k][e] = share * gamma[k][e]
                break
            left -= sum(rates[k][e] for k, e in elsewhere)
            crossing = [(k, e) for k, e in crossing if rates[k][e] >= share * gamma[k][e]]
    return rates


class Planner:
    def __init__(self, bootstrap, seed):
        self.bootstrap, self.seed, self.draws, self.head = (
            bootstrap,
            seed,
            0,
            bootstrap.message_overhead + 1,
        )  # with its mark
        self.backends, self.proxies, self.paces = {}, {}, {}  # zone -> factor of what its proxies served
        self.demand, self.users = Demand(len(bootstrap.routes)), Users(len(bootstrap.routes))
        self.channel, self.layout = Channel(self.head), Layout(bootstrap.routes, bootstrap.zones)
        self.acknowledged = self.channel.acknowledge
        self.tables, self.levels, self.theta = {}, {}, {}  # by table, by route, by table
        self.subset_count, self.homes = 0, {}  # parts of the fleet with tables of their own; backend -> its part
        self.here, self.burden = {}, []  # table -> part of the demand; section -> [users' calls, capacity]
        self.refuge, self.cold = [], {}  # table for proxies that wait; cold backend -> its part of the fleet
        self.share, self.granted = [1.0] * len(bootstrap.routes), [0.0] * len(bootstrap.routes)
        self.shares = [list(self.share)] * 3  # of the last turns, the oldest first: the one that reports show
        self.due, self.next_turn, self.asks, self.tally = [], None, 0, [0] * 3  # tries, answered, took
        self.ack_number = zlib.crc32(f"{seed}:mark".encode()) % 65536  # unlike an earlier life's
        self.spell, self.level = 1.0, 1.0  # cycles in which all lines come round; how far backends fill
        # The list has changed; orders wait; backends that run have no line; bindings to sections wait.
        self.changed = self.owed = self.lacking = self.crowded = False
        self.unsaid, self.say_at, self.behind, self.repeating = set(), None, False, False  # of withdrawals
        self.fleet, self.before, self.width = None, 0.0, 0.0  # all can do; did before trouble; size
        self.strained, self.dropped_at = False, 0  # the fleet is slow; its capacity's last drop
        self.shown, self.most = 0.0, FULL  # most that was served by size; that the fleet is believed to do

    def round(self, now, arrivals, out):
        self.now, self.out, self.changed = now, out, False
        turn = self.next_turn is not None and now >= self.next_turn
        if self.next_turn is None and self.bootstrap.must_watch:
            out.watch()
        if turn or self.next_turn is None:
            self.next_turn = now + self.bootstrap.cycle
            out.set_timer(self.next_turn, TURN)
        for verb, *values in arrivals:
            getattr(self, verb)(*values)
        while self.due and self.due[0][0] <= now:
            heappop(self.due)[2]()
        if turn:
            self.spell = self.lap()
            self.channel.expire_unacknowledged(
                now - LATELY * self.bootstrap.grace
            )  # rule 1: who never answers holds up none
            self.forget()
            self.judge()
            self.learn()
            self.shares = [*self.shares[1:], list(self.share)]
        if turn or self.changed:
            self.update_allocation()
        if turn or self.changed or self.owed:
            self.write_changes(turn)
        self.join()
        self.post()

    def later(self, delay, act):
        self.draws += 1
        heappush(self.due, (self.now + delay, self.draws, act))
        self.out.set_timer(self.now + delay, DUE)

    def cycles(self, lag):
        return (lag + self.spell) * self.bootstrap.cycle

    # What comes in

    def backends_listed(self, how, entries):
        if how == "failed":
            self.asks, self.draws = self.asks + 1, self.draws + 1
            delay = min(self.bootstrap.watch_timeout // 4, self.bootstrap.cycle * 2 ** min(self.asks, 4) // 4)
            chance = zlib.crc32(f"{self.seed}:{self.draws}".encode()) / 2**32
            self.later(int(delay * (0.5 + chance)), lambda: self.out.watch())
            return
        self.asks, self.changed = 0, True
        for b, *entry in entries:
            self.backends.setdefault(b, Backend()).apply_list_entry(self.now, *entry)
        if how != "changes":
            for b in self.backends.keys() - {entry[0] for entry in entries}:
                self.backends[b].missing_from_list(self.now)
        if self.say_at is None and any(x.state != "running" and not x.withdrawn for x in self.backends.values()):
            self.say_at = self.now + int(GATHER * self.bootstrap.grace)  # for others: each message costs its head
            self.later(int(GATHER * self.bootstrap.grace), lambda: setattr(self, "changed", True))

    def forget(self):
        """All parts forget at once what has long gone. Harm: back under its id, proxies may shut it out."""
        named = set(self.refuge).union(*self.tables.values())
        for b, x in list(self.backends.items()):
            if x.state != "gone":
                x.last_present_at = self.now
            elif self.now - x.last_present_at > REST * self.bootstrap.grace and b not in named:
                del self.backends[b]
                self.unsaid.discard(b)
                self.out.forget(b)

    def proxy_joined(self, p, zone, typical, standing, brought=0):
        self.proxy_left(p)
        typical = self.demand.join(p, zone, typical, self.now)
        self.proxies[p] = Proxy(p, zone, typical, self.now, standing, brought)
        self.users.join(p, self.proxies[p])
        self.rebase(zone, typical)
        if not self.repeating:
            self.repeating = True
            self.later(int((0.5 if self.subset_count else GATHER) * self.bootstrap.grace), self.repeat)

    def repeat(self):
        """Rule 3: who has come and still waits for a table may hold lines of what went meanwhile."""
        self.repeating = False
        if self.users.waiting:
            for b in self.lately() - self.unsaid:
                self.backends[b].due_since = self.now
                self.unsaid.add(b)
                self.say_at, self.changed = self.now, True

    def lately(self):
        """What is withdrawn, but for what went so long ago that no table should still name it."""
        since = self.now - LATELY * self.bootstrap.grace
        return {b for b, x in self.backends.items() if x.withdrawn and (x.state != "gone" or x.last_present_at > since)}

    def proxy_left(self, p):
        proxy = self.proxies.pop(p, None)
        if proxy:
            self.channel.leave(p)
            self.users.leave(p, proxy)
            self.demand.leave(p)
            self.rebase(proxy.zone, -proxy.call_rate())

    def rebase(self, zone, change):
        """What the joined proxies use moves with them. Could do harm where typical rates were far off."""
        whole, zoned = self.demand.total_rate(), self.demand.zone_rate(zone)
        if whole > 0 and whole > change:
            self.scale(whole / (whole - change))
            self.shown *= whole / (whole - change)
        if zoned > max(change, 0.0):
            self.paces[zone] = self.paces.get(zone, 1.0) * zoned / (zoned - change)
        elif zoned > change:  # nobody is left there
            for x in self.backends.values():
                x.served_by_zone.get(zone, [0.0])[0] = 0.0

    def scale(self, part):
        self.fleet = self.fleet and self.fleet * part
        self.before *= part

    def attempts_reported(self, b, zone, tries, dropped, took, covers, load):
        x = self.backends.get(b)
        if x is None or x.state == "gone" or tries <= 0 or covers <= 0:
            return
        answered, keep = max(tries - dropped, 0), 0.5 ** (covers / self.bootstrap.cycle)
        rate = answered * 1e6 / covers / self.paces.get(zone, 1.0)
        fresh = 1.0 - 0.2 ** (covers / self.bootstrap.cycle)  # as demand is, which it is held against
        x.served_by_zone[zone] = [rate * fresh + x.served_by_zone.get(zone, [rate])[0] * (1.0 - fresh), self.now]
        x.record_tries(tries, dropped, keep)
        if not x.ejected:  # one that never answers is judged by itself
            self.tally = [sum(pair) for pair in zip(self.tally, (tries, answered, answered * took), strict=True)]
        if answered:
            x.record_answers(answered, took, MEMORY)
            x.due_since, x.ejected = self.now if x.ejected else x.due_since, False
        if load and load[0] > IDLE:
            x.record_load(load[0] * self.warmth(x), load[1], keep**0.25)

    def demand_reported(self, p, route, calls, covers):
        proxy = self.proxies.get(p)
        if proxy is None or covers <= 0 or not 0 <= route < len(self.bootstrap.routes):
            return
        keep, demands = 0.2 ** (covers / self.bootstrap.cycle), self.demands()
        known = proxy.rate_by_route.get(route, proxy.typical_rate * demands[route] / max(sum(demands), 1e-9))
        proxy.rate_by_route[route] = self.demand.report_rate(p, route, keep * known + (1 - keep) * calls * 1e6 / covers)
        # All that waits for reports counts in spells, as a line missing from a turn is the usual case.
        self.spell += (max(covers / self.bootstrap.cycle, 1.0) - self.spell) / (4 * len(self.proxies))

    def peers_reported_missing(self, b, missing):
        """Answers that distinct peers miss; they halve each turn in which they are not said again."""
        if b in self.backends:
            self.backends[b].peer_missing_answers = missing

    timer_fired = probe_answered = peer_message_received = slice_given = slice_line = slice_calls = (
        lambda *_: None
    )  # no use

    # Health, by symptom

    def running(self):
        return {b: x for b, x in self.backends.items() if x.state == "running"}

    def lap(self):
        """Cycles in which all lines come round: as learned, and no less than the stated intake allows."""
        lines = len(self.proxies) * len(self.bootstrap.routes) + self.demand.active_zone_count() * len(self.running())
        return max(
            self.spell,
            lines * 1e6 / self.bootstrap.report_lines_per_second / self.bootstrap.cycle
            if self.bootstrap.report_lines_per_second
            else 0.0,
        )

    def judge(self):
        """Shuts out what by the others' answers owes more than chance can account for; late reports stop
        these too. Could do harm where one zone's fall behind: hence the cap; one answer brings it back."""
        if not self.tally[0]:
            return
        running, demands, due = self.running(), self.demands(), {}
        for table, lines in self.tables.items():
            total = sum(w for b, w in lines.items() if b in running)
            for b, w in lines.items():
                calls = demands[table % len(demands)] * self.here.get(table, 1.0)
                due[b] = due.get(b, 0.0) + calls * w / max(total, 1e-9)
        whole = sum(due[b] for b in due if b in running) or 1.0
        bound = (len(self.proxies) - len(self.users.unbound)) / max(len(self.proxies), 1)
        room = sum(x.size * (MOST_SHUT - x.ejected) for x in running.values())
        for b, x in running.items():
            x.silent_intervals += 1 / self.spell
            x.missing_answers += self.tally[1] * bound * due.get(b, 0.0) / whole
            # What peers miss shortens the proof. Could do harm where all err alike: hence a sign seen here.
            alone = x.missing_answers > SILENT and x.silent_intervals >= QUIET
            proved = alone or (owed := self.owes(x)) and owed + x.peer_missing_answers > SILENT
            x.peer_missing_answers /= 2
            if not x.ejected and proved and x.size <= room:
                x.ejected, room = True, room - x.size
                self.out.log(f"backend {b} shut out: it never answers")

    def owes(self, x):
        """Answers missing beyond those of the turn of its last one; 0 before they are a sign of anything."""
        beyond = x.silent_intervals - 1 / self.spell
        owed = x.missing_answers * beyond / x.silent_intervals if beyond >= ONCE else 0.0
        steady = (
            self.warmth(x) >= 1.0 and self.now - x.due_since > self.bootstrap.warm_up_time
        )  # else it may be a start that is silent
        return owed if owed >= SIGN and steady else 0.0

    def missing_answers(self):
        """What peers may be told of backends that run."""
        return {b: owed for b, x in self.running().items() if (owed := self.owes(x))}

    def warmth(self, x):
        """Rule 4: the least part of its capacity that is stated for a cold backend's age."""
        age = max(self.now - x.started, 0) / self.bootstrap.warm_up_time if x.started else 1.0
        return self.bootstrap.cold_start_capacity + (1 - self.bootstrap.cold_start_capacity) * min(age, 1.0)

    # Learned capacity and demand

    def demands(self):
        """Calls a second by route; what is not heard yet of a newcomer is typical, in the others' mix."""
        self.demand.update_settled(self.now - self.cycles(SETTLED))
        return self.demand.expected_rates()

    def first_tries(self):
        """Demand without the calls that come again because refused: with them the way back lags."""
        return [d * (1.0 - AGAIN * (1.0 - share)) for d, share in zip(self.demands(), self.shares[0], strict=True)]

    def learn(self):
        """The fleet's capacity from what was served. A turn without reports teaches nothing."""
        (tries, answered, taken), self.tally = self.tally, [0] * 3
        if not tries or self.demand.newcomer_rate() > NEWCOMERS * self.demand.total_rate():
            return  # those that have just come are in the demand before they are in the reports
        for x in (running := self.running().values()):
            x.decay(self.now - self.cycles(0), 0.5, 0.5 ** (1 / self.spell))
        served = sum(x.answer_rate(self.paces) for x in running)
        heard = self.width and 2 * served > self.demand.total_rate()  # soon after a start few reports are in
        self.shown = max(self.shown * FORGET, served / self.width if heard else 0.0)
        took = taken / answered if answered else 0.0
        slow_at = SLOW * min(r.slo for r in self.bootstrap.routes)
        if took > slow_at:  # alone tells a full fleet. Could do harm where waiting rooms are very short.
            # Once, then not until it can have been reported. What is served now can be done.
            fleet = self.fleet or served
            self.before = self.before if self.strained else fleet * self.level
            if not self.strained or self.now - self.dropped_at >= self.cycles(PATIENCE):
                fleet, self.dropped_at = min(fleet, fleet * self.level / 2), self.now
            self.strained, self.fleet = True, max(fleet, served * max(slow_at / took, DRAIN))
        elif self.fleet is None:
            self.fleet = served / TARGET
        else:
            # Half-way back to what was carried before; then by the tenth, more if far from slow.
            clean = min(max(slow_at / max(took, 1.0) - 1.0, 0.5), 3.0)
            growth = GROWTH**clean if self.level > ENOUGH else 1.0
            self.strained, self.fleet = False, max(self.fleet * growth, (self.fleet + self.before) / 2)

    def capacities(self):
        """What each running backend can take now, as its part of what the fleet can: by reported capacities,
        else size over answer time. Unheard ones count as average for their size among their kind."""
        running, part = self.running(), {}
        reports = any(x.busy_cores for x in running.values())
        whole_kept = 1.0 - sum(x.unanswered for x in running.values()) / max(
            sum(x.tries for x in running.values()), 1e-9
        )
        for kind in {x.kind for x in running.values()}:
            known = [x for x in running.values() if (x.busy_cores if reports else x.answer_count)]
            known = [x for x in known if self.warmth(x) >= 1.0 or not self.subset_count] or known
            alike = [x for x in known if x.kind == kind] or known
            size, calls = sum(x.size for x in alike), sum(x.answer_count for x in alike)
            unit = (
                sum(x.reported_capacity(self.paces, self.bootstrap.coordinators) for x in alike) / size
                if reports
                else 0.0
            )
            took = sum(x.answer_time * x.answer_count for x in alike) / calls if calls else 1.0
            for b, x in [(b, x) for b, x in running.items() if x.kind == kind]:
                even = unit * x.size if reports else x.size / max(took, 1e-9)
                if reports:
                    own = x.reported_capacity(self.paces, self.bootstrap.coordinators) if x.busy_cores else even
                else:
                    own = x.size / max((x.answer_count * x.answer_time + PRIOR * took) / (x.answer_count + PRIOR), 1e-9)
                kept, warmth = 1.0 - x.unanswered / x.tries if x.tries > ENOUGH_TRIES else 1.0, self.warmth(x)
                guarded = self.subset_count and warmth < 1.0  # rule 4: by its own figures a warm one's part at most
                part[b] = min(own * kept * warmth, even * whole_kept if guarded else float("inf"))
        whole = sum(part.values()) or 1.0
        width = sum(x.size * self.warmth(x) for x in running.values())
        self.scale(width / self.width if self.width else 1.0)
        self.width = width
        if reports:  # what is reported is not grown beyond
            self.fleet = min(self.fleet, whole) if self.fleet and self.before else whole
        self.cold = {b: part[b] / whole for b, x in running.items() if self.warmth(x) < 1.0 and not x.ejected}
        self.reported = reports
        release = self.subset_count and not reports and len(self.cold) > MANY * len(running)
        self.most = OVER * self.shown * width if release and self.shown else FULL
        self.fleet = self.fleet and min(self.fleet, self.most)
        fleet = self.fleet or sum(self.demands()) / TARGET or 1.0
        return {b: 0.0 if x.ejected else fleet * part[b] / whole for b, x in running.items()}

    # The waterfill decides rates, shares and weights

    def paths(self, route, zone):
        may_go = self.bootstrap.routes[route].open_to
        return [b for b, x in self.running().items() if may_go(x.kind, x.zone) and zone in (None, x.zone)]

    def near(self, able, section):
        """A section's: two homes wide, and wider where a route may go to few or, rule 4, a release has left few lines
        for all of its users. A cold one is in one table, as proxies that avoid full ones turn to it at any weight."""
        if not self.subset_count or not able:
            return able
        wide, mine = -(-2 * len(self.homes) // len(able)), []
        least = min(THIN * wide * len(able) / self.subset_count, len(able))
        while len(mine) < least:
            mine = [b for b in able if (self.homes[b] - section) % self.subset_count < wide - (b in self.cold)]
            wide += 1
        return mine

    def part(self):
        """Where full tables for all that one may have to serve come late, the fleet is parted into sections, a table
        each; a backend is in two, so that Alg. 2 evens out what users bring. Could do harm where these are few."""
        running, boot = self.running(), self.bootstrap
        reach = min(REACH / boot.coordinators, 1.0) * boot.proxies
        full = reach * (len(boot.routes) * len(running) + self.head) * 1e6 / boot.channel_lines_per_second
        if full > boot.warm_up_time and not (self.subset_count or self.users.proxies_by_table or self.refuge):
            room = (
                boot.channel_lines_per_second * boot.grace * BOUND_IN / 1e6 / reach - self.head - 1 - len(boot.routes)
            )
            room /= len(Layout(boot.routes, boot.zones, 1).route_groups)
            self.subset_count = max(int(2 * len(running) / min(max(room, FEWEST), MOST)), 1)
            for table, b in [(table, b) for table, lines in self.tables.items() for b in lines]:
                self.out.set_weight(table, b, 0.0)
            self.tables, self.theta, self.layout = {}, {}, Layout(boot.routes, boot.zones, self.subset_count)
            self.users.tables_per_proxy = len(self.layout.route_groups)
        if self.subset_count and running.keys() != self.homes.keys():
            self.homes = {b: home for b, home in self.homes.items() if b in running}
            held = Counter((home, z) for b, home in self.homes.items() for z in (None, running[b].zone))
            fresh = running.keys() - self.homes.keys()
            for b in sorted(fresh, key=lambda b: zlib.crc32(f"{self.seed}:{b}".encode())):
                z = running[b].zone
                self.homes[b] = min(range(self.subset_count), key=lambda s: (held[s, None], held[s, z], s))
                held.update([(self.homes[b], None), (self.homes[b], z)])

    def update_allocation(self):
        self.part()
        demands, capacity = self.first_tries(), self.capacities()
        ranks = sorted({r.importance for r in self.bootstrap.routes})
        calls = {
            t: sum(p.call_rate() for p in self.users.of_table(t))
            for t in self.users.proxies_by_table
            if self.subset_count
        }
        whole_calls = sum(calls.values()) / len(self.layout.route_groups) or 1.0
        able = {key: self.paths(*key) for key in {(routes[0], zone) for _, routes, zone, _ in self.layout}}
        wants, weights, here = {}, {}, {}  # by table and route
        self.burden = [[0.0, 1e-9] for _ in range(self.subset_count)]
        for table, routes, zone, section in self.layout:
            paths = self.near(able[routes[0], zone], section)
            old, whole = self.theta.pop(table, {}), sum(capacity[b] for b in paths)
            if not paths:
                continue
            parts = {b: capacity[b] / whole if whole > 0 else 1 / len(paths) for b in paths}
            self.theta[table] = self.floored({b: old.get(b, parts[b]) for b in paths})
            here[table] = self.demand.typical_rate(zone) / (self.demand.typical_rate() or 1.0)
            if self.subset_count:
                mine = calls.get(table, 0.0)
                here[table] = mine / whole_calls
                self.burden[section] = [max(pair) for pair in zip(self.burden[section], (mine, whole), strict=True)]
            for route in routes:
                want, rank = demands[route] * here[table], ranks.index(self.bootstrap.routes[route].importance)
                if want > 0:  # a route without usage keeps its multipliers and a full share
                    wants[table, route], weights[table, route] = want, want * PRECEDENCE**rank
        self.here = here if self.subset_count else {}
        if not wants:
            return
        fit = self.fit(wants, capacity)
        if fit > 1.0 and not self.strained and not self.before and self.most == FULL:
            capacity = {b: c * fit for b, c in capacity.items()}
            self.fleet, fit = sum(capacity.values()), 1.0
        grants = wants
        if fit > 1.0:
            # What each route may have, the important first; one that gets all is bound by no backend.
            rates, _ = self.fill(wants, weights, capacity)
            grants = {t: sum(rate.values()) for t, rate in rates.items()}
            fit = self.fit(grants, capacity)
        self.level = min(1.0, max(fit, 1e-6))
        whole = sum_by_table(grants)
        relief = self.relief(sum(self.demands()))
        limits = {b: c * self.level * (relief if b in self.cold else 1.0) for b, c in capacity.items()}
        _, thetas = self.fill(whole, whole, limits)
        self.theta.update({table: theta for (table, _), theta in thetas.items()})
        for route in range(len(demands)):
            mine = [t for t in wants if t[1] == route]
            if mine:
                part = sum(grants[t] for t in mine) / sum(wants[t] for t in mine)
                self.granted[route] = sum(grants[t] for t in mine)
                self.share[route] = 1.0 if part > 1.0 - FINE else part * (1 - AGAIN) / (1 - AGAIN * part)

    def relief(self, calls):
        """Rule 4: the part of its even share that a cold backend gets while more comes than was ever served; squared,
        as proxies also bring it what full ones refuse. Could do harm where all of a burst can be served."""
        most = self.bootstrap.cold_overload_multiple * COLD_MOST * self.shown * self.width
        return min(most / calls, 1.0) ** 2 if self.subset_count and not self.reported and most and calls else 1.0

    def fit(self, wants, capacity):
        """The part of the capacity that the wants take, with a little slack for the multiplier loop."""
        single = [
            want / max(sum(capacity[b] for b in self.theta[t]), 1e-9) for (t, _), want in sum_by_table(wants).items()
        ]
        return SLACK * max(*single, sum(wants.values()) / max(sum(capacity.values()), 1e-9))

    def fill(self, wants, weights, capacity):
        """The multiplier loop around Alg. 2, from the multipliers carried over."""
        tables = list(wants)
        thetas = [self.theta[t] for t, _ in tables]
        for _ in range(ITERATIONS):
            rates = waterfill(list(wants.values()), list(weights.values()), thetas, capacity)
            before = list(thetas)
            for k, rate in enumerate(rates):
                total = sum(rate.values())
                if total > 0:
                    thetas[k] = self.floored({b: f / total for b, f in rate.items()})
            moves = zip(before, thetas, strict=True)
            if all(abs(t - old[b]) * len(old) < STILL for old, new in moves for b, t in new.items()):
                break  # where no backend binds it stands after the first
        return dict(zip(tables, rates, strict=True)), dict(zip(tables, thetas, strict=True))

    def floored(self, theta):
        """The design's floor, a trickle to what is shut out. Rule 4: cold ones get their part and no more."""
        even = FLOOR / len(theta)
        raised = {b: max(t, min(even, self.cold.get(b, even))) for b, t in theta.items()}
        total = sum(raised.values()) or 1.0
        return {b: t / total for b, t in raised.items()}

    # What goes out: lines, withdrawals, levels, bindings

    def quota(self, route):
        """The admitted share, or the calls a second that, the same for every proxy, come to it."""
        if self.bootstrap.admission != "per_second":
            return round(self.share[route], 3) if self.bootstrap.admission == "fraction" else 1.0
        demands = self.demands()
        mix = demands[route] / max(sum(demands), 1e-9)
        rates = [
            p.rate_by_route.get(route, 0.0) if p.rate_by_route else p.typical_rate * mix for p in self.proxies.values()
        ]
        if self.share[route] >= 1.0 or not rates:
            return FULL
        return round(equal_limit(rates, self.granted[route]), 3)

    def bar(self, which, out, part):
        """Withdraws backends or lets them in, a line at each proxy whose table names them: all at once, as
        every message costs its head, or what fits into half a backlog. Returns those still to be said."""
        fresh = [b for b in which if self.backends[b].withdrawn != out]  # the rest is said again, to those who wait
        named = any(b in lines for b in fresh for lines in self.tables.values())
        named = named and (
            not self.subset_count or any(0 < self.backends[b].withdrawal_sent_at < self.now for b in which)
        )
        holders = (self.proxies if named else self.users.waiting).values()
        since = 0 if fresh else min((self.backends[b].withdrawal_sent_at for b in which), default=0)
        holders = [p for p in holders if p.joined_at >= since]  # who was here then knows
        space = part * self.bootstrap.backlog - self.channel.queued_lines
        space = max(int(space / max(len(holders), 1) - self.head), 0)
        full = self.channel.queued_lines > self.bootstrap.backlog / 2 and space < len(which)
        if full or part < OUT and not self.fits(holders, part, len(which)):
            return which
        for b in which[:space]:
            said = self.now if holders else self.backends[b].withdrawal_sent_at
            self.backends[b].withdrawn, self.backends[b].withdrawal_sent_at = out, said if out else 0
            self.out.withdraw(b, out)
        self.channel.charge(holders, len(which[:space]))
        return which[space:]

    def fits(self, users, part, lines=1, table=None):
        """Rule 5: whether an order that can wait may go; half of the counted messages is for the rest."""
        pressed = self.channel.near_message_limit(
            users, self.now - self.bootstrap.message_limit_window, self.bootstrap.message_limit
        )
        if part < OUT and (self.behind or pressed):
            return False
        more = lines * len(users) + self.head * self.channel.messages_needed(users, table)
        return self.channel.queued_lines + more <= self.room(part, len(users))

    def room(self, part, users):
        """Lines that may wait, by an order of that part which goes to so many."""
        space = part * min(self.bootstrap.backlog, self.bootstrap.channel_lines_per_second * self.bootstrap.grace / 2e6)
        return max(space, min(space / 2 + self.head * users, CROWD * self.bootstrap.backlog) * (part > AT_ONCE))

    def write_changes(self, turn):
        """Lines first (rule 1), then withdrawals (rule 3), then levels. What can wait is gathered."""
        changes, unplaced, filled, demands, lately = [], set(), set(), self.demands(), self.lately()
        waits, due = bool(self.users.waiting), turn or self.say_at is not None and self.now >= self.say_at
        for table, routes, _, _ in self.layout:
            theta, lines = self.theta.get(table, {}), self.tables.setdefault(table, {})
            calls = sum(demands[r] for r in routes) * self.here.get(table, 1.0) / max(len(theta), 1)
            bare = not any(self.backends[b].state == "running" and not self.backends[b].withdrawn for b in lines)
            skewed = self.skewed(theta, lines)
            for b, t in theta.items():
                weight, old = float(f"{t * len(theta):.3g}"), lines.get(b, 0.0)
                if abs(weight - old) > CHANGED * old:
                    new = old == 0.0 or self.backends[b].withdrawn
                    order = BARE if bare else SKEWED if b in skewed else MISSING if new else ORDINARY
                    changes.append((order, -abs(weight - old) * calls, table, b, weight))
            for b in (b for b in lines if (theta or self.subset_count) and b not in theta):
                leaving = self.subset_count and self.backends[b].state != "running"
                order = LEAVING if leaving else SKEWED if b in self.cold else ORDINARY + (b in lately)
                changes.append((order, -FULL, table, b, 0.0))
        self.lacking = self.owed = late = False
        for order, _, table, b, weight in sorted(changes):
            users = self.users.of_table(table)
            part = (NEW if order < ORDINARY or waits else WEIGHTS) if turn else AT_ONCE if order < ORDINARY else 0.0
            if order == LEAVING or order == SKEWED and not self.crowded:  # rule 3: who is bound holds no other lines
                part = OUT if due else AT_ONCE
            elif self.crowded and order:
                part = min(part, BESIDE if order == SKEWED and turn else AT_ONCE)
            if (order or table in filled) and users and not self.fits(users, part, 1, table):  # unheld: free
                late = late or order == LEAVING
                unplaced.add(b)  # and so not let in again either
                self.lacking = self.lacking or order in (BARE, MISSING)
                continue
            filled.update((table,) if self.subset_count else ())
            self.tables[table][b] = weight
            if not weight:
                del self.tables[table][b]
            self.out.set_weight(table, b, weight)
            self.backends[b].withdrawal_sent_at = (
                self.backends[b].withdrawal_sent_at or self.now * self.backends[b].withdrawn
            )
            more = self.backends[b].withdrawn or self.subset_count and weight and any(p.inherited for p in users)
            self.channel.charge_table(table, 1 + bool(more), users)  # it may be shut out or let back as well
        back = [b for b, x in self.backends.items() if x.withdrawn and x.state == "running" and b not in unplaced]
        gone = [
            b for b, x in self.backends.items() if x.state != "running" and x.withdrawn <= (waits and b in self.unsaid)
        ]
        gone.sort(key=lambda b: (self.backends[b].due_since, b))
        if self.subset_count:  # who is bound loses the line; a binding withdraws all, for less
            held, first = set().union(*self.tables.values()), next(iter(self.users.waiting.values()), None)
            stuck = first and not self.crowded and self.now - first.joined_at > self.bootstrap.cycle
            gone = [b for b in gone if b not in held and (stuck or not waits)]
        part, again = OUT if due else AT_ONCE, [b for b in gone if self.backends[b].withdrawn]
        rest = self.bar([b for b in gone if b not in again], True, part) + self.bar(again, True, part)
        self.unsaid.intersection_update(rest)
        self.behind, self.say_at = due and bool(rest), self.say_at if rest or late else None
        if self.behind or late:
            self.later(
                self.bootstrap.cycle // 10, lambda: setattr(self, "owed" if self.subset_count else "changed", True)
            )
        self.bar(back, False, OUT if turn else AT_ONCE)
        for route in range(len(self.bootstrap.routes)):
            quota, old, proxies = self.quota(route), self.levels.get(route, -1.0), self.proxies.values()
            quota = round(quota * self.reached(route), 3)  # rule 4; for all tables, as some are not bound yet
            moved = turn and (abs(quota - old) > FINE * old or quota == 1.0 != old)
            if old < 0.0 or moved and self.fits(proxies, AT_ONCE if self.crowded else LEVELS):
                self.levels[route] = quota
                self.out.set_admission(None, (route,), quota, PROOF)
                self.channel.charge(proxies)

    def skewed(self, theta, lines):
        """Rule 4: what cannot wait: a section's table that brings a cold backend far over its decided share, or of
        which less than half is in force. Could do harm by taking the channel from bindings."""
        there = {b: w for b, w in lines.items() if self.backends[b].state == "running"}
        most = TIPPING * sum(there.values())
        cold = {b for b in theta.keys() & self.cold.keys() if there.get(b, 0.0) > most * theta[b]}
        return theta if self.subset_count and (cold or sum(t for b, t in theta.items() if b in there) < THIN) else ()

    def reached(self, route):
        """The part of a route's rates that is meant for backends with a line that is not withdrawn."""
        whole = part = 0.0
        for table in (table for table, routes, *_ in self.layout if route in routes):
            for b, t in self.theta.get(table, {}).items():
                rate = t * self.here.get(table, 1.0)
                whole += rate
                part += rate if b in self.tables[table] and not self.backends[b].withdrawn else 0.0
        return part / whole if part < (1.0 - FINE) * whole else 1.0

    def shelter(self, waiting):
        """Rule 1: a release takes away what proxies drew at their start. Those that wait for a binding get a
        small table of able backends meanwhile. Could do harm by crowding these."""
        everywhere = set.intersection(*(set(self.paths(r, None)) for r in range(len(self.bootstrap.routes))))
        able = {b for b in everywhere if self.warmth(self.backends[b]) >= 1.0 and not self.backends[b].withdrawn}
        table = len(self.bootstrap.routes) * (1 + self.bootstrap.zones)  # the first that layout leaves free
        users = [p for p in self.proxies.values() if p.on_fallback_table]
        fresh = sorted(able - set(self.refuge), key=lambda b: (-self.theta.get(0, {}).get(b, 0.0), b))
        for b in fresh[:REFUGE] if 2 * len(able & set(self.refuge)) < REFUGE else ():
            if self.fits(users, NEW):
                self.out.set_weight(table, b, 1.0)
                self.channel.charge(users)
                self.refuge.append(b)
        for p, routes in waiting.items() if self.refuge else ():
            proxy, cost = self.proxies[p], self.binding_cost(self.refuge, self.proxies[p])
            routes = [r for r in routes if not self.bootstrap.routes[r].own_zone]
            if routes and not proxy.on_fallback_table and self.fits([proxy], NEW, cost):
                self.out.bind(p, table, routes)
                proxy.on_fallback_table = True
                self.channel.charge([proxy], cost)

    def binding_cost(self, lines, proxy, out=None):
        most = len(lines) if self.subset_count else proxy.inherited
        brought = 0 if proxy.bound_tables or proxy.on_fallback_table else min(proxy.inherited, most)  # let back
        out = sum(self.backends[b].withdrawn for b in lines) if out is None else out
        return 1 + len(self.bootstrap.routes) + len(lines) + out + brought

    def join(self):
        """Binds proxies to the shared tables, after withdrawals and lines of what has none."""
        self.crowded = False
        if not self.users.waiting:
            while self.refuge:
                self.out.set_weight(len(self.bootstrap.routes) * (1 + self.bootstrap.zones), self.refuge.pop(), 0.0)
            return
        demands, wanted, waiting = self.demands(), [], {}
        out, running = len(self.lately()), self.running().values()
        strange = self.fleet is None or sum(not x.answer_count for x in running) > NEWCOMERS * len(running)
        if self.subset_count:
            return self.deal()
        laid = [(t, route, zone, len(self.tables[t])) for t, (route,), zone, _ in self.layout if self.tables.get(t)]
        shelter = self.say_at is None and out > AT_RISK * (out + len(running))
        least = 1 + len(self.bootstrap.routes) + min((lines for *_, lines in laid), default=0)
        if not laid or not shelter and self.full(least):
            return
        for p, proxy in self.users.waiting.items():
            early = self.now - proxy.joined_at < self.cycles(PATIENCE)
            if not proxy.uses_initial_table and strange and early and out < (out + len(running)) / 2:
                continue  # after a crash, what one that knew has laid is better
            calls = proxy.call_rate()
            for t, route, zone, lines in laid:
                if t not in proxy.bound_tables and zone in (None, proxy.zone):
                    wanted.append((not proxy.uses_initial_table, -calls * demands[route] / lines, p, t, route))
        outs = {t: sum(self.backends[b].withdrawn for b in self.tables[t]) for t, *_ in laid}
        heapify(wanted)
        while wanted and (shelter or not self.full(least)):
            _, _, p, table, route = heappop(wanted)
            proxy, cost = self.proxies[p], self.binding_cost(self.tables[table], self.proxies[p], outs[table])
            if self.full(least) or not self.fits([proxy], BINDINGS, cost):
                waiting.setdefault(p, []).append(route)
                continue
            self.out.bind(p, table, (route,))
            self.users.bind(p, proxy, table)
            self.channel.charge([proxy], cost)
            self.channel.exclude_new_binding(proxy, (table,))
        if waiting and shelter:
            self.shelter(waiting)

    def deal(self):
        """Binds who waits to the section that has the most room, in the order of joining."""
        for p, proxy in list(islice(self.users.waiting.items(), int(self.bootstrap.backlog // self.head))):
            if proxy.subset is None:
                proxy.subset = min(range(self.subset_count), key=lambda s: self.burden[s][0] / self.burden[s][1])
            mine = self.layout.tables_for(proxy.subset, proxy.zone)
            tables = [
                (table, routes) for table, routes in mine if self.tables.get(table) and table not in proxy.bound_tables
            ]
            cost = len(tables) + self.binding_cost([b for table, _ in tables for b in self.tables[table]], proxy)
            self.crowded = bool(tables) and self.channel.queued_lines + self.head + cost > self.room(BINDINGS, 1)
            if self.crowded:
                break
            for table, routes in tables:
                self.out.bind(p, table, tuple(routes), True)
                self.users.bind(p, proxy, table)
            self.channel.charge([proxy], cost * bool(tables))
            self.channel.exclude_new_binding(proxy, [table for table, _ in tables])
            self.burden[proxy.subset][0] += proxy.call_rate() * bool(tables)

    def full(self, least):
        """Whether no binding may go now, the smallest and cheapest among them."""
        pressing = self.lacking or self.behind or self.say_at is not None
        return pressing or self.channel.queued_lines + least > self.room(BINDINGS, 1)

    def post(self):
        reached = ()
        if self.channel.charged_proxies:
            self.ack_number = (self.ack_number + 1) % 65536
            reached = self.out.request_ack(self.ack_number)
        self.channel.commit_round(self.ack_number, reached, self.now, self.bootstrap.message_limit)
