"""Token buckets: a fixed pace whatever there is to say, and a budget for what is costly to check."""


class Bucket:
    """Up to `burst` units at once, refilled at `rate` units a second. Times are whole microseconds."""

    def __init__(self, rate, burst, now):
        self.rate, self.burst = rate, burst
        self.held, self.at = float(burst), now

    def level(self, now):
        """What is held at `now`; a clock that steps back neither adds nor takes."""
        if now > self.at:
            self.held = min(self.burst, self.held + (now - self.at) * self.rate / 1e6)
        self.at = now
        return self.held

    def take(self, amount, now):
        """Whether `amount` was there; it is gone then."""
        if self.level(now) < amount:
            return False
        self.held -= amount
        return True
