"""What is known of one backend and of one proxy: figures that calls change, no decisions."""


class Backend:
    def __init__(self):
        self.state, self.zone, self.kind, self.size, self.started = "gone", 0, 0, 1.0, 0
        self.out, self.told, self.left = False, 0, 0  # withdrawn; since when it should be; when last not gone
        self.said = 0  # when somebody was told to shut it out last
        self.forget()

    def forget(self):
        self.busy = self.rate = self.heard = 0.0  # its reports, decaying: cores busy, calls a second, count
        self.served = {}  # zone -> [answered a second, smoothed, over the zone's pace; when reported]
        self.tries = self.dropped = self.took = self.calls = 0.0  # sums with decay; answer time, of how many
        self.quiet, self.missing, self.shut = 0, 0.0, False  # since its last answer: spells, answers due
        self.doubt = 0.0  # answers that peers miss

    def answering(self, paces):
        return sum(rate * paces.get(zone, 1.0) for zone, (rate, _) in self.served.items())


class Proxy:
    def __init__(self, number, zone, typical, now, standing, brought):
        self.number, self.zone, self.typical, self.since = number, zone, typical, now
        self.standing, self.brought = standing, brought  # only what it drew at its start; others' withdrawals
        self.usage, self.bound, self.sheltered = {}, set(), False  # route -> calls a second; tables
        self.section = None  # of the fleet, where that is parted
        self.cost, self.sent = 0, []  # of this round's message, with its head; when counted ones were written

    def calls(self):
        return sum(self.usage.values()) if self.usage else self.typical
