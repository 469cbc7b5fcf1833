"""What is known of one backend and of one proxy: figures that calls change, no decisions."""


class Backend:
    def __init__(self):
        self.state, self.zone, self.kind, self.size, self.started = "gone", 0, 0, 1.0, 0
        self.withdrawn, self.due_since, self.last_present_at = (
            False,
            0,
            0,
        )  # withdrawn; since when it should be; when last not gone
        self.withdrawal_sent_at = 0  # when somebody was told to shut it out last
        self.forget()

    def forget(self):
        self.busy_cores = self.rate = self.heard = 0.0  # its reports, decaying: cores busy, calls a second, count
        self.served_by_zone = {}  # zone -> [answered a second, smoothed, over the zone's pace; when reported]
        self.tries = self.unanswered = self.answer_time = self.answer_count = (
            0.0  # sums with decay; answer time, of how many
        )
        self.silent_intervals, self.missing_answers, self.ejected = (
            0,
            0.0,
            False,
        )  # since its last answer: spells, answers due
        self.peer_missing_answers = 0.0  # answers that peers miss

    def apply_list_entry(self, now, state, zone, kind, size, started):
        """As an entry of the list has it. What was learned ends with a start."""
        if (state == "running") != (self.state == "running"):
            self.due_since = now
        if state != "gone":
            if self.state == "gone" or started != self.started:
                self.forget()
            self.zone, self.kind, self.size, self.started = zone, kind, max(size, 0.01), started
        self.state, self.last_present_at = state, now

    def missing_from_list(self, now):
        """A whole list without it says that it has gone."""
        if self.state != "gone":
            self.state, self.due_since = "gone", now

    def record_tries(self, tries, dropped, keep):
        self.tries, self.unanswered = keep * self.tries + tries, keep * self.unanswered + dropped

    def record_answers(self, answers, took, most):
        """The mean answer time rests on `most` answers at the most."""
        self.answer_time = (self.answer_time * self.answer_count + took * answers) / (self.answer_count + answers)
        self.answer_count = min(self.answer_count + answers, most)
        self.silent_intervals, self.missing_answers = 0, 0.0

    def record_load(self, busy, rate, keep):
        """A load report: cores busy, as of a warm backend, and calls a second."""
        self.busy_cores, self.rate = keep * self.busy_cores + busy, keep * self.rate + rate
        self.heard = keep * self.heard + 1.0

    def decay(self, since, tries, served):
        """Nothing was reported since then: of all zones its tries fade, of one zone what was served there."""
        if all(at < since for _, at in self.served_by_zone.values()):
            self.tries, self.unanswered = self.tries * tries, self.unanswered * tries
        for known in self.served_by_zone.values():
            known[0] *= served if known[1] < since else 1.0

    def reported_capacity(self, paces, coordinators):
        """Calls a second that it can take from here, by its load reports: less what other coordinators' proxies use."""
        whole, mine = self.rate / self.busy_cores, self.answer_rate(paces)
        others = max(self.rate / self.heard - mine, 0.0) if coordinators > 1 else 0.0
        return max(whole - others, mine, 0.01) if others else max(whole, 0.01)

    def answer_rate(self, paces):
        return sum(rate * paces.get(zone, 1.0) for zone, (rate, _) in self.served_by_zone.items())


class Proxy:
    def __init__(self, number, zone, typical, now, standing, brought):
        self.number, self.zone, self.typical_rate, self.joined_at = number, zone, typical, now
        self.uses_initial_table, self.inherited = (
            standing,
            brought,
        )  # only what it drew at its start; others' withdrawals
        self.rate_by_route, self.bound_tables, self.on_fallback_table = (
            {},
            set(),
            False,
        )  # route -> calls a second; tables
        self.subset = None  # of the fleet, where that is parted
        self.message_cost, self.message_times = (
            0,
            [],
        )  # of this round's message, with its head; when counted ones were written

    def call_rate(self):
        return sum(self.rate_by_route.values()) if self.rate_by_route else self.typical_rate
