"""State and measurements of one backend and of one proxy, which events change. Nothing here makes a decision."""


class Backend:
    """A backend as it is listed, its reports as decaying sums, and what its answers say about its health."""

    def __init__(self):
        self.state, self.zone, self.kind, self.size, self.started = "gone", 0, 0, 1.0, 0  # as listed
        self.withdrawn = False
        self.due_since = 0  # when its withdrawal, or its return, became due
        self.last_present_at = 0  # when the list last had it in any state but gone
        self.withdrawal_sent_at = 0  # when a proxy was last told to withdraw it
        self.reset_measurements()

    def reset_measurements(self):
        """Drops everything that was learned from reports."""
        # Load reports as decaying sums: cores busy, calls per second, number of reports.
        self.busy_cores = self.reported_rate = self.load_reports = 0.0
        self.served_by_zone = {}  # zone -> [smoothed answers per second, over the zone's pace; when reported]
        # Tries and unanswered ones as decaying sums; the mean answer time and the number of answers it rests on.
        self.tries = self.unanswered = self.answer_time = self.answer_count = 0.0
        # Since its last answer: report intervals that went by, and answers that were due.
        self.silent_intervals, self.missing_answers, self.ejected = 0, 0.0, False
        self.peer_missing_answers = 0.0  # answers that peers miss

    def apply_list_entry(self, now, state, zone, kind, size, started):
        """Takes over an entry of the list. A restart drops what was learned before it."""
        if (state == "running") != (self.state == "running"):
            self.due_since = now
        if state != "gone":
            if self.state == "gone" or started != self.started:
                self.reset_measurements()
            self.zone, self.kind, self.size, self.started = zone, kind, max(size, 0.01), started
        self.state, self.last_present_at = state, now

    def missing_from_list(self, now):
        """A complete list without this backend means that it has gone."""
        if self.state != "gone":
            self.state, self.due_since = "gone", now

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
        """Adds a load report: cores busy, as they would be on a warm backend, and calls per second."""
        self.busy_cores = keep * self.busy_cores + busy_cores
        self.reported_rate = keep * self.reported_rate + rate
        self.load_reports = keep * self.load_reports + 1.0

    def decay(self, since, keep_tries, keep_served):
        """Reduces what has not been reported since `since`.

        The sums of tries shrink if no zone has reported; the served rate of a zone shrinks if that zone has not.
        """
        if all(reported_at < since for _, reported_at in self.served_by_zone.values()):
            self.tries, self.unanswered = self.tries * keep_tries, self.unanswered * keep_tries
        for served in self.served_by_zone.values():
            served[0] *= keep_served if served[1] < since else 1.0

    def reported_capacity(self, paces, coordinators):
        """The calls per second that it can take from this coordinator's proxies, by its load reports.

        What the proxies of other coordinators use is subtracted.
        """
        total, own = self.reported_rate / self.busy_cores, self.answer_rate(paces)
        others = max(self.reported_rate / self.load_reports - own, 0.0) if coordinators > 1 else 0.0
        return max(total - others, own, 0.01) if others else max(total, 0.01)

    def answer_rate(self, paces):
        """The calls per second that it answers to this coordinator's proxies."""
        return sum(rate * paces.get(zone, 1.0) for zone, (rate, _) in self.served_by_zone.items())


class Proxy:
    """A joined proxy: what it reports, which tables it is bound to, and what its messages cost."""

    def __init__(self, number, zone, typical_rate, now, uses_initial_table, inherited):
        self.number, self.zone, self.typical_rate, self.joined_at = number, zone, typical_rate, now
        self.uses_initial_table = uses_initial_table  # it holds only the table that it drew at its start
        self.inherited = inherited  # number of withdrawals that it may still hold from an earlier stream
        self.rate_by_route = {}  # route -> calls per second
        self.bound_tables, self.on_fallback_table = set(), False
        self.subset = None  # its subset of the backends, where the fleet is split into subsets
        self.message_cost = 0  # lines of this round's message, with its overhead
        self.message_times = []  # when those messages were written that count against the message limit

    def call_rate(self):
        return sum(self.rate_by_route.values()) if self.rate_by_route else self.typical_rate
