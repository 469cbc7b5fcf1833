"""Decides how calls are spread over backends: adaptive multi-path waterfilling over routes and backends.

The method is Algorithm 2 in section 3.2 of Namyar et al., "Solving Max-Min Fair Resource Allocations Quickly on Large
Graphs" (Soroush), NSDI 2024; "the paper" and "Algorithm 2" below refer to it. `waterfill` shares the capacity of the
backends among the demands by weights, where multipliers state how each demand is split over its backends. The
multiplier loop around it, `run_waterfill`, sets the multipliers in proportion to the rates that came out and repeats
until they no longer move.

`Planner` makes all decisions of a coordinator. It does no I/O and reads no clock. Each coordinator has one,
`planner = Planner(bootstrap, seed)`, and calls `planner.round(now, events, writer)` for each batch of events. An event
is a tuple of its name (a method under "Events") and its values; the batch is in the order in which they happened.
Decisions go into `writer` in the order in which they are made. `Bootstrap` and `Writer` are defined in
cranecleat/interface.py.

Times are whole microseconds, rates are calls per second, ids are small indices; `b` is a backend's. A table maps
backends to weights and is shared by the proxies that are bound to it. A backend's multiplier in a table (theta) is its
share of the table's calls; its weight is the multiplier times the number of backends in the table, so that 1.0 is an
equal share. The channel carries all messages of this coordinator to its proxies. A line is the unit of what it sends:
an entry of a table, a withdrawal, a level, a binding. The design and its reasons are described in
docs/design/planner.md.

A binding tells a proxy which table to use for a route. A proxy waits as long as it lacks the binding to one of its
tables. A withdrawal tells proxies to send a backend nothing, even where a table still names it. A level tells them how
many of a route's calls to admit, as a share or as calls per second (`Bootstrap.admission`). An ejected backend, which
misses answers, keeps its entries, but gets few calls. Newcomers are proxies that joined too recently for reports to
show what they use. Peers are the other coordinators. The fleet is all backends; a backend's size is its relative
capacity, as listed.

A round handles one batch of events. Periodic rounds come once per cycle; the first round is none. A backend's state is
"running", "draining" or "gone". Where only "running" is tested, a backend in either of the other states is treated as
one that drains. A roll-out replaces many backends within a short time by new ones, which are cold.

Comments refer to these rules: (1) no joined proxy is without a backend to send to for long; (2) no call takes effect
twice; (3) proxies stop sending to a backend that drains within the grace (`Bootstrap.grace`); (4) no cold backend is
sent so many calls that it fails; (5) few lines wait in the channel. "Known weakness" in a comment names a case in which
the code as it is may do harm.

What happens when a backend drains or goes:
    `backends_listed` notes it. `update_allocation` gives it no multiplier any more. `write_changes` withdraws it, so
    that proxies send it nothing more: at once where that is cheap, else after a short wait for other withdrawals. Its
    entries are removed later, in a periodic round. Where the fleet is divided into subsets, `write_changes` removes
    its entries instead, with the urgency of a withdrawal. Proxies that wait stop using it once they are bound; only if
    that takes too long, or no proxy waits, is it withdrawn as well.
    `repeat_withdrawals` covers proxies that join meanwhile, `repeat_old_withdrawals` those that nothing has bound in
    time. `forget_removed_backends` forgets a backend long gone.
What happens while a backend is cold:
    `warmth` is the share of its capacity that a backend of its age is assumed to serve. `capacities` and `apply_floor`
    keep its multiplier within that share. With subsets, `cold_share_factor` lowers it while more is asked than was ever
    served, `subset_members` names it in one table fewer, and `urgent_entries` finds tables that send a cold backend too
    much. In a roll-out, `capacities` also bounds the capacity that the fleet is believed to have.
What happens on overload:
    `learn_capacity` lowers the fleet's capacity when answers get slow. Until that has happened once, the fleet is
    believed to serve whatever is asked, except in a roll-out. `update_allocation` grants each route what the capacity
    allows, weighted so that more important routes get far more, and derives the admitted shares. `write_changes` writes
    these as levels in periodic rounds.
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
from cranecleat.message_limit import MessageLimit

# Numbers of the timers.
PERIODIC_TIMER = 0  # the next periodic round
SCHEDULED_TIMER = 1  # the next scheduled action

# Allocation and learned capacity.
ASSUMED_LOAD = 0.65  # share of the capacity in use, assumed where no load is reported
CAPACITY_GROWTH = 1.1  # in a periodic round that is not slow, the capacity grows by a power of it: `learn_capacity`
GROWTH_MIN_FILL_LEVEL = 0.25  # CAPACITY_GROWTH applies only where more than this share of the capacity is in use
MULTIPLIER_FLOOR = 0.1  # least multiplier of a backend, as a multiple of an equal share of the table
MAX_ITERATIONS = 10  # of the multiplier loop
# As a multiple of an equal share of the table: the loop has converged where no multiplier moves by this much.
MULTIPLIER_TOLERANCE = 1e-9
WEIGHT_TOLERANCE = 0.1  # share by which a weight may be off before it is written again
LEVEL_TOLERANCE = 0.03  # share by which a level, or what a limited route is granted, may be off
FILL_SLACK = 1.02  # backends may be filled to this multiple of the utilization that the demand needs: see `utilization`
IMPORTANCE_FACTOR = 8.0  # weight of a route over the next less important one
SLOW_SLO_SHARE = 0.55  # the fleet is slow where answers take more than this share of the tightest SLO time
MIN_TRIES_FOR_LOSSES = 4  # up to so many tries, the losses of a backend count as chance
QUEUE_DRAIN_SHARE = 0.85  # of the served rate: a slow fleet is given no less; it is below 1 so that queues shorten
RETRY_SHARE = 0.4  # share of the refused calls that come again
FEEDBACK_CYCLES = 2  # cycles, beside a report interval, from one drop of the capacity to the next
SETTLED_CYCLES = 1.5  # cycles, beside a report interval, until a proxy that joined is in the reports
# Two uses. `learn_capacity`: greatest share of the calls that may come from newcomers for capacity to be learned.
# `bind_waiting_proxies`: greatest share of the backends that may be without answers for the fleet to count as known.
MAX_UNKNOWN_SHARE = 0.25

# Ejection of backends that never answer.
EJECT_MISSING_ANSWERS = 8  # answers that have to be missing
EJECT_SILENT_INTERVALS = 3  # report intervals without an answer
MIN_LOCAL_MISSING = 1  # answers that have to be missing here, whatever peers miss
MIN_LOCAL_SILENT_INTERVALS = 1  # report intervals without an answer here, whatever peers miss
MAX_EJECTED_SHARE = 0.7  # of the fleet's size that may be ejected

# Reports.
ANSWER_TIME_MEMORY = 40  # answers that the mean answer time of a backend rests on at most
ANSWER_TIME_PRIOR = 10  # in a backend's answer time, the average of its kind counts like this many answers
IDLE_LOAD = 0.02  # busy cores: a reported load up to this says nothing about the capacity
UNLIMITED = 1e6  # calls per second that limit nothing

# Rule 2: a call, whatever its effect, is tried again only on proof that its first try never ran.
RETRY_ONLY_ON_PROOF = 1  # sent with each level

# Shares of the backlog up to which lines may wait in the channel, by what is written. `line_budget` applies them to
# the backlog, or to what the channel sends in half a grace if that is less, and may raise the result by the overhead
# of many messages.
BACKLOG_IMMEDIATE = 0.1  # cheap changes outside of periodic rounds
BACKLOG_WEIGHTS = 0.3  # changes of weights
BACKLOG_BINDINGS = 0.33  # bindings of proxies to tables
BACKLOG_SKEWED_TABLES = 0.36  # skewed tables of subsets, while bindings wait
BACKLOG_LEVELS = 0.75  # admission levels
BACKLOG_NEW_ENTRIES = 0.5  # entries that a table lacks, and the fallback table
BACKLOG_MANY_PROXIES = 0.95  # the most, of the whole backlog, that a budget is raised to by messages' overhead
BACKLOG_WITHDRAWALS = 0.98  # withdrawals and whatever else cannot wait

# Withdrawals, in graces.
GATHER_GRACES = 0.12  # withdrawals wait this long for others, as each message has an overhead
# Withdrawals of backends that went within this are repeated to proxies that join. Lines that no proxy acknowledges
# count as waiting in the channel for this long.
RECENT_GRACES = 5
# A proxy that still waits for a table after this is told of older withdrawals, too. The other half of the grace is what
# the channel may take to bring them: see `line_budget`.
BIND_DEADLINE_GRACES = 0.5
FORGET_GRACES = 20  # a backend that has been gone for this long is forgotten

# The fallback table for proxies that wait for a binding amid a roll-out.
AT_RISK_SHARE = 0.2  # of the known backends: with more of them withdrawn, waiting proxies get the fallback table
FALLBACK_TABLE_ENTRIES = 12  # backends in it

# Subsets of the fleet.
TAKEOVER_FACTOR = 5  # a coordinator is prepared to serve up to this many times its equal share of the proxies
BIND_ALL_GRACES = 0.7  # the proxies that it is prepared to serve have to be bound within this many graces
MIN_TABLE_ENTRIES = 8  # least size of a subset's table
MAX_TABLE_ENTRIES = 30  # greatest size of a subset's table
# Two uses. `subset_members`: least share of the intended number of backends in a subset's table; with fewer, the table
# is widened to further subsets. `urgent_entries`: least share of a table's intended calls that goes to running backends
# with an entry; with less, the table cannot wait.
MIN_TABLE_SHARE = 0.5

# Rule 4, cold backends.
# The calls asked of the fleet may reach this share of `Bootstrap.cold_overload_multiple` times the peak served (per
# unit of size, times the fleet's size) before cold backends' shares are lowered: a burst must not make them fail.
COLD_SAFETY_SHARE = 1 / 2
PEAK_DECAY = 0.99  # factor of the peak served per periodic round
ROLLOUT_COLD_SHARE = 0.25  # of the running backends: with more of them cold, a roll-out is under way
ROLLOUT_CAPACITY_MULTIPLE = 2.0  # of the peak served (per unit of size): the most the fleet is believed to serve then
COLD_OVERWEIGHT = 2.0  # ratio of a cold backend's written share to the decided one above which its table cannot wait

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
    """Algorithm 2 of the paper, in its symbols: returns rates f[k][e] of demand k on backend e.

    `demands`: calls per second by demand. `weights`: weight by demand. `paths`: for each demand {backend e: theta}, its
    multipliers. `capacity`: calls per second by backend. A demand's weight on a backend, gamma, is its weight times the
    multiplier. A link is a backend or, for the size of a demand, a virtual link over all of its paths. Each link is
    visited once, in ascending order of its first fair share."""
    rates = [dict.fromkeys(path, float("inf")) for path in paths]
    gamma = [{e: weights[k] * theta for e, theta in path.items()} for k, path in enumerate(paths)]
    # Each link is (capacity, the (k, e) that cross it): first the virtual ones, then the backends.
    links = [(demands[k], [(k, e) for e in path]) for k, path in enumerate(paths)]
    through = {}  # backend e -> the (k, e) that cross it
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
        # zone -> running product of the factors by which the demand of its joined proxies changed as proxies joined and
        # left. Served rates are kept divided by it and are multiplied by it when read, so they follow the membership.
        self.zone_scale = {}
        self.demand = Demand(len(bootstrap.routes))
        self.users = Users(len(bootstrap.routes))
        self.channel = Channel(self.message_overhead)  # an upper bound of the lines that wait; `charge` adds to it
        self.message_limit = MessageLimit(bootstrap.message_limit, bootstrap.message_limit_window, bootstrap.grace)
        self.layout = Layout(bootstrap.routes, bootstrap.zones)
        self.acknowledged = self.channel.acknowledge  # the event of that name
        self.tables = {}  # table -> {backend: weight}, as last written; weights as the head of this module has them
        self.sent_levels = {}  # route -> admission level, as last written
        self.theta = {}  # table -> {backend: multiplier}, as decided; the multipliers of a table add up to 1

        # Subsets of the fleet that have tables of their own; 0: the fleet is not divided.
        self.subset_count = 0
        self.subset_of_backend = {}
        self.demand_shares = {}  # table -> share of the demand that its proxies bring; empty without subsets
        self.subset_load = []  # subset -> [calls per second of its proxies, capacity]

        # The table for proxies that wait for a binding: the first id that a `Layout` without subsets does not use.
        self.fallback_table = len(bootstrap.routes) * (1 + bootstrap.zones)
        self.fallback_backends = []  # its entries
        self.cold_shares = {}  # cold backend -> its share of the fleet's capacity

        # Admission by route.
        self.admitted_shares = [1.0] * len(bootstrap.routes)
        self.granted_rates = [0.0] * len(bootstrap.routes)
        # Admitted shares of the last three periodic rounds, the oldest first. The reports that arrive now are about
        # calls that were admitted by the oldest.
        self.recent_shares = [list(self.admitted_shares)] * 3

        self.scheduled = []  # heap of (time, sequence, action)
        self.next_periodic_at = None
        self.failed_watches = 0
        self.attempt_totals = [0] * 3  # since the last periodic round: tries, answers, sum of answer times
        self.ack_number = zlib.crc32(f"{seed}:mark".encode()) % 65536  # differs from a previous run's numbers
        self.report_interval = 1.0  # cycles within which every entry has been in a report once
        self.fill_level = 1.0  # share of their capacity to which the waterfill may fill backends; at times less if cold

        # What the end of a round has to do.
        self.allocation_due = False  # the backends have changed
        self.writes_due = False  # changes that did not fit into the channel wait
        self.entries_missing = False  # running backends have no entry yet
        self.bindings_delayed = False  # bindings to subsets did not fit into the channel

        # Withdrawals.
        self.pending_withdrawals = set()  # withdrawn backends to withdraw again, for proxies that wait for a table
        self.withdraw_at = None  # withdrawals wait for others until then; None: none waits
        self.withdrawals_overdue = False  # withdrawals that were due could not be written
        self.restores_overdue = False  # backends that were to be let back in wait for the message limit
        self.limited_retry_scheduled = False
        self.repeat_scheduled = False
        self.old_repeat_scheduled = False
        self.old_repeated_at = 0  # when withdrawals older than RECENT_GRACES were last repeated
        self.has_forgotten_backends = False
        # When backends were last found that proxies may hold as withdrawn from an earlier stream, or were last let back
        # in, and how many there are, as of the last bindings.
        self.inheritable_since = 0
        self.inheritable_count = 0

        # Learned capacity of the fleet, for the proxies that are joined here.
        self.fleet_capacity = None  # calls per second; None: not known yet
        self.capacity_before_overload = 0.0  # the part of it in use when the last overload began; 0.0: no overload yet
        self.fleet_size = 0.0  # sum of the sizes of running backends, each by its warmth
        self.overloaded = False
        self.capacity_dropped_at = 0
        self.peak_served_by_size = 0.0  # most calls per second that were served, divided by the fleet's size; decays
        self.capacity_ceiling = UNLIMITED  # most that the fleet is believed to serve in a roll-out

        # Set later: `now` and `writer` by each round, `has_load_reports` by `capacities`.

    def round(self, now, events, writer):
        """Handles one batch of events and writes what follows from them. Once per cycle the round is a periodic one,
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
        """Discovery's list of backends. `scope` is "whole" (all backends), "held" (all, from a copy of the list that
        was kept from before the coordinator's start and may be out of date), "changes" (those that changed), or
        "failed": the watch is then started again after a backoff with jitter."""
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

    def withdrawals_inherited(self, backends):
        """Proxies may hold these running backends as withdrawn from an earlier stream, here or at another coordinator.
        Their bindings and the next entries of these backends reinstate them, which takes further lines."""
        self.inheritable_since = self.now
        for b in backends:
            self.backends[b].withdrawal_inherited({table for table, weights in self.tables.items() if b in weights})

    def forget_removed_backends(self):
        """Forgets backends that have been gone for long and that no table names, here and, by `Writer.forget`, in the
        transport, at once."""
        named = set(self.fallback_backends).union(*self.tables.values())
        for b, backend in list(self.backends.items()):
            if backend.state != "gone":
                backend.last_present_at = self.now
            elif self.now - backend.last_present_at > FORGET_GRACES * self.bootstrap.grace and b not in named:
                del self.backends[b]
                self.has_forgotten_backends = True
                self.pending_withdrawals.discard(b)
                for proxy_id in self.proxies.keys() & (self.writer.forget(b) or ()):
                    self.proxies[proxy_id].may_inherit = True

    def proxy_joined(self, proxy_id, zone, typical_rate, uses_initial_table, may_inherit=False):
        """A proxy has joined. `typical_rate`: calls per second, by its own account; `uses_initial_table`: it holds only
        the backends that it drew at its start, no table that a coordinator bound it to; `may_inherit`: it may hold
        withdrawals from an earlier stream, here or at another coordinator."""
        self.proxy_left(proxy_id)
        typical_rate = self.demand.join(proxy_id, zone, typical_rate, self.now)
        self.proxies[proxy_id] = Proxy(proxy_id, zone, typical_rate, self.now, uses_initial_table, may_inherit)
        self.users.join(proxy_id, self.proxies[proxy_id])
        self.scale_to_joined_demand(zone, typical_rate)
        if not self.repeat_scheduled:
            self.repeat_scheduled = True
            graces = 0.5 if self.subset_count else GATHER_GRACES
            self.schedule(int(graces * self.bootstrap.grace), self.repeat_withdrawals)

    def repeat_withdrawals(self):
        """Rule 3: proxies that have joined and still wait for a table may hold backends that were withdrawn before."""
        self.repeat_scheduled = False
        if self.users.waiting:
            self.repeat(self.recently_withdrawn())
            self.schedule_old_repeat()

    def repeat_old_withdrawals(self):
        """Rule 3: a proxy that has not been bound by its deadline may hold any backend that was ever withdrawn. It may
        have been cut off for longer than RECENT_GRACES, and nothing has replaced its tables since it joined. Known
        weakness: proxies that wait for nothing but room in the channel are not told, as that would delay the bindings
        of all: see `waits_for_room_only`."""
        self.old_repeat_scheduled = False
        first = self.first_without_old_repeat()
        if first and self.now >= first.joined_at + self.bind_deadline() and self.needs_old_withdrawals():
            self.old_repeated_at = self.now
            self.repeat({b for b, backend in self.backends.items() if backend.withdrawn} - self.recently_withdrawn())
        self.schedule_old_repeat()

    def schedule_old_repeat(self):
        """Schedules `repeat_old_withdrawals` for the deadline of the first proxy that it has to reach, if any, or soon
        if that has passed."""
        first = self.first_without_old_repeat()
        if first and not self.old_repeat_scheduled:
            self.old_repeat_scheduled = True
            delay = max(first.joined_at + self.bind_deadline() - self.now, self.bootstrap.cycle // 10)
            self.schedule(delay, self.repeat_old_withdrawals)

    def needs_old_withdrawals(self):
        """Whether any proxy waits for something else than room in the channel. With subsets `write_changes` decides."""
        hold_time = self.hold_time()
        return self.subset_count or any(
            not self.waits_for_room_only(proxy, hold_time) for proxy in self.users.waiting.values()
        )

    def waits_for_room_only(self, proxy, hold_time):
        """Whether a waiting proxy is bound as soon as the channel has room: it is not held back, and a table for it has
        entries."""
        is_held = not proxy.uses_initial_table and self.now - proxy.joined_at < hold_time
        return not is_held and any(
            self.tables.get(table) and table not in proxy.bound_tables and zone in (None, proxy.zone)
            for table, _, zone, _ in self.layout
        )

    def hold_time(self):
        """How long after its joining a proxy is left on the tables that a coordinator has bound it to before, or 0.
        After a crash, tables from a coordinator that knew the fleet are better than new ones."""
        running = self.running().values()
        withdrawn = len(self.recently_withdrawn())
        fleet_unknown = self.fleet_capacity is None or (
            sum(not backend.answer_count for backend in running) > MAX_UNKNOWN_SHARE * len(running)
        )
        if not fleet_unknown or withdrawn >= (withdrawn + len(running)) / 2:
            return 0
        # Rule 3: a backend that is forgotten can be withdrawn no more, so that only a binding takes it off a proxy.
        hold_time = self.feedback_delay(FEEDBACK_CYCLES)
        return min(hold_time, self.bind_deadline()) if self.has_forgotten_backends else hold_time

    def first_without_old_repeat(self):
        """The first waiting proxy that has joined since old withdrawals were last repeated, or None. One that joined at
        that very time may have done so in a later round."""
        return next((proxy for proxy in self.users.waiting.values() if proxy.joined_at >= self.old_repeated_at), None)

    def repeat(self, withdrawn):
        """Makes withdrawals due again for the proxies that wait, as far as they are not due already."""
        for b in withdrawn - self.pending_withdrawals:
            self.backends[b].due_since = self.now  # the repeat counts as due from now on
            self.pending_withdrawals.add(b)
            self.withdraw_at = self.now
            self.allocation_due = True

    def bind_deadline(self):
        """Time after its joining by which a proxy has to be bound, or is told of old withdrawals."""
        return int(BIND_DEADLINE_GRACES * self.bootstrap.grace)

    def recently_withdrawn(self):
        """All withdrawn backends except those that went so long ago that few proxies' tables should still name them."""
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
            self.scale_to_joined_demand(proxy.zone, -proxy.call_rate())

    def scale_to_joined_demand(self, zone, change):
        """Scales what was learned from the joined proxies' use, as one of them joins or leaves and their demand changes
        by `change`. Known weakness: typical rates that are far off."""
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
        """Scales the learned capacity, as far as it is known."""
        self.fleet_capacity = self.fleet_capacity and self.fleet_capacity * factor
        self.capacity_before_overload *= factor

    def attempts_reported(self, backend_id, zone, tries, unanswered, answer_time, period, load):
        """Tries that proxies of a zone made at a backend within `period`, those without an answer, the mean answer
        time, and the backend's own load report (busy cores, calls per second) or None."""
        backend = self.backends.get(backend_id)
        if backend is None or backend.state == "gone" or tries <= 0 or period <= 0:
            return
        answers = max(tries - unanswered, 0)
        decay = 0.5 ** (period / self.bootstrap.cycle)
        rate = answers * 1e6 / period / self.zone_scale.get(zone, 1.0)  # multiplied by the scale again when read
        fresh = 1.0 - 0.2 ** (period / self.bootstrap.cycle)  # as in `demand_reported`: the two rates are compared
        known_rate = backend.served_by_zone.get(zone, [rate])[0]
        backend.served_by_zone[zone] = [rate * fresh + known_rate * (1.0 - fresh), self.now]
        backend.record_tries(tries, unanswered, decay)
        if not backend.ejected:  # what an ejected backend loses is its own: the fleet's totals leave its tries out
            totals = zip(self.attempt_totals, (tries, answers, answers * answer_time), strict=True)
            self.attempt_totals = [sum(pair) for pair in totals]
        if answers:
            backend.record_answers(answers, answer_time, ANSWER_TIME_MEMORY)
            # A backend that was ejected counts as starting from now on: `unexplained_missing` reads `due_since` so.
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
        # Delays of feedback are measured in report intervals, because not every entry is in every cycle's reports.
        cycles = max(period / self.bootstrap.cycle, 1.0)
        self.report_interval += (cycles - self.report_interval) / (4 * len(self.proxies))

    def peers_reported_missing(self, backend_id, missing):
        """Answers of a backend that distinct peers miss. The number is halved in each periodic round until it is
        reported again."""
        if backend_id in self.backends:
            self.backends[backend_id].peer_missing_answers = missing

    # Events that need no handling: a timer only asks for a round, and nothing is decided from the others.
    timer_fired = probe_answered = peer_message_received = slice_given = slice_line = slice_calls = lambda *_: None

    # Health of backends, from tries without an answer

    def running(self):
        return {b: backend for b, backend in self.backends.items() if backend.state == "running"}

    def bounded_report_interval(self):
        """Cycles within which every entry has been in a report once: as learned, and no fewer than the stated rate of
        report lines allows. There is an entry per proxy and route, and one per zone with calls and running backend."""
        entries = len(self.proxies) * len(self.bootstrap.routes) + self.demand.active_zone_count() * len(self.running())
        stated_rate = self.bootstrap.report_lines_per_second
        return max(self.report_interval, entries * 1e6 / stated_rate / self.bootstrap.cycle if stated_rate else 0.0)

    def eject_silent_backends(self):
        """Ejects backends that miss more answers than chance accounts for. The answers expected of a backend are its
        share of all answers received, so that late reports lower the expectation as well. Known weakness: the reports
        of one zone that fall behind; hence the cap on what is ejected. A single answer brings a backend back.

        It reads the totals of the round's reports, which `learn_capacity` resets, and so runs before it."""
        tries, answers, _ = self.attempt_totals
        if not tries:
            return
        running = self.running()
        demands = self.demands()
        expected = {}  # backend -> calls per second, by the weights as last written
        for table, weights in self.tables.items():
            total = sum(w for b, w in weights.items() if b in running)
            for b, w in weights.items():
                # A table's id modulo the number of routes is its first route.
                calls = demands[table % len(demands)] * self.demand_shares.get(table, 1.0)
                expected[b] = expected.get(b, 0.0) + calls * w / max(total, 1e-9)
        expected_total = sum(expected[b] for b in expected if b in running) or 1.0
        bound_share = (len(self.proxies) - len(self.users.unbound)) / max(len(self.proxies), 1)
        # Size that may still be ejected: MAX_EJECTED_SHARE of all size, less that of the backends that are ejected
        # already (`ejected` counts as 0 or 1).
        ejectable_size = sum(backend.size * (MAX_EJECTED_SHARE - backend.ejected) for backend in running.values())
        for b, backend in running.items():
            backend.silent_intervals += 1 / self.report_interval
            backend.missing_answers += answers * bound_share * expected.get(b, 0.0) / expected_total
            # What peers miss adds to what is missing here. Known weakness: peers that all err alike; hence something
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
        """Answers missing since the backend's last answer, not counting the periodic round in which it last answered;
        0 if they are too few to matter or the backend may still be starting."""
        intervals = backend.silent_intervals - 1 / self.report_interval
        silent_enough = intervals >= MIN_LOCAL_SILENT_INTERVALS
        missing = backend.missing_answers * intervals / backend.silent_intervals if silent_enough else 0.0
        # A backend may be silent while it starts. For a running backend, `due_since` is when it was listed as running;
        # `attempts_reported` sets it anew after an ejection.
        started = self.warmth(backend) >= 1.0 and self.now - backend.due_since > self.bootstrap.warm_up_time
        return missing if missing >= MIN_LOCAL_MISSING and started else 0.0

    def missing_answers(self):
        """For peers: the running backends that miss answers, and how many each."""
        return {b: missing for b, backend in self.running().items() if (missing := self.unexplained_missing(backend))}

    def warmth(self, backend):
        """Rule 4: the share of its capacity that a backend of this age is assumed to serve. From the least share that
        is stated for its start it rises linearly to 1.0 over the warm-up time. A backend without a start time is
        warm."""
        age = max(self.now - backend.started, 0) / self.bootstrap.warm_up_time if backend.started else 1.0
        return self.bootstrap.cold_start_capacity + (1 - self.bootstrap.cold_start_capacity) * min(age, 1.0)

    # Learned capacity and demand

    def demands(self):
        """Calls per second by route. For newcomers that have not reported yet the typical rate counts, split like the
        others' demand."""
        self.demand.update_settled(self.now - self.feedback_delay(SETTLED_CYCLES))
        return self.demand.expected_rates()

    def first_try_demands(self):
        """Demand without the calls that were refused and come again. With them the recovery from an overload would be
        slow."""
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
            # Only slow answers tell that the fleet is full. Known weakness: backends with very short queues.
            # The capacity drops once and not again until the drop can show in reports. It is never put below a part of
            # the rate that is served now: the slower the answers, the smaller that part, down to QUEUE_DRAIN_SHARE. The
            # part is below 1 so that queues shorten.
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
            # The capacity grows by CAPACITY_GROWTH to the power of `exponent`, which is greater the faster answers are,
            # or to halfway between it and the capacity in use before the overload, whichever is more. Where little of
            # the capacity is in use, only the latter applies.
            exponent = min(max(slow_time / max(answer_time, 1.0) - 1.0, 0.5), 3.0)
            growth = CAPACITY_GROWTH**exponent if self.fill_level > GROWTH_MIN_FILL_LEVEL else 1.0
            self.overloaded = False
            self.fleet_capacity = max(
                self.fleet_capacity * growth, (self.fleet_capacity + self.capacity_before_overload) / 2
            )

    def capacities(self):
        """What each running backend can take now, in calls per second: the fleet's capacity, split by the backends'
        load reports where there are any, else by size over answer time. A backend without answers counts as average for
        its size among its kind. Ejected backends are given 0. Also updates what follows from these figures: the fleet's
        size and capacity, the cold backends' shares and the ceiling in a roll-out."""
        running = self.running()
        parts = {}  # backend -> its part of the fleet's capacity; only the ratios count, unless there are load reports
        has_reports = any(backend.busy_cores for backend in running.values())
        all_tries = max(sum(backend.tries for backend in running.values()), 1e-9)
        fleet_answered = 1.0 - sum(backend.unanswered for backend in running.values()) / all_tries
        for kind in {backend.kind for backend in running.values()}:
            # The backends that the average of this kind rests on. If it has none with figures, those of all kinds do.
            measured = [
                backend for backend in running.values() if (backend.busy_cores if has_reports else backend.answer_count)
            ]
            # With subsets, warm ones alone where there are any.
            measured = [
                backend for backend in measured if self.warmth(backend) >= 1.0 or not self.subset_count
            ] or measured
            of_kind = [backend for backend in measured if backend.kind == kind] or measured
            size = sum(backend.size for backend in of_kind)
            answers = sum(backend.answer_count for backend in of_kind)
            capacity_by_size = (
                sum(backend.reported_capacity(self.zone_scale, self.bootstrap.coordinators) for backend in of_kind)
                / size
                if has_reports
                else 0.0
            )
            answer_time = (
                sum(backend.answer_time * backend.answer_count for backend in of_kind) / answers if answers else 1.0
            )
            for b, backend in [(b, backend) for b, backend in running.items() if backend.kind == kind]:
                kind_average = capacity_by_size * backend.size if has_reports else backend.size / max(answer_time, 1e-9)
                if has_reports:
                    own_capacity = (
                        backend.reported_capacity(self.zone_scale, self.bootstrap.coordinators)
                        if backend.busy_cores
                        else kind_average
                    )
                else:
                    own_time_sum = backend.answer_count * backend.answer_time + ANSWER_TIME_PRIOR * answer_time
                    own_capacity = backend.size / max(own_time_sum / (backend.answer_count + ANSWER_TIME_PRIOR), 1e-9)
                enough_tries = backend.tries > MIN_TRIES_FOR_LOSSES
                answered = 1.0 - backend.unanswered / backend.tries if enough_tries else 1.0
                warmth = self.warmth(backend)
                # Rule 4: whatever it reports itself, a cold backend gets no more than an average warm one.
                limited = self.subset_count and warmth < 1.0
                most = kind_average * fleet_answered if limited else float("inf")
                parts[b] = min(own_capacity * answered * warmth, most)
        total = sum(parts.values()) or 1.0
        fleet_size = sum(backend.size * self.warmth(backend) for backend in running.values())
        self.scale_capacity(fleet_size / self.fleet_size if self.fleet_size else 1.0)
        self.fleet_size = fleet_size
        if has_reports:
            # The capacity is what is reported; after an overload, no more than what was learned either. Until something
            # was slow, `update_allocation` may still raise it.
            self.fleet_capacity = (
                min(self.fleet_capacity, total) if self.fleet_capacity and self.capacity_before_overload else total
            )
        self.cold_shares = {
            b: parts[b] / total for b, backend in running.items() if self.warmth(backend) < 1.0 and not backend.ejected
        }
        self.has_load_reports = has_reports
        is_rollout = self.subset_count and not has_reports and len(self.cold_shares) > ROLLOUT_COLD_SHARE * len(running)
        self.capacity_ceiling = (
            ROLLOUT_CAPACITY_MULTIPLE * self.peak_served_by_size * fleet_size
            if is_rollout and self.peak_served_by_size
            else UNLIMITED
        )
        self.fleet_capacity = self.fleet_capacity and min(self.fleet_capacity, self.capacity_ceiling)
        capacity = self.fleet_capacity or sum(self.demands()) / ASSUMED_LOAD or 1.0
        return {b: 0.0 if backend.ejected else capacity * parts[b] / total for b, backend in running.items()}

    # Allocation: the waterfill decides rates, admitted shares and weights

    def eligible_backends(self, route, zone):
        """The running backends that may serve a route, in one zone or, with `zone` None, in all."""
        may_serve = self.bootstrap.routes[route].allows
        return [
            b
            for b, backend in self.running().items()
            if may_serve(backend.kind, backend.zone) and zone in (None, backend.zone)
        ]

    def subset_members(self, eligible, subset):
        """Those of the eligible backends that a subset's table names. A table spans the backends of two subsets, and of
        more where a route may go to few backends or, rule 4, where a roll-out has left few entries for all of its
        proxies. A cold backend is in one table fewer, as proxies redirect calls from full backends to it whatever its
        weight."""
        if not self.subset_count or not eligible:
            return eligible
        span = -(-2 * len(self.subset_of_backend) // len(eligible))  # subsets that the table covers, rounded up
        members = []
        min_members = min(MIN_TABLE_SHARE * span * len(eligible) / self.subset_count, len(eligible))
        while len(members) < min_members:
            members = [
                b
                for b in eligible
                if (self.subset_of_backend[b] - subset) % self.subset_count < span - (1 if b in self.cold_shares else 0)
            ]
            span += 1
        return members

    def update_subsets(self):
        """Divides the fleet into subsets with a table each where the channel could not bring full tables in time to all
        proxies that this coordinator may have to serve, or has no room for a withdrawal to all of them. A backend is in
        two tables, so that Algorithm 2 evens out the demand of their proxies. Known weakness: tables with few proxies.
        """
        running = self.running()
        bootstrap = self.bootstrap
        proxies = min(TAKEOVER_FACTOR / bootstrap.coordinators, 1.0) * bootstrap.proxies
        lines = proxies * (len(bootstrap.routes) * len(running) + self.message_overhead)
        full_tables_time = lines * 1e6 / bootstrap.channel_lines_per_second
        in_use = self.subset_count or self.users.proxies_by_table or self.fallback_backends
        # A withdrawal goes to all proxies at once, each with a message.
        withdrawal_fits = proxies * (self.message_overhead + 1) <= BACKLOG_WITHDRAWALS * bootstrap.backlog
        if (full_tables_time > bootstrap.warm_up_time or not withdrawal_fits) and not in_use:
            lines_per_proxy = bootstrap.channel_lines_per_second * bootstrap.grace * BIND_ALL_GRACES / 1e6 / proxies
            entries = lines_per_proxy - self.message_overhead - 1 - len(bootstrap.routes)
            entries /= len(Layout(bootstrap.routes, bootstrap.zones, 1).route_groups)
            entries = min(max(entries, MIN_TABLE_ENTRIES), MAX_TABLE_ENTRIES)
            self.subset_count = max(int(2 * len(running) / entries), 1)
            for table, b in [(table, b) for table, weights in self.tables.items() for b in weights]:
                self.writer.set_weight(table, b, 0.0)
                self.backends[b].entry_removed(table)
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
        wants = {}  # (table, route) -> calls per second asked for
        weights = {}  # (table, route) -> weight in the waterfill
        demand_shares = {}  # table -> share of a route's demand that the table's proxies bring
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
            # What each route may have, the important ones with far more weight. A route that gets all it wants is
            # limited by no backend.
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
        proxies also bring a cold backend the calls that full ones refuse. Known weakness: a burst that could be served
        as a whole."""
        overload_multiple = self.bootstrap.cold_overload_multiple
        safe_calls = overload_multiple * COLD_SAFETY_SHARE * self.peak_served_by_size * self.fleet_size
        applies = self.subset_count and not self.has_load_reports and safe_calls and calls
        return min(safe_calls / calls, 1.0) ** 2 if applies else 1.0

    def utilization(self, wants, capacity):
        """The share of the capacity that the wants take: the larger of the whole fleet's and the fullest table's, times
        FILL_SLACK, which leaves the multiplier loop a little slack."""
        by_table = [
            want / max(sum(capacity[b] for b in self.theta[table]), 1e-9)
            for (table, _), want in sum_by_table(wants).items()
        ]
        return FILL_SLACK * max(*by_table, sum(wants.values()) / max(sum(capacity.values()), 1e-9))

    def run_waterfill(self, wants, weights, capacity):
        """The multiplier loop around Algorithm 2, which starts from the present multipliers of the tables. Returns
        rates and multipliers, both by the keys of `wants`."""
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
        """Raises multipliers to MULTIPLIER_FLOOR, which also keeps a trickle of calls to ejected backends. Rule 4: a
        cold backend is raised to its share of the fleet's capacity and no further. The multipliers then add up to 1
        again."""
        floor = MULTIPLIER_FLOOR / len(theta)
        raised = {b: max(t, min(floor, self.cold_shares.get(b, floor))) for b, t in theta.items()}
        total = sum(raised.values()) or 1.0
        return {b: t / total for b, t in raised.items()}

    # Output: weights, withdrawals, levels, bindings

    def admission_level(self, route):
        """The level of a route by the way of admission: "fraction" is the admitted share; "per_second" is the calls per
        second that, as the same limit for every proxy, admit that share; "silent" is 1.0, whatever is admitted."""
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
        """Withdraws backends or lets them back in, with a line for each at each proxy that may hold them. They share a
        message, as every message has an overhead. As many as fit are written. None is written if not all fit and more
        than half of the backlog waits already, if the message limit does not allow it, or if they can wait and there is
        no room for all (`has_room`). Returns the backends that remain."""
        changed = [b for b in backends if self.backends[b].withdrawn != withdrawn]  # the others are only repeated
        # Without subsets, all proxies may hold the backends if a table names one of those that change. With subsets,
        # this holds only for backends that are let back in, if the withdrawal of one of them was sent in an earlier
        # round: bound proxies lose the entry instead of a withdrawal. In all other cases, and where withdrawals are
        # only repeated, none but the proxies that wait may hold the backends.
        is_named = any(b in weights for b in changed for weights in self.tables.values())
        all_may_hold = is_named and (
            not self.subset_count or any(0 < self.backends[b].withdrawal_sent_at < self.now for b in backends)
        )
        holders = (self.proxies if all_may_hold else self.users.waiting).values()
        # What is only repeated goes to the proxies that have joined since the oldest of the withdrawals was sent: the
        # others were told then.
        joined_since = 0 if changed else min((self.backends[b].withdrawal_sent_at for b in backends), default=0)
        holders = [proxy for proxy in holders if proxy.joined_at >= joined_since]
        space = backlog_share * self.bootstrap.backlog - self.channel.queued_lines  # a share of the backlog itself
        count = max(int(space / max(len(holders), 1) - self.message_overhead), 0)  # backends that fit
        too_full = self.channel.queued_lines > self.bootstrap.backlog / 2 and count < len(backends)
        can_wait = backlog_share < BACKLOG_WITHDRAWALS
        if not self.message_limit.allows(holders, self.now):
            return backends
        if too_full or can_wait and not self.has_room(holders, backlog_share, len(backends)):
            return backends
        for b in backends[:count]:
            # Where no proxy has to be told, nothing counts as sent now.
            sent_at = self.now if holders else self.backends[b].withdrawal_sent_at
            if not withdrawn:
                self.backends[b].withdrawal_lifted()
                self.inheritable_since = self.now
            self.backends[b].withdrawn = withdrawn
            self.backends[b].withdrawal_sent_at = sent_at if withdrawn else 0
            self.writer.withdraw(b, withdrawn)
        self.channel.charge(holders, len(backends[:count]))
        return backends[count:]

    def has_room(self, proxies, backlog_share, lines=1, table=None):
        """Rule 5: whether something may be written now, `lines` to each of the proxies. `backlog_share` is a
        share as the BACKLOG_ constants are; below BACKLOG_WITHDRAWALS it stands for what can wait. None of that is
        written while withdrawals are overdue. Half of the messages that are counted for the message limit stay free for
        what cannot wait."""
        if not self.message_limit.allows(proxies, self.now):
            return False
        if backlog_share < BACKLOG_WITHDRAWALS and (
            self.withdrawals_overdue or self.message_limit.half_used(proxies, self.now)
        ):
            return False
        added = lines * len(proxies) + self.message_overhead * self.channel.messages_needed(proxies, table)
        return self.channel.queued_lines + added <= self.line_budget(backlog_share, len(proxies))

    def line_budget(self, backlog_share, proxy_count):
        """Lines that may wait in the channel when something is written to so many proxies: a share of the backlog or,
        if that is less, of what the channel sends in half a grace. Where the overhead of a message to each proxy would
        take more than half of that, the budget is raised, up to BACKLOG_MANY_PROXIES of the backlog, so that half of it
        is left for the messages' own lines. The budget of immediate changes is not raised."""
        half_grace_lines = self.bootstrap.channel_lines_per_second * self.bootstrap.grace / 2e6
        budget = backlog_share * min(self.bootstrap.backlog, half_grace_lines)
        with_overhead = budget / 2 + self.message_overhead * proxy_count
        most = BACKLOG_MANY_PROXIES * self.bootstrap.backlog
        return max(budget, min(with_overhead, most)) if backlog_share > BACKLOG_IMMEDIATE else budget

    def write_changes(self, periodic):
        """Writes what has changed: entries of tables first (rule 1), then withdrawals (rule 3), then levels. What can
        wait is gathered for the periodic round."""
        changes = []  # (priority, negative change of the rate, table, backend, weight)
        unplaced = set()  # backends with a change of an entry that did not fit into the channel
        written_tables = set()  # tables of subsets that had an entry written in this round
        demands = self.demands()
        recently_withdrawn = self.recently_withdrawn()
        has_waiting = bool(self.users.waiting)
        # They are written in each periodic round, and when the wait for others is over.
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
                if abs(weight - old) > WEIGHT_TOLERANCE * old or table in self.backends[b].rewritten_in:
                    missing = old == 0.0 or self.backends[b].withdrawn
                    usual_priority = MISSING_ENTRY if missing else OTHER_CHANGE
                    priority = EMPTY_TABLE if empty else SKEWED_TABLE if b in urgent else usual_priority
                    changes.append((priority, -abs(weight - old) * rate, table, b, weight))
            # Without any multipliers, a shared table keeps its entries and a subset's table loses them.
            for b in (b for b in weights if (theta or self.subset_count) and b not in theta):
                leaving = self.subset_count and self.backends[b].state != "running"
                usual_priority = WITHDRAWN_BACKEND if b in recently_withdrawn else OTHER_CHANGE
                priority = LEAVING_BACKEND if leaving else SKEWED_TABLE if b in self.cold_shares else usual_priority
                changes.append((priority, -UNLIMITED, table, b, 0.0))  # sorts first within its priority
        self.entries_missing = self.writes_due = removals_wait = tables_stay_empty = False
        for priority, _, table, b, weight in sorted(changes):
            users = self.users.of_table(table)
            pressing = priority < OTHER_CHANGE
            periodic_share = BACKLOG_NEW_ENTRIES if pressing or has_waiting else BACKLOG_WEIGHTS
            immediate_share = BACKLOG_IMMEDIATE if pressing else 0.0  # with 0.0 there is never room: it has to wait
            backlog_share = periodic_share if periodic else immediate_share
            if priority == LEAVING_BACKEND or priority == SKEWED_TABLE and not self.bindings_delayed:
                # Rule 3: proxies that are bound to a subset's table hold no other entries, so this withdraws a backend.
                backlog_share = BACKLOG_WITHDRAWALS if withdrawals_due else BACKLOG_IMMEDIATE
            elif self.bindings_delayed and priority != EMPTY_TABLE:
                skewed = priority == SKEWED_TABLE and periodic
                backlog_share = min(backlog_share, BACKLOG_SKEWED_TABLES if skewed else BACKLOG_IMMEDIATE)
            # Entries of an empty table are written even without room in the channel; of a subset's empty table, only
            # the first one is. Only the message limit holds for them, too. A table without proxies takes no lines.
            can_wait = priority != EMPTY_TABLE or table in written_tables
            if can_wait:
                fits = self.has_room(users, backlog_share, 1, table)
            else:
                fits = self.message_limit.allows(users, self.now)
            if users and not fits:
                removals_wait = removals_wait or priority == LEAVING_BACKEND
                tables_stay_empty = tables_stay_empty or not can_wait
                unplaced.add(b)  # its withdrawal is not lifted before the entry is written
                self.entries_missing = self.entries_missing or priority in (EMPTY_TABLE, MISSING_ENTRY)
                continue
            written_tables.update((table,) if self.subset_count else ())
            self.tables[table][b] = weight
            if not weight:
                del self.tables[table][b]
            self.writer.set_weight(table, b, weight)
            backend = self.backends[b]
            backend.withdrawal_sent_at = backend.withdrawal_sent_at or (self.now if backend.withdrawn else 0)
            self.channel.charge_table(table, self.entry_cost(table, b, weight, users), users)
        to_restore = [
            b
            for b, backend in self.backends.items()
            if backend.withdrawn and backend.state == "running" and b not in unplaced
        ]
        if self.pending_withdrawals - recently_withdrawn and not self.needs_old_withdrawals():
            self.pending_withdrawals &= recently_withdrawn  # what waits is bound instead
        # Those that are not withdrawn yet and, while proxies wait, those to be withdrawn again.
        to_withdraw = [
            b
            for b, backend in self.backends.items()
            if backend.state != "running" and (not backend.withdrawn or (has_waiting and b in self.pending_withdrawals))
        ]
        to_withdraw.sort(key=lambda b: (self.backends[b].due_since, b))
        held_back = set()
        if self.subset_count:
            # Proxies that are bound lose the entry instead. The message that binds a proxy also withdraws what is
            # withdrawn of its tables' backends, which takes fewer lines than separate withdrawals. So there are none
            # for backends that a table names, nor while proxies wait for a binding, unless these are stuck.
            named = set().union(*self.tables.values())
            # The proxies count as stuck if the first of them has waited for over a cycle, or until its deadline,
            # although bindings were not delayed: then a table that it needs has no entries. Only the first one is
            # looked at.
            first_waiting = next(iter(self.users.waiting.values()), None)
            stuck = (
                first_waiting
                and not self.bindings_delayed
                and self.now - first_waiting.joined_at >= min(self.bootstrap.cycle, self.bind_deadline())
            )
            held_back = {b for b in to_withdraw if b in named or (has_waiting and not stuck)}
            to_withdraw = [b for b in to_withdraw if b not in held_back]
        backlog_share = BACKLOG_WITHDRAWALS if withdrawals_due else BACKLOG_IMMEDIATE
        repeated = [b for b in to_withdraw if self.backends[b].withdrawn]
        remaining = self.set_withdrawn([b for b in to_withdraw if b not in repeated], True, backlog_share)
        # Repeats to more proxies than an empty channel has room for would never fit. Bindings then go first, until few
        # enough proxies wait.
        repeat_lines = len(self.users.waiting) * (self.message_overhead + 1)
        if repeat_lines <= BACKLOG_WITHDRAWALS * self.bootstrap.backlog:
            remaining = remaining + self.set_withdrawn(repeated, True, backlog_share)
        else:
            held_back = held_back.union(repeated)
        self.pending_withdrawals &= held_back.union(remaining)
        self.withdrawals_overdue = withdrawals_due and bool(remaining)
        self.withdraw_at = self.withdraw_at if remaining or removals_wait else None
        restore_due = periodic or self.restores_overdue
        to_restore = self.set_withdrawn(to_restore, False, BACKLOG_WITHDRAWALS if restore_due else BACKLOG_IMMEDIATE)
        limit_reached = not self.message_limit.allows(self.proxies.values(), self.now)
        self.restores_overdue = restore_due and limit_reached and bool(to_restore)
        cannot_wait = self.withdrawals_overdue or removals_wait
        if limit_reached and (cannot_wait or tables_stay_empty or self.restores_overdue):
            self.schedule_limited_retry()
        elif cannot_wait:
            self.schedule(self.bootstrap.cycle // 10, self.request_writes)
        for route in range(len(self.bootstrap.routes)):
            level = self.admission_level(route)
            old = self.sent_levels.get(route, -1.0)
            proxies = self.proxies.values()
            # Rule 4: calls meant for backends without an entry are not admitted. This holds for all tables, as some
            # proxies are not bound yet.
            level = round(level * self.share_with_entries(route), 3)
            # A level that is 1.0 again is written however little it moved; a route's first one needs no room.
            moved = periodic and (abs(level - old) > LEVEL_TOLERANCE * old or level == 1.0 != old)
            backlog_share = BACKLOG_IMMEDIATE if self.bindings_delayed else BACKLOG_LEVELS
            first = old < 0.0 and self.message_limit.allows(proxies, self.now)
            if first or moved and self.has_room(proxies, backlog_share):
                self.sent_levels[route] = level
                self.writer.set_admission(None, (route,), level, RETRY_ONLY_ON_PROOF)
                self.channel.charge(proxies)

    def schedule_limited_retry(self):
        """Schedules another try for what cannot wait, but for the message limit has to. There is one at a time, as the
        limit may hold for many rounds."""
        if not self.limited_retry_scheduled:
            self.limited_retry_scheduled = True
            self.schedule(self.bootstrap.cycle // 10, self.retry_limited_writes)

    def retry_limited_writes(self):
        self.limited_retry_scheduled = False
        self.request_writes()

    def request_writes(self):
        """Has this round write what waits; with subsets without a new allocation."""
        if self.subset_count:
            self.writes_due = True
        else:
            self.allocation_due = True

    def entry_cost(self, table, b, weight, users):
        """Lines that a change of an entry takes at each user of its table: one, and another where the message may also
        tell it to withdraw the backend or, if it holds the backend as withdrawn, to let it back in."""
        backend = self.backends[b]
        if not weight:
            backend.entry_removed(table)
            return 1 + backend.withdrawn
        may_reinstate = backend.entry_written(table) and (
            backend.withdrawal_was_sent or any(proxy.may_inherit for proxy in users)
        )
        return 1 + (backend.withdrawn or may_reinstate)

    def urgent_entries(self, theta, weights):
        """Rule 4: the entries of a subset's table that cannot wait: all of a table whose written weights bring a cold
        backend far more than its decided share, or in which running backends with an entry make up less than
        MIN_TABLE_SHARE of the decided shares; else none. Known weakness: they take the channel from bindings."""
        written = {b: w for b, w in weights.items() if self.backends[b].state == "running"}
        most = COLD_OVERWEIGHT * sum(written.values())
        overweight = {b for b in theta.keys() & self.cold_shares.keys() if written.get(b, 0.0) > most * theta[b]}
        return (
            theta
            if self.subset_count and (overweight or sum(t for b, t in theta.items() if b in written) < MIN_TABLE_SHARE)
            else ()
        )

    def share_with_entries(self, route):
        """The share of a route's decided rates that is meant for backends that have an entry and are not withdrawn; 1.0
        where that is nearly all."""
        total = with_entries = 0.0
        for table in (table for table, routes, *_ in self.layout if route in routes):
            for b, t in self.theta.get(table, {}).items():
                rate = t * self.demand_shares.get(table, 1.0)
                total += rate
                with_entries += rate if b in self.tables[table] and not self.backends[b].withdrawn else 0.0
        return with_entries / total if with_entries < (1.0 - LEVEL_TOLERANCE) * total else 1.0

    def bind_to_fallback_table(self, waiting):
        """Rule 1: a roll-out takes away the backends that proxies drew at their start. Proxies that wait for a binding
        get a small table of warm backends meanwhile, which may serve all routes. `waiting`: proxy -> the routes that it
        waits for. Known weakness: these backends may be overloaded."""
        serve_all_routes = set.intersection(
            *(set(self.eligible_backends(route, None)) for route in range(len(self.bootstrap.routes)))
        )
        usable = {
            b for b in serve_all_routes if self.warmth(self.backends[b]) >= 1.0 and not self.backends[b].withdrawn
        }
        users = [proxy for proxy in self.proxies.values() if proxy.on_fallback_table]
        # By descending multiplier in table 0, the shared table of route 0 for all zones; without that table, by id.
        added = sorted(usable - set(self.fallback_backends), key=lambda b: (-self.theta.get(0, {}).get(b, 0.0), b))
        too_few = 2 * len(usable & set(self.fallback_backends)) < FALLBACK_TABLE_ENTRIES
        for b in added[:FALLBACK_TABLE_ENTRIES] if too_few else ():
            if self.has_room(users, BACKLOG_NEW_ENTRIES):
                self.writer.set_weight(self.fallback_table, b, 1.0)
                self.channel.charge(users, self.entry_cost(self.fallback_table, b, 1.0, users))
                self.fallback_backends.append(b)
        for proxy_id, routes in waiting.items() if self.fallback_backends else ():
            proxy = self.proxies[proxy_id]
            cost = self.binding_cost(self.fallback_backends, self.proxies[proxy_id])
            # The fallback table has backends of all zones, so it cannot serve routes that stay in the proxy's zone.
            routes = [route for route in routes if not self.bootstrap.routes[route].own_zone]
            if routes and not proxy.on_fallback_table and self.has_room([proxy], BACKLOG_NEW_ENTRIES, cost):
                self.writer.bind(proxy_id, self.fallback_table, routes)
                proxy.on_fallback_table = True
                proxy.bound_at = self.now
                self.channel.charge([proxy], cost)

    def binding_cost(self, backends, proxy, withdrawn=None):
        """Lines of a message that binds a proxy to a table of these backends: the binding, levels, entries,
        withdrawals, and inherited withdrawals that are lifted. These are withdrawals that the proxy may hold from an
        earlier stream; a binding lifts all of them, unless an earlier one has done so, or with subsets those of the
        table's backends. `withdrawn`: how many of the backends are withdrawn, if the caller knows."""
        if not proxy.may_inherit:
            lifted = 0
        elif self.subset_count:
            lifted = sum(self.backends[b].inheritable for b in backends)
        else:
            lifted = self.inheritable_count if proxy.bound_at < self.inheritable_since else 0
        withdrawn = sum(self.backends[b].withdrawn for b in backends) if withdrawn is None else withdrawn
        return 1 + len(self.bootstrap.routes) + len(backends) + withdrawn + lifted

    def bind_waiting_proxies(self):
        """Binds the waiting proxies to the shared tables or, with subsets, to those of a subset, once no withdrawal and
        no missing entry waits to be written. Without waiting proxies the fallback table is cleared."""
        self.bindings_delayed = False
        if not self.users.waiting:
            while self.fallback_backends:
                removed = self.fallback_backends.pop()
                self.backends[removed].entry_removed(self.fallback_table)
                self.writer.set_weight(self.fallback_table, removed, 0.0)
            return
        self.inheritable_count = sum(backend.inheritable for backend in self.backends.values())
        demands = self.demands()
        # Heap of (has a coordinator's tables, negative rate per entry, proxy, table, route): proxies that hold only
        # what they drew at their start come first; among equals, bindings with the most calls per entry.
        candidates = []
        delayed = {}  # proxy -> routes whose binding does not go out in this round
        withdrawn = len(self.recently_withdrawn())
        if self.subset_count:
            return self.bind_to_subsets()
        tables = [
            (table, route, zone, len(self.tables[table]))
            for table, (route,), zone, _ in self.layout
            if self.tables.get(table)
        ]
        use_fallback = self.withdraw_at is None and withdrawn > AT_RISK_SHARE * (withdrawn + len(self.running()))
        min_lines = 1 + len(self.bootstrap.routes) + min((entries for *_, entries in tables), default=0)
        if not tables or not use_fallback and self.bindings_blocked(min_lines):
            return
        hold_time = self.hold_time()
        for proxy_id, proxy in self.users.waiting.items():
            has_coordinator_tables = not proxy.uses_initial_table  # some coordinator has bound it before
            if has_coordinator_tables and self.now - proxy.joined_at < hold_time:
                continue
            rate = proxy.call_rate()
            for table, route, zone, entries in tables:
                if table not in proxy.bound_tables and zone in (None, proxy.zone):
                    candidates.append(
                        (has_coordinator_tables, -rate * demands[route] / entries, proxy_id, table, route)
                    )
        withdrawn_in_table = {
            table: sum(self.backends[b].withdrawn for b in self.tables[table]) for table, *_ in tables
        }
        heapify(candidates)
        # With the fallback table, candidates are gone through while bindings are blocked, too: they are then delayed
        # and get that table.
        while candidates and (use_fallback or not self.bindings_blocked(min_lines)):
            _, _, proxy_id, table, route = heappop(candidates)
            proxy = self.proxies[proxy_id]
            cost = self.binding_cost(self.tables[table], self.proxies[proxy_id], withdrawn_in_table[table])
            if self.bindings_blocked(min_lines) or not self.has_room([proxy], BACKLOG_BINDINGS, cost):
                delayed.setdefault(proxy_id, []).append(route)
                continue
            self.writer.bind(proxy_id, table, (route,))
            self.users.bind(proxy_id, proxy, table)
            proxy.bound_at = self.now
            self.channel.charge([proxy], cost)
            self.channel.exclude_lines_before_binding(proxy, (table,))
        if delayed and use_fallback:
            self.bind_to_fallback_table(delayed)

    def bind_to_subsets(self):
        """Binds each proxy that waits to the subset with the lowest load, in the order of joining. A round looks at no
        more proxies than it takes to fill the backlog with their messages' overhead alone."""
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
            if not self.message_limit.allows((proxy,), self.now):
                continue
            for table, routes in tables:
                self.writer.bind(proxy_id, table, tuple(routes), True)
                self.users.bind(proxy_id, proxy, table)
            self.channel.charge([proxy], cost if tables else 0)
            self.channel.exclude_lines_before_binding(proxy, [table for table, _ in tables])
            self.subset_load[proxy.subset][0] += proxy.call_rate() if tables else 0.0

    def bindings_blocked(self, min_lines):
        """Whether not even the smallest binding, of `min_lines` lines, may be written now, because there is no room or
        because missing entries or withdrawals go first."""
        others_first = self.entries_missing or self.withdrawals_overdue or self.withdraw_at is not None
        return others_first or self.channel.queued_lines + min_lines > self.line_budget(BACKLOG_BINDINGS, 1)

    def finish_round(self):
        """Asks the proxies that get a message to acknowledge it, and hands the round's lines to the channel's count."""
        reached = ()
        if self.channel.charged_proxies:
            self.ack_number = (self.ack_number + 1) % 65536
            reached = self.writer.request_ack(self.ack_number)
        for proxy in self.channel.commit_round(self.ack_number, reached, self.now):
            self.message_limit.record(proxy, self.now)
