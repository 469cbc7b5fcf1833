"""Token buckets: they limit the send rate, and how many signatures are checked."""


class TokenBucket:
    """Up to `burst` tokens at once, refilled at `rate` tokens a second. Times are whole microseconds."""

    def __init__(self, rate, burst, now):
        self.rate = rate
        self.burst = burst
        self.tokens = float(burst)
        self.updated_at = now

    def refill(self, now):
        """Adds the tokens earned since the last call and returns how many the bucket holds. If the clock has stepped
        back, their number stays."""
        if now > self.updated_at:
            self.tokens = min(self.burst, self.tokens + (now - self.updated_at) * self.rate / 1e6)
        self.updated_at = now
        return self.tokens

    def take(self, amount, now):
        """Takes `amount` tokens if there are as many. Returns whether it did."""
        if self.refill(now) < amount:
            return False
        self.tokens -= amount
        return True
