"""Decides when a proxy may get another message where a deployment limits the messages to one proxy within a window.

The limit holds for every message, whatever it carries. Messages that cannot wait, such as withdrawals, must not find it
used up by those before them, as a drain has to be over within the grace. So messages are spaced in advance: one may be
written only if, after it, one message per `interval` could follow without end. What becomes due thus waits for an
interval at the most, and the first messages after a quiet time still go out at once.

This is a decision module: no I/O, no clock. Times are whole microseconds; a `proxy` is a `bookkeeping.known.Proxy`.
"""

# Messages take different times to their proxy, so two may arrive closer together than they were written. The window is
# taken to be longer by this factor.
WINDOW_FACTOR = 1.05
# Graces for which a message that cannot wait may be held back. The rest is for gathering, the retry and the channel.
INTERVAL_GRACES = 0.4


class MessageLimit:
    """The limit of `limit` messages to one proxy within `window`; with 0 there is none, and everything is allowed."""

    def __init__(self, limit, window, grace):
        self.limit = limit
        self.half = -(-limit // 2)  # messages that make up half of the limit, rounded up
        self.stated_window = window
        self.window = int(window * WINDOW_FACTOR)
        self.interval = self.safe_interval(grace)

    def safe_interval(self, grace):
        """The interval at which messages may follow each other without end: short enough for a drain, and long enough
        for the limit. Where none is both, it is the window, so that only the limit itself holds: to space the few
        messages that there are would delay them and still be too slow for drains that do not end."""
        if not self.limit:
            return 0
        interval = max(int(INTERVAL_GRACES * grace), -(-self.window // self.limit), 1)
        return interval if interval <= grace else max(self.window, 1)

    def allows(self, proxies, now):
        """Whether each of these proxies may be sent a message now. It is the same throughout a round, in which a proxy
        gets one message at most."""
        return not self.limit or all(now >= proxy.next_message_at for proxy in proxies)

    def half_used(self, proxies, now):
        """Whether any of these proxies was sent half of the allowed messages, or more, within the window."""
        since = now - self.stated_window
        return bool(self.limit) and any(
            len(proxy.message_times) >= self.half and proxy.message_times[-self.half] > since for proxy in proxies
        )

    def record(self, proxy, now):
        """Notes that a message is written to a proxy, and from when on it may get another one."""
        if not self.limit:
            return
        proxy.message_times.append(now)
        del proxy.message_times[: -self.limit]
        proxy.next_message_at = self.earliest(proxy.message_times)

    def earliest(self, times):
        """The earliest time of a message after which one per interval may follow. `times`: of the last messages, as
        many as the limit, the oldest first.

        The message `k` intervals after the next one is the `k + 1`st from then on. It stays within the limit if only
        the newest `limit - k - 1` of `times` are still in the window by then.
        """
        intervals = range(min(self.limit, -(-self.window // self.interval)))
        return max(
            (
                times[k - self.limit] + self.window - k * self.interval
                for k in intervals
                if self.limit - k <= len(times)
            ),
            default=0,
        )
