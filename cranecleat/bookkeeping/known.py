"""State and measurements of one backend and of one proxy, which events change. Nothing here makes a decision."""


class Backend:
    """A backend as it is listed, its reports as decaying sums, and what its answers say about its health."""

    def __init__(self):
        # As listed:
        self.state = "gone"  # "running", "draining" or "gone"
        self.zone = 0
        self.kind = 0
        self.size = 1.0  # capacity in relation to that of other backends
        self.started = 0  # when it started, in microseconds; 0: not stated
        self.withdrawn = False  # whether proxies are told not to use it
        self.due_since = 0  # when its withdrawal, or the end of it, became due
        # When an entry of the list, in any state, last named it, or a periodic round last found it not gone.
        self.last_present_at = 0
        self.withdrawal_sent_at = 0  # when a proxy was last told to withdraw it
        # Whether a proxy may hold it as withdrawn from an earlier stream although it runs, and the tables whose proxies
        # have been told since then to use it again.
        self.inheritable = False
        self.reinstated_in = set()
        self.rewritten_in = set()  # tables in which its entry is to be written again, whatever its weight
        self.withdrawal_was_sent = False  # whether a proxy was told to withdraw it before it was last reinstated
        self.reset_measurements()

    def reset_measurements(self):
        """Drops everything that was learned from reports."""
        # Load reports as decaying sums:
        self.busy_cores = 0.0
        self.reported_rate = 0.0  # calls per second
        self.load_reports = 0.0  # number of reports
        # zone -> [smoothed answers per second, divided by the zone's factor in `Planner.zone_scale`; when reported]
        self.served_by_zone = {}
        # Tries as decaying sums:
        self.tries = 0.0
        self.unanswered = 0.0  # tries without an answer
        self.answer_time = 0.0  # mean, in microseconds
        self.answer_count = 0.0  # number of answers that the mean rests on
        # Since its last answer:
        self.silent_intervals = 0  # report intervals that went by
        self.missing_answers = 0.0  # answers that were expected by its share of the calls
        # Whether its capacity counts as 0 because it seems to answer nothing (`Planner.eject_silent_backends`).
        self.ejected = False
        self.peer_missing_answers = 0.0  # answers of this backend that peers, other coordinators, miss

    def apply_list_entry(self, now, state, zone, kind, size, started):
        """Takes an entry of the list. A restart, or the return of a backend that was gone, drops what was learned."""
        if (state == "running") != (self.state == "running"):
            self.due_since = now
        if state != "gone":
            if self.state == "gone" or started != self.started:
                self.reset_measurements()
            self.zone, self.kind, self.size, self.started = zone, kind, max(size, 0.01), started
        self.state, self.last_present_at = state, now
        self.inheritable = self.inheritable and state == "running"

    def missing_from_list(self, now):
        """A complete list without this backend means that it has gone."""
        if self.state != "gone":
            self.state, self.due_since, self.inheritable = "gone", now, False

    def withdrawal_inherited(self, tables):
        """Notes that proxies may hold it as withdrawn from an earlier stream, although it runs. `tables`: those that
        name it; only an entry that is written reinstates it at their proxies."""
        self.inheritable, self.reinstated_in, self.rewritten_in = True, set(), tables

    def withdrawal_lifted(self):
        """Notes that it is reinstated. With subsets, a proxy that was told to withdraw it is told otherwise only once a
        table of the proxy names it."""
        self.withdrawal_was_sent = self.withdrawal_sent_at > 0
        self.reinstated_in = set()

    def entry_written(self, table):
        """Notes that its entry in a table is written. Returns whether this reinstates it at the table's proxies, as far
        as they hold it as withdrawn."""
        self.rewritten_in.discard(table)
        if self.withdrawn or not self.inheritable or table in self.reinstated_in:
            return False
        self.reinstated_in.add(table)
        return True

    def entry_removed(self, table):
        """Notes that its entry in a table is removed: proxies that are bound to it then have not been told."""
        self.reinstated_in.discard(table)
        self.rewritten_in.discard(table)

    def record_tries(self, tries, unanswered, keep):
        """Adds tries; `keep` is the part that remains of the earlier sums."""
        self.tries, self.unanswered = keep * self.tries + tries, keep * self.unanswered + unanswered

    def record_answers(self, answers, answer_time, max_count):
        """Adds answers; the mean answer time rests on `max_count` answers at the most."""
        total_time = self.answer_time * self.answer_count + answer_time * answers
        self.answer_time = total_time / (self.answer_count + answers)
        self.answer_count = min(self.answer_count + answers, max_count)
        self.silent_intervals, self.missing_answers = 0, 0.0

    def record_load(self, busy_cores, rate, keep):
        """Adds a load report: cores busy, as they would be on a warm backend, and calls per second.

        `keep` is the part that remains of the earlier sums.
        """
        self.busy_cores = keep * self.busy_cores + busy_cores
        self.reported_rate = keep * self.reported_rate + rate
        self.load_reports = keep * self.load_reports + 1.0

    def decay(self, since, keep_tries, keep_served):
        """Reduces what has not been reported since `since`, by the factors `keep_tries` and `keep_served`.

        The sums of tries shrink if no zone has reported; the served rate of a zone shrinks if that zone has not.
        """
        if all(reported_at < since for _, reported_at in self.served_by_zone.values()):
            self.tries, self.unanswered = self.tries * keep_tries, self.unanswered * keep_tries
        for served in self.served_by_zone.values():
            served[0] *= keep_served if served[1] < since else 1.0

    def reported_capacity(self, zone_scale, coordinators):
        """The calls per second that it can take from this coordinator's proxies, by its load reports.

        The reported rate divided by `busy_cores` is taken as what the whole backend can serve; what the proxies of
        other coordinators use is subtracted. `coordinators` is their number, `zone_scale` that of the planner.
        """
        total, own = self.reported_rate / self.busy_cores, self.answer_rate(zone_scale)
        others = max(self.reported_rate / self.load_reports - own, 0.0) if coordinators > 1 else 0.0
        return max(total - others, own, 0.01) if others else max(total, 0.01)

    def answer_rate(self, zone_scale):
        """The calls per second that it answers to this coordinator's proxies."""
        return sum(rate * zone_scale.get(zone, 1.0) for zone, (rate, _) in self.served_by_zone.items())


class Proxy:
    """A joined proxy: what it reports, which tables it is bound to, and what its messages cost."""

    def __init__(self, proxy_id, zone, typical_rate, now, uses_initial_table, may_inherit):
        self.proxy_id = proxy_id
        self.zone = zone
        self.typical_rate = typical_rate  # calls per second that it stated when it joined
        self.joined_at = now
        # Whether it holds only the backends that it chose at its start, and no table from a coordinator.
        self.uses_initial_table = uses_initial_table
        self.may_inherit = may_inherit  # whether it may hold withdrawals from an earlier stream
        self.rate_by_route = {}  # route -> calls per second
        self.bound_tables = set()  # tables of the layout; the fallback table is none of them
        self.on_fallback_table = False  # whether it was bound to the table of `Planner.bind_to_fallback_table`
        self.bound_at = -1  # when it was last bound to any table; -1: never
        self.subset = None  # the subset that it is bound to; None: not bound yet, or the fleet is not split
        # Lines of this round's message with its overhead, but without those of `Channel.table_lines`; what these hold
        # from before a binding is subtracted in advance.
        self.message_cost = 0
        # For the message limit: when its last messages were written, as many as the limit, the oldest first, and from
        # when on it may get another one.
        self.message_times = []
        self.next_message_at = 0

    def call_rate(self):
        """Calls per second: what it has reported, or its typical rate until then."""
        return sum(self.rate_by_route.values()) if self.rate_by_route else self.typical_rate
