"""Decides how calls are spread over backends: adaptive multi-path waterfilling over routes and backends.

`Planner` makes all decisions of a coordinator. It does no I/O and reads no clock. Each coordinator has one,
`planner = Planner(bootstrap, seed)`, and calls `planner.round(now, events, writer)` for each batch of events. An event
is a tuple of its name (a method under "Events") and its values; the batch is in the order in which they happened.
Decisions go into `writer` in the order in which they are made. `Bootstrap` and `Writer` are defined in
cranecleat/interface.py.

Times are whole microseconds, rates are calls a second, ids are small indices; `b` is a backend's. A table maps
backends to weights and is shared by the proxies that are bound to it. A line is the unit of what the channel sends: an
entry of a table, a withdrawal, a level. The design and its reasons are described in docs/design/planner.md.

Comments refer to these rules: (1) no joined proxy is without a backend to send to for long; (2) no call takes effect
twice; (3) proxies stop sending to a backend that drains within the grace; (4) no cold backend is pushed over; (5) few
lines wait in the channel.

What happens when a backend drains or goes:
    `backends_listed` notes it. `update_allocation` leaves it out of the tables. `write_changes` withdraws it, so that
    proxies send it nothing more: at once where that is cheap, else after a short wait for other withdrawals. Where the
    fleet is divided into subsets, `write_changes` removes its entries from their tables instead, as urgently.
    `repeat_withdrawals` covers proxies that join meanwhile. `forget_removed_backends` forgets a backend long gone.
What happens while a backend is cold:
    `warmth` is the share of its capacity that a backend of its age can serve. `capacities` and `apply_floor` keep its
    multiplier within that share. With subsets, `cold_share_factor` lowers it while more is asked than was ever served,
    and `urgent_entries` finds tables that send a cold backend too much.
What happens on overload:
    `learn_capacity` lowers the fleet's capacity when answers get slow. `update_allocation` grants each route what the
    capacity allows, the most important first, and derives the admitted shares. `write_changes` writes these as levels.
"""

import zlib
from collections import Counter
from heapq import heapify, heappop, heappush
from itertools import islice

from cranecleat.bookkeeping.channel import Channel
from cranecleat.bookkeeping.demand import Demand, equal_limit
from cranecleat.bookkeeping.known import Backend, Proxy
from cranecleat.bookkeeping.layout import Layout, sum_by_table
from cranecleat.bookkeeping.users import Users

# Numbers of the timers.
PERIODIC_TIMER = 0  # the next periodic round
SCHEDULED_TIMER = 1  # the next scheduled action

# Allocation and learned capacity.
ASSUMED_LOAD = 0.65  # share of the capacity in use, assumed where no load is reported
CAPACITY_GROWTH = 1.1  # factor of the capacity for each periodic round that is not slow
GROWTH_MIN_LEVEL = 0.25  # the capacity grows only where more than this share of it is in use
MULTIPLIER_FLOOR = 0.1  # least multiplier of a backend, in even shares
MAX_ITERATIONS = 10  # of the multiplier loop
MULTIPLIER_TOLERANCE = 1e-9  # in even shares: the loop has converged where no multiplier moves by more
WEIGHT_TOLERANCE = 0.1  # share by which a weight may be off before it is written again
LEVEL_TOLERANCE = 0.03  # share by which a level, or what a limited route is granted, may be off
FILL_SLACK = 1.02  # backends are filled to a common level this much above the least that holds the demand
IMPORTANCE_FACTOR = 8.0  # weight of a route over the next less important one
SLOW_SLO_SHARE = 0.55  # the fleet is slow where answers take more than this share of the tightest SLO time
MIN_TRIES_FOR_LOSSES = 4  # tries: up to so many, the losses of a backend are chance
QUEUE_DRAIN_SHARE = 0.85  # of the served rate: a slow fleet is given no less; it is below 1 so that queues shorten
RETRY_SHARE = 0.4  # share of the refused calls that come again
FEEDBACK_CYCLES = 2  # cycles, beside a report interval, from one drop of the capacity to the next
SETTLED_CYCLES = 1.5  # cycles, beside a report interval, until a proxy that joined is in the reports
# Share of the calls that may come from newcomers for capacity to be learned; share of the backends that may be without
# answers for the fleet to count as known.
MAX_UNKNOWN_SHARE = 0.25

# Ejection of backends that never answer.
EJECT_MISSING_ANSWERS = 8  # answers that have to be missing
EJECT_SILENT_INTERVALS = 3  # report intervals without an answer
MIN_LOCAL_MISSING = 1  # answers that have to be missing here, whatever peers miss
MIN_LOCAL_SILENT_INTERVALS = 1  # report intervals without an answer here, whatever peers miss
MAX_EJECTED_SHARE = 0.7  # of the fleet's size that may be ejected

# Reports.
ANSWER_TIME_MEMORY = 40  # answers that the mean answer time of a backend rests on at most
ANSWER_TIME_PRIOR = 10  # answers that the average of its kind counts for in a backend's answer time
IDLE_LOAD = 0.02  # busy cores: a reported load up to this says nothing about the capacity
UNLIMITED = 1e6  # calls a second that limit nothing

# Rule 2: a call, whatever its effect, is tried again only on proof that its first try never ran.
RETRY_ONLY_ON_PROOF = 1  # sent with each level

# Shares of the backlog up to which lines may wait in the channel, by what is written.
BACKLOG_IMMEDIATE = 0.1  # cheap changes outside of periodic rounds
BACKLOG_WEIGHTS = 0.3  # changes of weights
BACKLOG_BINDINGS = 0.33  # bindings of proxies to tables
BACKLOG_SKEWED_TABLES = 0.36  # skewed tables of subsets, while bindings wait
BACKLOG_LEVELS = 0.75  # admission levels
BACKLOG_NEW_ENTRIES = 0.5  # entries that a table lacks, and the fallback table
BACKLOG_MANY_PROXIES = 0.95  # what goes to so many proxies that their messages' overhead alone fills a smaller share
BACKLOG_WITHDRAWALS = 0.98  # withdrawals and whatever else cannot wait

# Withdrawals, in graces.
GATHER_GRACES = 0.12  # withdrawals wait this long for others, as each message has an overhead
RECENT_GRACES = 5  # what went within this is repeated to proxies that join; lines count as waiting for no longer
FORGET_GRACES = 20  # a backend that has been gone for this long is forgotten

# The fallback table for proxies that wait for a binding amid a release.
AT_RISK_SHARE = 0.2  # of the known backends: with more of them withdrawn, waiting proxies get the fallback table
FALLBACK_TABLE_ENTRIES = 12  # backends in it

# Subsets of the fleet.
TAKEOVER_FACTOR = 5  # times its even share of the proxies: the most that a coordinator is prepared to serve
BIND_ALL_GRACES = 0.7  # graces in which all of these have to be bound
MIN_TABLE_ENTRIES = 8  # least size of a subset's table
MAX_TABLE_ENTRIES = 30  # greatest size of a subset's table
MIN_TABLE_SHARE = 0.5  # of a subset's intended table: with less, the subset is widened, or its table cannot wait

# Rule 4, cold backends.
COLD_SAFETY_SHARE = 1 / 2  # of rule 4's multiple of the peak served by size: what cold backends may be sent in a burst
PEAK_DECAY = 0.99  # factor of that peak for each periodic round
RELEASE_COLD_SHARE = 0.25  # of the fleet: with more of it cold, a release is under way
RELEASE_CAPACITY_MULTIPLE = 2.0  # of the peak served by size: what the fleet is believed to serve in a release
COLD_OVERWEIGHT = 2.0  # a cold backend's share in force, over the decided one, that cannot wait

# Order in which changes of tables are written.
(
    EMPTY_TABLE,  # entries of a table that has no usable backend
    SKEWED_TABLE,  # tables that send too much to a cold backend: see `urgent_entries`
    LEAVING_BACKEND,  # removal of a backend that is not running, in a subset's table
    MISSING_ENTRY,  # entries of backends that a table does not name yet, or that are withdrawn
    OTHER_CHANGE,
    WITHDRAWN_BACKEND,  # removal of a backend that is withdrawn, which proxies do not use any more
) = range(6)


def waterfill(demands, weights, paths, capacity):
    """Algorithm 2 of the paper: returns rates f[k][e] of demand k on backend e. Each link is visited once, in
    ascending order of its first fair share. The size of a demand is a virtual link over all of its paths."""
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
            elsewhere = [(k, e) for k, e in crossing if rates[k][e] < share * gamma[k][e]]  # limited by another link
            if not elsewhere:
                for k, e in crossing:
                    rates[k][e] = share * gamma[k][e]
                break
            left -= sum(rates[k][e] for k, e in elsewhere)
            crossing = [(k, e) for k, e in crossing if rates[k][e] >= share * gamma[k][e]]
    return rates


class Planner:
    """All state and decisions of one coordinator. See the head of this module."""

    def __init__(self, bootstrap, seed):
        self.bootstrap = bootstrap
        self.seed = seed
        self.sequence = 0  # counts scheduled actions and random draws
        self.message_overhead = bootstrap.message_overhead + 1  # in lines, with the message's number
        self.backends = {}
        self.proxies = {}
        self.zone_scale = {}  # zone -> factor of what its proxies were served, as proxies join and leave
        self.demand = Demand(len(bootstrap.routes))
        self.users = Users(len(bootstrap.routes))
        self.channel = Channel(self.message_overhead)
        self.layout = Layout(bootstrap.routes, bootstrap.zones)
        self.acknowledged = self.channel.acknowledge  # the event of that name
        self.tables = {}  # table -> {backend: weight}, as last written
        self.sent_levels = {}  # route -> admission level, as last written
        self.theta = {}  # table -> {backend: multiplier}

        # Subsets of the fleet that have tables of their own; 0: the fleet is not divided.
        self.subset_count = 0
        self.subset_of_backend = {}
        self.demand_shares = {}  # table -> share of the demand that its proxies bring
        self.subset_load = []  # subset -> [calls a second of its proxies, capacity]

        self.fallback_backends = []  # entries of the table for proxies that wait for a binding
        self.cold_shares = {}  # cold backend -> its share of the fleet's capacity

        # Admission by route.
        self.admitted_shares = [1.0] * len(bootstrap.routes)
        self.granted_rates = [0.0] * len(bootstrap.routes)
        self.recent_shares = [list(self.admitted_shares)] * 3  # of the last periodic rounds; reports show the oldest

        self.scheduled = []  # heap of (time, sequence, action)
        self.next_periodic_at = None
        self.failed_watches = 0
        self.attempt_totals = [0] * 3  # since the last periodic round: tries, answers, sum of answer times
        self.ack_number = zlib.crc32(f"{seed}:mark".encode()) % 65536  # differs from an earlier life's numbers
        self.report_interval = 1.0  # cycles in which all lines of reports come round
        self.fill_level = 1.0  # share of their capacity to which backends are filled

        # What the end of a round has to do.
        self.allocation_due = False  # the backends have changed
        self.writes_due = False  # changes that did not fit into the channel wait
        self.entries_missing = False  # running backends have no entry yet
        self.bindings_delayed = False  # bindings to subsets did not fit into the channel

        # Withdrawals.
        self.pending_withdrawals = set()  # backends to withdraw again, for proxies that wait for a table
        self.withdraw_at = None  # withdrawals wait for others until then; None: none waits
        self.withdrawals_overdue = False  # withdrawals that were due did not fit into the channel
        self.repeat_scheduled = False

        # Learned capacity of the fleet, for the proxies that are joined here.
        self.fleet_capacity = None  # calls a second; None: not known yet
        self.capacity_before_overload = 0.0
        self.fleet_size = 0.0  # sum of the sizes of running backends, each by its warmth
        self.overloaded = False
        self.capacity_dropped_at = 0
        self.peak_served_by_size = 0.0  # most that was served, divided by the fleet's size
        self.capacity_ceiling = UNLIMITED  # most that the fleet is believed to serve

    def round(self, now, events, writer):
        """Handles one batch of events and writes what follows from them. Once a cycle the round is a periodic one,
        which also learns from reports and adjusts weights and levels."""
        self.now = now
        self.writer = writer
        self.allocation_due = False
        periodic = self.next_periodic_at is not None and now >= self.next_periodic_at
        if self.next_periodic_at is None and self.bootstrap.must_watch:
            writer.watch()
        if periodic or self.next_periodic_at is None:
            self.next_periodic_at = now + self.bootstrap.cycle
            writer.set_timer(self.next_periodic_at, PERIODIC_TIMER)
        for event, *values in events:
            getattr(self, event)(*values)
        while self.scheduled and self.scheduled[0][0] <= now:
            heappop(self.scheduled)[2]()
        if periodic:
            self.report_interval = self.bounded_report_interval()
            # Rule 1: a proxy that never acknowledges must not hold up the others.
            self.channel.expire_unacknowledged(now - RECENT_GRACES * self.bootstrap.grace)
            self.forget_removed_backends()
            self.eject_silent_backends()
            self.learn_capacity()
            self.recent_shares = [*self.recent_shares[1:], list(self.admitted_shares)]
        if periodic or self.allocation_due:
            self.update_allocation()
        if periodic or self.allocation_due or self.writes_due:
            self.write_changes(periodic)
        self.bind_waiting_proxies()
        self.finish_round()

    def schedule(self, delay, action):
        """Calls `action` in the first round after `delay`, and sets a timer for that round."""
        self.sequence += 1
        heappush(self.scheduled, (self.now + delay, self.sequence, action))
        self.writer.set_timer(self.now + delay, SCHEDULED_TIMER)

    def feedback_delay(self, cycles):
        """Time until something shows in reports: `cycles` and one report interval."""
        return (cycles + self.report_interval) * self.bootstrap.cycle

    # Events

    def backends_listed(self, scope, entries):
        """Discovery's list of backends. `scope` is "whole" (all backends), "held" (all, as known before the start),
        "changes" (those that changed), or "failed": the watch is then started again after a backoff with jitter."""
        if scope == "failed":
            self.failed_watches += 1
            self.sequence += 1
            backoff = self.bootstrap.cycle * 2 ** min(self.failed_watches, 4) // 4
            delay = min(self.bootstrap.watch_timeout // 4, backoff)
            jitter = zlib.crc32(f"{self.seed}:{self.sequence}".encode()) / 2**32
            self.schedule(int(delay * (0.5 + jitter)), lambda: self.writer.watch())
            return
        self.failed_watches = 0
        self.allocation_due = True
        for b, *entry in entries:
            self.backends.setdefault(b, Backend()).apply_list_entry(self.now, *entry)
        if scope != "changes":
            for b in self.backends.keys() - {entry[0] for entry in entries}:
                self.backends[b].missing_from_list(self.now)
        if self.withdraw_at is None and any(
            backend.state != "running" and not backend.withdrawn for backend in self.backends.values()
        ):
            # Others may join these withdrawals, as each message has an overhead.
            self.withdraw_at = self.now + int(GATHER_GRACES * self.bootstrap.grace)
            self.schedule(int(GATHER_GRACES * self.bootstrap.grace), lambda: setattr(self, "allocation_due", True))

    def forget_removed_backends(self):
        """Forgets backends that have been gone for long and that no table names, in all parts of the coordinator at
        once. Could do harm where one returns under its id: proxies may still hold it as withdrawn."""
        named = set(self.fallback_backends).union(*self.tables.values())
        for b, backend in list(self.backends.items()):
            if backend.state != "gone":
                backend.last_present_at = self.now
            elif self.now - backend.last_present_at > FORGET_GRACES * self.bootstrap.grace and b not in named:
                del self.backends[b]
                self.pending_withdrawals.discard(b)
                self.writer.forget(b)

    def proxy_joined(self, proxy_id, zone, typical_rate, uses_initial_table, inherited=0):
        """A proxy has joined. `typical_rate`: calls a second, by its own account; `uses_initial_table`: it holds only
        the backends that it drew at its start; `inherited`: withdrawals that it may still hold from elsewhere."""
        self.proxy_left(proxy_id)
        typical_rate = self.demand.join(proxy_id, zone, typical_rate, self.now)
        self.proxies[proxy_id] = Proxy(proxy_id, zone, typical_rate, self.now, uses_initial_table, inherited)
        self.users.join(proxy_id, self.proxies[proxy_id])
        self.scale_to_members(zone, typical_rate)
        if not self.repeat_scheduled:
            self.repeat_scheduled = True
            graces = 0.5 if self.subset_count else GATHER_GRACES
            self.schedule(int(graces * self.bootstrap.grace), self.repeat_withdrawals)

    def repeat_withdrawals(self):
        """Rule 3: proxies that have joined and still wait for a table may hold backends that were withdrawn before."""
        self.repeat_scheduled = False
        if self.users.waiting:
            for b in self.recently_withdrawn() - self.pending_withdrawals:
                self.backends[b].due_since = self.now
                self.pending_withdrawals.add(b)
                self.withdraw_at = self.now
                self.allocation_due = True

    def recently_withdrawn(self):
        """All withdrawn backends except those that went so long ago that no proxy's table should still name them."""
        since = self.now - RECENT_GRACES * self.bootstrap.grace
        return {
            b
            for b, backend in self.backends.items()
            if backend.withdrawn and (backend.state != "gone" or backend.last_present_at > since)
        }

    def proxy_left(self, proxy_id):
        proxy = self.proxies.pop(proxy_id, None)
        if proxy:
            self.channel.leave(proxy_id)
            self.users.leave(proxy_id, proxy)
            self.demand.leave(proxy_id)
            self.scale_to_members(proxy.zone, -proxy.call_rate())

    def scale_to_members(self, zone, change):
        """Scales what was learned from the joined proxies' use as their demand changes by `change` with one that joins
        or leaves. Could do harm where typical rates were far off."""
        total = self.demand.total_rate()
        in_zone = self.demand.zone_rate(zone)
        if total > 0 and total > change:
            self.scale_capacity(total / (total - change))
            self.peak_served_by_size *= total / (total - change)
        if in_zone > max(change, 0.0):
            self.zone_scale[zone] = self.zone_scale.get(zone, 1.0) * in_zone / (in_zone - change)
        elif in_zone > change:  # no proxy is left in the zone
            for backend in self.backends.values():
                backend.served_by_zone.get(zone, [0.0])[0] = 0.0

    def scale_capacity(self, factor):
        self.fleet_capacity = self.fleet_capacity and self.fleet_capacity * factor
        self.capacity_before_overload *= factor

    def attempts_reported(self, backend_id, zone, tries, unanswered, answer_time, period, load):
        """Tries that proxies of a zone made at a backend within `period`, those without an answer, the mean answer
        time, and the backend's own load report (busy cores, calls a second) or None."""
        backend = self.backends.get(backend_id)
        if backend is None or backend.state == "gone" or tries <= 0 or period <= 0:
            return
        answers = max(tries - unanswered, 0)
        decay = 0.5 ** (period / self.bootstrap.cycle)
        rate = answers * 1e6 / period / self.zone_scale.get(zone, 1.0)
        fresh = 1.0 - 0.2 ** (period / self.bootstrap.cycle)  # smoothed as demand is, with which it is compared
        known_rate = backend.served_by_zone.get(zone, [rate])[0]
        backend.served_by_zone[zone] = [rate * fresh + known_rate * (1.0 - fresh), self.now]
        backend.record_tries(tries, unanswered, decay)
        if not backend.ejected:  # what a backend that never answers loses is its own and not the fleet's
            totals = zip(self.attempt_totals, (tries, answers, answers * answer_time), strict=True)
            self.attempt_totals = [sum(pair) for pair in totals]
        if answers:
            backend.record_answers(answers, answer_time, ANSWER_TIME_MEMORY)
            backend.due_since = self.now if backend.ejected else backend.due_since
            backend.ejected = False
        if load and load[0] > IDLE_LOAD:
            backend.record_load(load[0] * self.warmth(backend), load[1], decay**0.25)

    def demand_reported(self, proxy_id, route, calls, period):
        """Calls of a route that a proxy received within `period`."""
        proxy = self.proxies.get(proxy_id)
        if proxy is None or period <= 0 or not 0 <= route < len(self.bootstrap.routes):
            return
        decay = 0.2 ** (period / self.bootstrap.cycle)
        demands = self.demands()
        known_rate = proxy.rate_by_route.get(route, proxy.typical_rate * demands[route] / max(sum(demands), 1e-9))
        rate = decay * known_rate + (1 - decay) * calls * 1e6 / period
        proxy.rate_by_route[route] = self.demand.report_rate(proxy_id, route, rate)
        # Whatever waits for reports counts in report intervals, as many lines are not in every cycle's reports.
        cycles = max(period / self.bootstrap.cycle, 1.0)
        self.report_interval += (cycles - self.report_interval) / (4 * len(self.proxies))

    def peers_reported_missing(self, backend_id, missing):
        """Answers of a backend that distinct peers miss. They halve each periodic round in which they are not reported
        again."""
        if backend_id in self.backends:
            self.backends[backend_id].peer_missing_answers = missing

    # Events that need no handling.
    timer_fired = probe_answered = peer_message_received = slice_given = slice_line = slice_calls = lambda *_: None

    # Health of backends, by symptoms

    def running(self):
        return {b: backend for b, backend in self.backends.items() if backend.state == "running"}

    def bounded_report_interval(self):
        """Cycles in which all lines of reports come round: as learned, and no less than the stated intake allows."""
        lines = len(self.proxies) * len(self.bootstrap.routes) + self.demand.active_zone_count() * len(self.running())
        stated_rate = self.bootstrap.report_lines_per_second
        return max(self.report_interval, lines * 1e6 / stated_rate / self.bootstrap.cycle if stated_rate else 0.0)

    def eject_silent_backends(self):
        """Ejects backends that owe more answers than chance accounts for, measured by what the others answered: late
        reports lower that measure too. Could do harm where one zone's reports fall behind; hence the cap on what is
        ejected. A single answer brings a backend back."""
        if not self.attempt_totals[0]:
            return
        running = self.running()
        demands = self.demands()
        expected = {}  # backend -> calls a second by the weights in force
        for table, weights in self.tables.items():
            total = sum(w for b, w in weights.items() if b in running)
            for b, w in weights.items():
                calls = demands[table % len(demands)] * self.demand_shares.get(table, 1.0)
                expected[b] = expected.get(b, 0.0) + calls * w / max(total, 1e-9)
        expected_total = sum(expected[b] for b in expected if b in running) or 1.0
        bound_share = (len(self.proxies) - len(self.users.unbound)) / max(len(self.proxies), 1)
        ejectable_size = sum(backend.size * (MAX_EJECTED_SHARE - backend.ejected) for backend in running.values())
        for b, backend in running.items():
            backend.silent_intervals += 1 / self.report_interval
            backend.missing_answers += self.attempt_totals[1] * bound_share * expected.get(b, 0.0) / expected_total
            # What peers miss adds to what is missing here. Could do harm where all of them err alike; hence something
            # has to be missing here, too.
            proved_here = (
                backend.missing_answers > EJECT_MISSING_ANSWERS and backend.silent_intervals >= EJECT_SILENT_INTERVALS
            )
            proved = (
                proved_here
                or (missing := self.unexplained_missing(backend))
                and missing + backend.peer_missing_answers > EJECT_MISSING_ANSWERS
            )
            backend.peer_missing_answers /= 2
            if not backend.ejected and proved and backend.size <= ejectable_size:
                backend.ejected = True
                ejectable_size -= backend.size
                self.writer.log(f"backend {b} shut out: it never answers")

    def unexplained_missing(self, backend):
        """Answers missing beyond those of the periodic round of its last answer; 0 while that is no sign of failure."""
        intervals = backend.silent_intervals - 1 / self.report_interval
        enough = intervals >= MIN_LOCAL_SILENT_INTERVALS
        missing = backend.missing_answers * intervals / backend.silent_intervals if enough else 0.0
        # A backend may be silent while it starts.
        started = self.warmth(backend) >= 1.0 and self.now - backend.due_since > self.bootstrap.warm_up_time
        return missing if missing >= MIN_LOCAL_MISSING and started else 0.0

    def missing_answers(self):
        """What peers may be told: running backends that miss answers, and how many."""
        return {b: missing for b, backend in self.running().items() if (missing := self.unexplained_missing(backend))}

    def warmth(self, backend):
        """Rule 4: the least share of its capacity that is stated for a cold backend's age; 1.0 once it is warm."""
        age = max(self.now - backend.started, 0) / self.bootstrap.warm_up_time if backend.started else 1.0
        return self.bootstrap.cold_start_capacity + (1 - self.bootstrap.cold_start_capacity) * min(age, 1.0)

    # Learned capacity and demand

    def demands(self):
        """Calls a second by route. For newcomers that have not reported yet the typical rate counts, split like the
        others' demand."""
        self.demand.update_settled(self.now - self.feedback_delay(SETTLED_CYCLES))
        return self.demand.expected_rates()

    def first_try_demands(self):
        """Demand without the calls that were refused and come again. With them the return from overload would lag."""
        return [
            demand * (1.0 - RETRY_SHARE * (1.0 - share))
            for demand, share in zip(self.demands(), self.recent_shares[0], strict=True)
        ]

    def learn_capacity(self):
        """Learns the fleet's capacity from what was served. A periodic round without reports teaches nothing."""
        tries, answers, answer_time_sum = self.attempt_totals
        self.attempt_totals = [0] * 3
        if not tries or self.demand.newcomer_rate() > MAX_UNKNOWN_SHARE * self.demand.total_rate():
            return  # proxies that have just joined count as demand before reports show what they were served
        for backend in (running := self.running().values()):
            backend.decay(self.now - self.feedback_delay(0), 0.5, 0.5 ** (1 / self.report_interval))
        served = sum(backend.answer_rate(self.zone_scale) for backend in running)
        mostly_reported = self.fleet_size and 2 * served > self.demand.total_rate()  # few reports are in after a start
        self.peak_served_by_size = max(
            self.peak_served_by_size * PEAK_DECAY, served / self.fleet_size if mostly_reported else 0.0
        )
        answer_time = answer_time_sum / answers if answers else 0.0
        slow_time = SLOW_SLO_SHARE * min(route.slo for route in self.bootstrap.routes)
        if answer_time > slow_time:
            # Only slow answers tell that the fleet is full. Could do harm where queues at backends are very short.
            # The capacity drops once and not again until the drop can show in reports. What is served now is possible.
            capacity = self.fleet_capacity or served
            self.capacity_before_overload = (
                self.capacity_before_overload if self.overloaded else capacity * self.fill_level
            )
            if not self.overloaded or self.now - self.capacity_dropped_at >= self.feedback_delay(FEEDBACK_CYCLES):
                capacity = min(capacity, capacity * self.fill_level / 2)
                self.capacity_dropped_at = self.now
            self.overloaded = True
            self.fleet_capacity = max(capacity, served * max(slow_time / answer_time, QUEUE_DRAIN_SHARE))
        elif self.fleet_capacity is None:
            self.fleet_capacity = served / ASSUMED_LOAD
        else:
            # Half of the way back to what was served before the overload; then a tenth a cycle, more if far from slow.
            growth_cycles = min(max(slow_time / max(answer_time, 1.0) - 1.0, 0.5), 3.0)
            growth = CAPACITY_GROWTH**growth_cycles if self.fill_level > GROWTH_MIN_LEVEL else 1.0
            self.overloaded = False
            self.fleet_capacity = max(
                self.fleet_capacity * growth, (self.fleet_capacity + self.capacity_before_overload) / 2
            )

    def capacities(self):
        """What each running backend can take now, in calls a second: the fleet's capacity, split by the backends' load
        reports where there are any, else by size over answer time. A backend without answers counts as average for its
        size among its kind."""
        running = self.running()
        parts = {}  # backend -> its part of the fleet's capacity, in any unit
        has_reports = any(backend.busy_cores for backend in running.values())
        all_tries = max(sum(backend.tries for backend in running.values()), 1e-9)
        fleet_answered = 1.0 - sum(backend.unanswered for backend in running.values()) / all_tries
        for kind in {backend.kind for backend in running.values()}:
            known = [
                backend for backend in running.values() if (backend.busy_cores if has_reports else backend.answer_count)
            ]
            known = [backend for backend in known if self.warmth(backend) >= 1.0 or not self.subset_count] or known
            alike = [backend for backend in known if backend.kind == kind] or known
            size = sum(backend.size for backend in alike)
            answers = sum(backend.answer_count for backend in alike)
            capacity_by_size = (
                sum(backend.reported_capacity(self.zone_scale, self.bootstrap.coordinators) for backend in alike) / size
                if has_reports
                else 0.0
            )
            answer_time = (
                sum(backend.answer_time * backend.answer_count for backend in alike) / answers if answers else 1.0
            )
            for b, backend in [(b, backend) for b, backend in running.items() if backend.kind == kind]:
                average = capacity_by_size * backend.size if has_reports else backend.size / max(answer_time, 1e-9)
                if has_reports:
                    own = (
                        backend.reported_capacity(self.zone_scale, self.bootstrap.coordinators)
                        if backend.busy_cores
                        else average
                    )
                else:
                    own_time_sum = backend.answer_count * backend.answer_time + ANSWER_TIME_PRIOR * answer_time
                    own = backend.size / max(own_time_sum / (backend.answer_count + ANSWER_TIME_PRIOR), 1e-9)
                enough_tries = backend.tries > MIN_TRIES_FOR_LOSSES
                answered = 1.0 - backend.unanswered / backend.tries if enough_tries else 1.0
                warmth = self.warmth(backend)
                # Rule 4: whatever it reports itself, a cold backend gets no more than an average warm one.
                limited = self.subset_count and warmth < 1.0
                parts[b] = min(own * answered * warmth, average * fleet_answered if limited else float("inf"))
        total = sum(parts.values()) or 1.0
        fleet_size = sum(backend.size * self.warmth(backend) for backend in running.values())
        self.scale_capacity(fleet_size / self.fleet_size if self.fleet_size else 1.0)
        self.fleet_size = fleet_size
        if has_reports:  # the capacity does not grow beyond what is reported
            self.fleet_capacity = (
                min(self.fleet_capacity, total) if self.fleet_capacity and self.capacity_before_overload else total
            )
        self.cold_shares = {
            b: parts[b] / total for b, backend in running.items() if self.warmth(backend) < 1.0 and not backend.ejected
        }
        self.has_load_reports = has_reports
        is_release = self.subset_count and not has_reports and len(self.cold_shares) > RELEASE_COLD_SHARE * len(running)
        self.capacity_ceiling = (
            RELEASE_CAPACITY_MULTIPLE * self.peak_served_by_size * fleet_size
            if is_release and self.peak_served_by_size
            else UNLIMITED
        )
        self.fleet_capacity = self.fleet_capacity and min(self.fleet_capacity, self.capacity_ceiling)
        capacity = self.fleet_capacity or sum(self.demands()) / ASSUMED_LOAD or 1.0
        return {b: 0.0 if backend.ejected else capacity * parts[b] / total for b, backend in running.items()}

    # Allocation: the waterfill decides rates, admitted shares and weights

    def eligible_backends(self, route, zone):
        may_go = self.bootstrap.routes[route].allows
        return [
            b
            for b, backend in self.running().items()
            if may_go(backend.kind, backend.zone) and zone in (None, backend.zone)
        ]

    def subset_members(self, eligible, subset):
        """Those of the eligible backends that a subset's table names. A table spans the backends of two subsets, and of
        more where a route may go to few backends or, rule 4, where a release has left few entries for all of its
        proxies. A cold backend is in one table fewer, as proxies that avoid full backends turn to it at any weight."""
        if not self.subset_count or not eligible:
            return eligible
        span = -(-2 * len(self.subset_of_backend) // len(eligible))
        members = []
        least = min(MIN_TABLE_SHARE * span * len(eligible) / self.subset_count, len(eligible))
        while len(members) < least:
            members = [
                b
                for b in eligible
                if (self.subset_of_backend[b] - subset) % self.subset_count < span - (b in self.cold_shares)
            ]
            span += 1
        return members

    def update_subsets(self):
        """Divides the fleet into subsets with a table each where the channel could not bring full tables in time to all
        proxies that this coordinator may have to serve. A backend is in two tables, so that Algorithm 2 evens out the
        demand of their proxies. Could do harm where these are few."""
        running = self.running()
        bootstrap = self.bootstrap
        proxies = min(TAKEOVER_FACTOR / bootstrap.coordinators, 1.0) * bootstrap.proxies
        lines = proxies * (len(bootstrap.routes) * len(running) + self.message_overhead)
        full_tables_time = lines * 1e6 / bootstrap.channel_lines_per_second
        in_use = self.subset_count or self.users.proxies_by_table or self.fallback_backends
        if full_tables_time > bootstrap.warm_up_time and not in_use:
            lines_per_proxy = bootstrap.channel_lines_per_second * bootstrap.grace * BIND_ALL_GRACES / 1e6 / proxies
            entries = lines_per_proxy - self.message_overhead - 1 - len(bootstrap.routes)
            entries /= len(Layout(bootstrap.routes, bootstrap.zones, 1).route_groups)
            entries = min(max(entries, MIN_TABLE_ENTRIES), MAX_TABLE_ENTRIES)
            self.subset_count = max(int(2 * len(running) / entries), 1)
            for table, b in [(table, b) for table, weights in self.tables.items() for b in weights]:
                self.writer.set_weight(table, b, 0.0)
            self.tables = {}
            self.theta = {}
            self.layout = Layout(bootstrap.routes, bootstrap.zones, self.subset_count)
            self.users.tables_per_proxy = len(self.layout.route_groups)
        if self.subset_count and running.keys() != self.subset_of_backend.keys():
            self.subset_of_backend = {b: subset for b, subset in self.subset_of_backend.items() if b in running}
            sizes = Counter(
                (subset, zone) for b, subset in self.subset_of_backend.items() for zone in (None, running[b].zone)
            )
            added = running.keys() - self.subset_of_backend.keys()
            for b in sorted(added, key=lambda b: zlib.crc32(f"{self.seed}:{b}".encode())):
                zone = running[b].zone
                self.subset_of_backend[b] = min(
                    range(self.subset_count), key=lambda subset: (sizes[subset, None], sizes[subset, zone], subset)
                )
                sizes.update([(self.subset_of_backend[b], None), (self.subset_of_backend[b], zone)])

    def update_allocation(self):
        """Computes the multipliers of all tables and the admitted shares of all routes from demand and capacity."""
        self.update_subsets()
        demands = self.first_try_demands()
        capacity = self.capacities()
        ranks = sorted({route.importance for route in self.bootstrap.routes})
        table_rates = {
            table: sum(proxy.call_rate() for proxy in self.users.of_table(table))
            for table in self.users.proxies_by_table
            if self.subset_count
        }
        total_rate = sum(table_rates.values()) / len(self.layout.route_groups) or 1.0
        eligible = {
            key: self.eligible_backends(*key) for key in {(routes[0], zone) for _, routes, zone, _ in self.layout}
        }
        wants, weights, demand_shares = {}, {}, {}  # by (table, route); the same; by table
        self.subset_load = [[0.0, 1e-9] for _ in range(self.subset_count)]
        for table, routes, zone, subset in self.layout:
            paths = self.subset_members(eligible[routes[0], zone], subset)
            old_theta = self.theta.pop(table, {})
            path_capacity = sum(capacity[b] for b in paths)
            if not paths:
                continue
            by_capacity = {b: capacity[b] / path_capacity if path_capacity > 0 else 1 / len(paths) for b in paths}
            self.theta[table] = self.apply_floor({b: old_theta.get(b, by_capacity[b]) for b in paths})
            demand_shares[table] = self.demand.typical_rate(zone) / (self.demand.typical_rate() or 1.0)
            if self.subset_count:
                rate = table_rates.get(table, 0.0)
                demand_shares[table] = rate / total_rate
                load = zip(self.subset_load[subset], (rate, path_capacity), strict=True)
                self.subset_load[subset] = [max(pair) for pair in load]
            for route in routes:
                want = demands[route] * demand_shares[table]
                rank = ranks.index(self.bootstrap.routes[route].importance)
                if want > 0:  # a route without demand keeps its multipliers and a full share
                    wants[table, route] = want
                    weights[table, route] = want * IMPORTANCE_FACTOR**rank
        self.demand_shares = demand_shares if self.subset_count else {}
        if not wants:
            return
        utilization = self.utilization(wants, capacity)
        never_overloaded = not self.overloaded and not self.capacity_before_overload
        if utilization > 1.0 and never_overloaded and self.capacity_ceiling == UNLIMITED:
            # Until something was slow, the fleet is believed to serve whatever is asked.
            capacity = {b: c * utilization for b, c in capacity.items()}
            self.fleet_capacity = sum(capacity.values())
            utilization = 1.0
        grants = wants
        if utilization > 1.0:
            # What each route may have, the important ones first. A route that gets all it wants is limited by no
            # backend.
            rates, _ = self.run_waterfill(wants, weights, capacity)
            grants = {key: sum(rate.values()) for key, rate in rates.items()}
            utilization = self.utilization(grants, capacity)
        self.fill_level = min(1.0, max(utilization, 1e-6))
        table_grants = sum_by_table(grants)
        cold_factor = self.cold_share_factor(sum(self.demands()))
        limits = {b: c * self.fill_level * (cold_factor if b in self.cold_shares else 1.0) for b, c in capacity.items()}
        _, thetas = self.run_waterfill(table_grants, table_grants, limits)
        self.theta.update({table: theta for (table, _), theta in thetas.items()})
        for route in range(len(demands)):
            keys = [key for key in wants if key[1] == route]
            if keys:
                share = sum(grants[key] for key in keys) / sum(wants[key] for key in keys)
                self.granted_rates[route] = sum(grants[key] for key in keys)
                # `share` is that of first tries. Of all calls it is lower, as refused ones come again.
                self.admitted_shares[route] = (
                    1.0 if share > 1.0 - LEVEL_TOLERANCE else share * (1 - RETRY_SHARE) / (1 - RETRY_SHARE * share)
                )

    def cold_share_factor(self, calls):
        """Rule 4: the factor of a cold backend's share while more is asked than was ever served. It is squared, as
        proxies also bring a cold backend the calls that full ones refuse. Could do harm where all of a burst can be
        served."""
        overload_multiple = self.bootstrap.cold_overload_multiple
        most = overload_multiple * COLD_SAFETY_SHARE * self.peak_served_by_size * self.fleet_size
        applies = self.subset_count and not self.has_load_reports and most and calls
        return min(most / calls, 1.0) ** 2 if applies else 1.0

    def utilization(self, wants, capacity):
        """The share of the capacity that the wants take, of all or of any one table, with a little slack for the
        multiplier loop."""
        by_table = [
            want / max(sum(capacity[b] for b in self.theta[table]), 1e-9)
            for (table, _), want in sum_by_table(wants).items()
        ]
        return FILL_SLACK * max(*by_table, sum(wants.values()) / max(sum(capacity.values()), 1e-9))

    def run_waterfill(self, wants, weights, capacity):
        """The multiplier loop around Algorithm 2, which starts from the multipliers of the last time. Returns rates and
        multipliers, both by the keys of `wants`."""
        keys = list(wants)
        thetas = [self.theta[table] for table, _ in keys]
        for _ in range(MAX_ITERATIONS):
            rates = waterfill(list(wants.values()), list(weights.values()), thetas, capacity)
            before = list(thetas)
            for k, rate in enumerate(rates):
                total = sum(rate.values())
                if total > 0:
                    thetas[k] = self.apply_floor({b: f / total for b, f in rate.items()})
            moves = zip(before, thetas, strict=True)
            if all(abs(t - old[b]) * len(old) < MULTIPLIER_TOLERANCE for old, new in moves for b, t in new.items()):
                break  # where no backend limits the rates, this is after the first iteration
        return dict(zip(keys, rates, strict=True)), dict(zip(keys, thetas, strict=True))

    def apply_floor(self, theta):
        """Raises multipliers to the design's floor, which also keeps a trickle of calls to ejected backends. Rule 4:
        cold backends are raised to their share of the capacity and no further."""
        even = MULTIPLIER_FLOOR / len(theta)
        raised = {b: max(t, min(even, self.cold_shares.get(b, even))) for b, t in theta.items()}
        total = sum(raised.values()) or 1.0
        return {b: t / total for b, t in raised.items()}

    # Output: weights, withdrawals, levels, bindings

    def admission_level(self, route):
        """The admitted share of a route; where admission is by rate, the calls a second that, as the same limit for
        every proxy, admit that share."""
        if self.bootstrap.admission != "per_second":
            return round(self.admitted_shares[route], 3) if self.bootstrap.admission == "fraction" else 1.0
        demands = self.demands()
        route_share = demands[route] / max(sum(demands), 1e-9)
        rates = [
            proxy.rate_by_route.get(route, 0.0) if proxy.rate_by_route else proxy.typical_rate * route_share
            for proxy in self.proxies.values()
        ]
        if self.admitted_shares[route] >= 1.0 or not rates:
            return UNLIMITED
        return round(equal_limit(rates, self.granted_rates[route]), 3)

    def set_withdrawn(self, backends, withdrawn, backlog_share):
        """Withdraws backends or lets them back in, with a line for each at each proxy that may hold them. All are
        written at once, as every message has an overhead; while no more than half of the backlog waits, as many as fit
        are written. Returns the backends that remain."""
        changed = [b for b in backends if self.backends[b].withdrawn != withdrawn]  # the others are only repeated
        # All proxies may hold a backend that a table names; with subsets, only after a withdrawal in an earlier round.
        # Otherwise only proxies that wait may hold it.
        named = any(b in weights for b in changed for weights in self.tables.values())
        named = named and (
            not self.subset_count or any(0 < self.backends[b].withdrawal_sent_at < self.now for b in backends)
        )
        holders = (self.proxies if named else self.users.waiting).values()
        since = 0 if changed else min((self.backends[b].withdrawal_sent_at for b in backends), default=0)
        holders = [proxy for proxy in holders if proxy.joined_at >= since]  # the others were told before
        space = backlog_share * self.bootstrap.backlog - self.channel.queued_lines
        count = max(int(space / max(len(holders), 1) - self.message_overhead), 0)
        full = self.channel.queued_lines > self.bootstrap.backlog / 2 and count < len(backends)
        can_wait = backlog_share < BACKLOG_WITHDRAWALS
        if full or can_wait and not self.has_room(holders, backlog_share, len(backends)):
            return backends
        for b in backends[:count]:
            sent_at = self.now if holders else self.backends[b].withdrawal_sent_at
            self.backends[b].withdrawn = withdrawn
            self.backends[b].withdrawal_sent_at = sent_at if withdrawn else 0
            self.writer.withdraw(b, withdrawn)
        self.channel.charge(holders, len(backends[:count]))
        return backends[count:]

    def has_room(self, proxies, backlog_share, lines=1, table=None):
        """Rule 5: whether something that can wait may be written now, `lines` to each of the proxies. Half of the
        messages that are counted for the message limit stay free for what cannot wait."""
        near_limit = self.channel.near_message_limit(
            proxies, self.now - self.bootstrap.message_limit_window, self.bootstrap.message_limit
        )
        if backlog_share < BACKLOG_WITHDRAWALS and (self.withdrawals_overdue or near_limit):
            return False
        added = lines * len(proxies) + self.message_overhead * self.channel.messages_needed(proxies, table)
        return self.channel.queued_lines + added <= self.line_budget(backlog_share, len(proxies))

    def line_budget(self, backlog_share, proxy_count):
        """Lines that may wait in the channel when something is written to so many proxies."""
        half_grace_lines = self.bootstrap.channel_lines_per_second * self.bootstrap.grace / 2e6
        budget = backlog_share * min(self.bootstrap.backlog, half_grace_lines)
        with_overhead = budget / 2 + self.message_overhead * proxy_count
        most = BACKLOG_MANY_PROXIES * self.bootstrap.backlog
        return max(budget, min(with_overhead, most) * (backlog_share > BACKLOG_IMMEDIATE))

    def write_changes(self, periodic):
        """Writes what has changed: entries of tables first (rule 1), then withdrawals (rule 3), then levels. What can
        wait is gathered for the periodic round."""
        changes = []  # (priority, negative change of the rate, table, backend, weight)
        unplaced = set()  # backends with an entry that did not fit into the channel
        filled = set()  # subsets' tables with an entry written in this round
        demands = self.demands()
        recently_withdrawn = self.recently_withdrawn()
        has_waiting = bool(self.users.waiting)
        withdrawals_due = periodic or self.withdraw_at is not None and self.now >= self.withdraw_at
        for table, routes, _, _ in self.layout:
            theta = self.theta.get(table, {})
            weights = self.tables.setdefault(table, {})
            rate = sum(demands[route] for route in routes) * self.demand_shares.get(table, 1.0) / max(len(theta), 1)
            empty = not any(self.backends[b].state == "running" and not self.backends[b].withdrawn for b in weights)
            urgent = self.urgent_entries(theta, weights)
            for b, t in theta.items():
                weight = float(f"{t * len(theta):.3g}")
                old = weights.get(b, 0.0)
                if abs(weight - old) > WEIGHT_TOLERANCE * old:
                    missing = old == 0.0 or self.backends[b].withdrawn
                    usual = MISSING_ENTRY if missing else OTHER_CHANGE
                    priority = EMPTY_TABLE if empty else SKEWED_TABLE if b in urgent else usual
                    changes.append((priority, -abs(weight - old) * rate, table, b, weight))
            for b in (b for b in weights if (theta or self.subset_count) and b not in theta):
                leaving = self.subset_count and self.backends[b].state != "running"
                usual = OTHER_CHANGE + (b in recently_withdrawn)  # or WITHDRAWN_BACKEND, the next number
                priority = LEAVING_BACKEND if leaving else SKEWED_TABLE if b in self.cold_shares else usual
                changes.append((priority, -UNLIMITED, table, b, 0.0))
        self.entries_missing = self.writes_due = removals_wait = False
        for priority, _, table, b, weight in sorted(changes):
            users = self.users.of_table(table)
            pressing = priority < OTHER_CHANGE
            gathered = BACKLOG_NEW_ENTRIES if pressing or has_waiting else BACKLOG_WEIGHTS
            immediate = BACKLOG_IMMEDIATE if pressing else 0.0
            backlog_share = gathered if periodic else immediate
            if priority == LEAVING_BACKEND or priority == SKEWED_TABLE and not self.bindings_delayed:
                # Rule 3: proxies that are bound to a subset's table hold no other entries, so this withdraws a backend.
                backlog_share = BACKLOG_WITHDRAWALS if withdrawals_due else BACKLOG_IMMEDIATE
            elif self.bindings_delayed and priority:
                skewed = priority == SKEWED_TABLE and periodic
                backlog_share = min(backlog_share, BACKLOG_SKEWED_TABLES if skewed else BACKLOG_IMMEDIATE)
            # Entries of an empty table do not wait; in a subset's table, only the first one does not. A table without
            # proxies takes no lines in the channel.
            can_wait = priority or table in filled
            if can_wait and users and not self.has_room(users, backlog_share, 1, table):
                removals_wait = removals_wait or priority == LEAVING_BACKEND
                unplaced.add(b)  # it is not let back in either
                self.entries_missing = self.entries_missing or priority in (EMPTY_TABLE, MISSING_ENTRY)
                continue
            filled.update((table,) if self.subset_count else ())
            self.tables[table][b] = weight
            if not weight:
                del self.tables[table][b]
            self.writer.set_weight(table, b, weight)
            backend = self.backends[b]
            backend.withdrawal_sent_at = backend.withdrawal_sent_at or self.now * backend.withdrawn
            # The proxies may be told to withdraw the backend, or to let it back in, as well.
            extra = backend.withdrawn or self.subset_count and weight and any(proxy.inherited for proxy in users)
            self.channel.charge_table(table, 1 + bool(extra), users)
        returned = [
            b
            for b, backend in self.backends.items()
            if backend.withdrawn and backend.state == "running" and b not in unplaced
        ]
        # Those not withdrawn yet, and those to be withdrawn again while proxies wait.
        stopped = [
            b
            for b, backend in self.backends.items()
            if backend.state != "running" and backend.withdrawn <= (has_waiting and b in self.pending_withdrawals)
        ]
        stopped.sort(key=lambda b: (self.backends[b].due_since, b))
        if self.subset_count:
            # Proxies that are bound lose the entry instead; a binding withdraws all that is withdrawn, for fewer lines.
            held = set().union(*self.tables.values())
            # Proxies are stuck that have waited for a cycle although the channel has room, as no table exists for them.
            first_waiting = next(iter(self.users.waiting.values()), None)
            stuck = (
                first_waiting
                and not self.bindings_delayed
                and self.now - first_waiting.joined_at > self.bootstrap.cycle
            )
            stopped = [b for b in stopped if b not in held and (stuck or not has_waiting)]
        backlog_share = BACKLOG_WITHDRAWALS if withdrawals_due else BACKLOG_IMMEDIATE
        repeated = [b for b in stopped if self.backends[b].withdrawn]
        rest = self.set_withdrawn([b for b in stopped if b not in repeated], True, backlog_share)
        rest = rest + self.set_withdrawn(repeated, True, backlog_share)
        self.pending_withdrawals.intersection_update(rest)
        self.withdrawals_overdue = withdrawals_due and bool(rest)
        self.withdraw_at = self.withdraw_at if rest or removals_wait else None
        if self.withdrawals_overdue or removals_wait:
            self.schedule(
                self.bootstrap.cycle // 10,
                lambda: setattr(self, "writes_due" if self.subset_count else "allocation_due", True),
            )
        self.set_withdrawn(returned, False, BACKLOG_WITHDRAWALS if periodic else BACKLOG_IMMEDIATE)
        for route in range(len(self.bootstrap.routes)):
            level = self.admission_level(route)
            old = self.sent_levels.get(route, -1.0)
            proxies = self.proxies.values()
            # Rule 4: calls meant for backends without an entry are not admitted. This holds for all tables, as some
            # proxies are not bound yet.
            level = round(level * self.share_in_force(route), 3)
            moved = periodic and (abs(level - old) > LEVEL_TOLERANCE * old or level == 1.0 != old)
            backlog_share = BACKLOG_IMMEDIATE if self.bindings_delayed else BACKLOG_LEVELS
            if old < 0.0 or moved and self.has_room(proxies, backlog_share):
                self.sent_levels[route] = level
                self.writer.set_admission(None, (route,), level, RETRY_ONLY_ON_PROOF)
                self.channel.charge(proxies)

    def urgent_entries(self, theta, weights):
        """Rule 4: the entries of a subset's table that cannot wait: all of a table that brings a cold backend far more
        than its decided share, or of which less than half is in force. Could do harm by taking the channel from
        bindings."""
        in_force = {b: w for b, w in weights.items() if self.backends[b].state == "running"}
        most = COLD_OVERWEIGHT * sum(in_force.values())
        overweight = {b for b in theta.keys() & self.cold_shares.keys() if in_force.get(b, 0.0) > most * theta[b]}
        return (
            theta
            if self.subset_count and (overweight or sum(t for b, t in theta.items() if b in in_force) < MIN_TABLE_SHARE)
            else ()
        )

    def share_in_force(self, route):
        """The share of a route's rates that is meant for backends that have an entry and are not withdrawn."""
        total = in_force = 0.0
        for table in (table for table, routes, *_ in self.layout if route in routes):
            for b, t in self.theta.get(table, {}).items():
                rate = t * self.demand_shares.get(table, 1.0)
                total += rate
                in_force += rate if b in self.tables[table] and not self.backends[b].withdrawn else 0.0
        return in_force / total if in_force < (1.0 - LEVEL_TOLERANCE) * total else 1.0

    def bind_to_fallback_table(self, waiting):
        """Rule 1: a release takes away the backends that proxies drew at their start. Proxies that wait for a binding
        get a small table of warm backends meanwhile. Could do harm by overloading these."""
        open_to_all = set.intersection(
            *(set(self.eligible_backends(route, None)) for route in range(len(self.bootstrap.routes)))
        )
        able = {b for b in open_to_all if self.warmth(self.backends[b]) >= 1.0 and not self.backends[b].withdrawn}
        table = len(self.bootstrap.routes) * (1 + self.bootstrap.zones)  # the first number that the layout leaves free
        users = [proxy for proxy in self.proxies.values() if proxy.on_fallback_table]
        added = sorted(able - set(self.fallback_backends), key=lambda b: (-self.theta.get(0, {}).get(b, 0.0), b))
        too_few = 2 * len(able & set(self.fallback_backends)) < FALLBACK_TABLE_ENTRIES
        for b in added[:FALLBACK_TABLE_ENTRIES] if too_few else ():
            if self.has_room(users, BACKLOG_NEW_ENTRIES):
                self.writer.set_weight(table, b, 1.0)
                self.channel.charge(users)
                self.fallback_backends.append(b)
        for proxy_id, routes in waiting.items() if self.fallback_backends else ():
            proxy = self.proxies[proxy_id]
            cost = self.binding_cost(self.fallback_backends, self.proxies[proxy_id])
            routes = [route for route in routes if not self.bootstrap.routes[route].own_zone]
            if routes and not proxy.on_fallback_table and self.has_room([proxy], BACKLOG_NEW_ENTRIES, cost):
                self.writer.bind(proxy_id, table, routes)
                proxy.on_fallback_table = True
                self.channel.charge([proxy], cost)

    def binding_cost(self, backends, proxy, withdrawn=None):
        """Lines of a message that binds a proxy to a table of these backends: levels, entries, withdrawals, and
        inherited withdrawals that are lifted. `withdrawn`: how many of the backends are, where that is known."""
        most = len(backends) if self.subset_count else proxy.inherited
        lifted = 0 if proxy.bound_tables or proxy.on_fallback_table else min(proxy.inherited, most)
        withdrawn = sum(self.backends[b].withdrawn for b in backends) if withdrawn is None else withdrawn
        return 1 + len(self.bootstrap.routes) + len(backends) + withdrawn + lifted

    def bind_waiting_proxies(self):
        """Binds proxies that wait to the shared tables, after withdrawals and after entries of tables without any."""
        self.bindings_delayed = False
        if not self.users.waiting:
            while self.fallback_backends:
                table = len(self.bootstrap.routes) * (1 + self.bootstrap.zones)
                self.writer.set_weight(table, self.fallback_backends.pop(), 0.0)
            return
        demands = self.demands()
        candidates = []  # heap of (holds ordered tables, negative rate for each line, proxy, table, route)
        delayed = {}  # proxy -> routes
        withdrawn = len(self.recently_withdrawn())
        running = self.running().values()
        fleet_unknown = self.fleet_capacity is None or (
            sum(not backend.answer_count for backend in running) > MAX_UNKNOWN_SHARE * len(running)
        )
        if self.subset_count:
            return self.bind_to_subsets()
        tables = [
            (table, route, zone, len(self.tables[table]))
            for table, (route,), zone, _ in self.layout
            if self.tables.get(table)
        ]
        use_fallback = self.withdraw_at is None and withdrawn > AT_RISK_SHARE * (withdrawn + len(running))
        least = 1 + len(self.bootstrap.routes) + min((entries for *_, entries in tables), default=0)
        if not tables or not use_fallback and self.bindings_blocked(least):
            return
        for proxy_id, proxy in self.users.waiting.items():
            early = self.now - proxy.joined_at < self.feedback_delay(FEEDBACK_CYCLES)
            has_ordered_tables = not proxy.uses_initial_table
            if has_ordered_tables and fleet_unknown and early and withdrawn < (withdrawn + len(running)) / 2:
                continue  # after a crash, the tables of a coordinator that knew the fleet are better
            rate = proxy.call_rate()
            for table, route, zone, entries in tables:
                if table not in proxy.bound_tables and zone in (None, proxy.zone):
                    candidates.append((has_ordered_tables, -rate * demands[route] / entries, proxy_id, table, route))
        withdrawn_in_table = {
            table: sum(self.backends[b].withdrawn for b in self.tables[table]) for table, *_ in tables
        }
        heapify(candidates)
        while candidates and (use_fallback or not self.bindings_blocked(least)):
            _, _, proxy_id, table, route = heappop(candidates)
            proxy = self.proxies[proxy_id]
            cost = self.binding_cost(self.tables[table], self.proxies[proxy_id], withdrawn_in_table[table])
            if self.bindings_blocked(least) or not self.has_room([proxy], BACKLOG_BINDINGS, cost):
                delayed.setdefault(proxy_id, []).append(route)
                continue
            self.writer.bind(proxy_id, table, (route,))
            self.users.bind(proxy_id, proxy, table)
            self.channel.charge([proxy], cost)
            self.channel.exclude_new_binding(proxy, (table,))
        if delayed and use_fallback:
            self.bind_to_fallback_table(delayed)

    def bind_to_subsets(self):
        """Binds each proxy that waits to the subset with the lowest load, in the order of joining."""
        for proxy_id, proxy in list(
            islice(self.users.waiting.items(), int(self.bootstrap.backlog // self.message_overhead))
        ):
            if proxy.subset is None:
                proxy.subset = min(
                    range(self.subset_count),
                    key=lambda subset: self.subset_load[subset][0] / self.subset_load[subset][1],
                )
            layout_tables = self.layout.tables_for(proxy.subset, proxy.zone)
            tables = [
                (table, routes)
                for table, routes in layout_tables
                if self.tables.get(table) and table not in proxy.bound_tables
            ]
            cost = len(tables) + self.binding_cost([b for table, _ in tables for b in self.tables[table]], proxy)
            lines = self.channel.queued_lines + self.message_overhead + cost
            self.bindings_delayed = bool(tables) and lines > self.line_budget(BACKLOG_BINDINGS, 1)
            if self.bindings_delayed:
                break
            for table, routes in tables:
                self.writer.bind(proxy_id, table, tuple(routes), True)
                self.users.bind(proxy_id, proxy, table)
            self.channel.charge([proxy], cost * bool(tables))
            self.channel.exclude_new_binding(proxy, [table for table, _ in tables])
            self.subset_load[proxy.subset][0] += proxy.call_rate() * bool(tables)

    def bindings_blocked(self, least):
        """Whether not even the smallest binding, of `least` lines, may be written now."""
        pressing = self.entries_missing or self.withdrawals_overdue or self.withdraw_at is not None
        return pressing or self.channel.queued_lines + least > self.line_budget(BACKLOG_BINDINGS, 1)

    def finish_round(self):
        """Asks the proxies that get a message to acknowledge it, and hands the round's lines to the channel's count."""
        reached = ()
        if self.channel.charged_proxies:
            self.ack_number = (self.ack_number + 1) % 65536
            reached = self.writer.request_ack(self.ack_number)
        self.channel.commit_round(self.ack_number, reached, self.now, self.bootstrap.message_limit)
