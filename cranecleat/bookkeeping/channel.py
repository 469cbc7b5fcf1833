"""Counts the lines that may still wait in the channel.

A line counts from the decision that writes it. It stops counting when its proxy acknowledges the message, when any
proxy acknowledges a message of a later round, when its proxy leaves, or when it is too old (`expire_unacknowledged`).
The count is an upper bound at any sending speed, apart from lines of proxies that have left and lines that are too old.
"""


class Channel:
    """The count of lines in the channel's queue.

    `message_overhead` is what a message costs beside its own lines. It includes the line that requests an
    acknowledgement, which `Bootstrap.message_overhead` does not. Within a round each proxy is charged for one message,
    and the lines of a table are charged once for all of its users (`table_lines`). `commit_round` splits these charges
    by proxy. A `proxy` is a `Proxy` here, and a `proxy_id` its id.
    """

    def __init__(self, message_overhead):
        self.message_overhead = message_overhead
        self.queued_lines = 0.0  # lines that may wait now, with those that the current round has charged
        self.unacknowledged = []  # one entry per round: (ack number, proxy id -> lines, time of writing)
        # Charges of the current round.
        self.charged_proxies = {}  # proxy id -> proxy that gets a message
        self.table_lines = {}  # table -> lines that go to each of its users
        self.message_counts = {}  # (table, number of proxies charged so far) -> messages needed

    def messages_needed(self, proxies, table=None):
        """How many of these proxies get no message in this round yet.

        With a table, the result is kept, as its lines go to the same proxies, until another proxy is charged.
        """
        key = table, len(self.charged_proxies)
        if table is None or key not in self.message_counts:
            self.message_counts[key] = sum(proxy.proxy_id not in self.charged_proxies for proxy in proxies)
        return self.message_counts[key]

    def charge(self, proxies, lines=1):
        """Charges each of these proxies for `lines`, and for a message if it gets none in this round yet.

        Without lines there is no message, and no charge.
        """
        charged = proxies if lines else ()
        for proxy in charged:
            added = lines + (0 if proxy.proxy_id in self.charged_proxies else self.message_overhead)
            self.queued_lines += added
            proxy.message_cost += added
            self.charged_proxies[proxy.proxy_id] = proxy

    def charge_table(self, table, lines, users):
        """Charges all users of a table for `lines`, and for a message where they get none in this round yet."""
        if table not in self.table_lines:
            for proxy in users:
                if proxy.proxy_id not in self.charged_proxies:
                    self.queued_lines += self.message_overhead
                    proxy.message_cost = self.message_overhead
                    self.charged_proxies[proxy.proxy_id] = proxy
        self.table_lines[table] = self.table_lines.get(table, 0) + lines
        self.queued_lines += lines * len(users)

    def exclude_lines_before_binding(self, proxy, tables):
        """Called when a proxy is bound to tables, for the lines that the round charged to them before the binding.

        These lines went to the earlier users only, but `commit_round` charges the proxy for all of the round's lines of
        its tables. So they are subtracted from the proxy's cost in advance.
        """
        proxy.message_cost -= sum(self.table_lines.get(table, 0) for table in tables)

    def commit_round(self, ack_number, recipients, now):
        """Records the round's messages as unacknowledged and clears its charges. Returns the proxies that get one.

        `recipients` are the ids of the proxies that get a message after all; None means all that were charged. The
        others know everything already: nothing is written to them, and they acknowledge nothing.
        """
        written = {
            proxy_id: proxy.message_cost + sum(self.table_lines.get(table, 0) for table in proxy.bound_tables)
            for proxy_id, proxy in self.charged_proxies.items()
        }
        for proxy_id in written.keys() - (written.keys() if recipients is None else recipients):
            self.queued_lines -= written.pop(proxy_id)
        if written:
            self.unacknowledged.append((ack_number, written, now))
        for proxy in self.charged_proxies.values():
            proxy.message_cost = 0
        written_to = [self.charged_proxies[proxy_id] for proxy_id in written]
        self.charged_proxies, self.table_lines, self.message_counts = {}, {}, {}
        return written_to

    def acknowledge(self, proxy_id, ack_number):
        """Takes off what has left the channel once a proxy has acknowledged a message.

        The channel sends in order, so everything that was written in earlier rounds, to any proxy, has left it as well.
        The lines of the same round to other proxies stay.
        """
        for i, (number, lines, _) in enumerate(self.unacknowledged):
            if number == ack_number and proxy_id in lines:
                earlier = self.unacknowledged[:i]
                self.queued_lines -= lines.pop(proxy_id) + sum(sum(older.values()) for _, older, _ in earlier)
                del self.unacknowledged[:i]
                break

    def leave(self, proxy_id):
        """Takes off what was written to a proxy that has left."""
        for _, lines, _ in self.unacknowledged:
            self.queued_lines -= lines.pop(proxy_id, 0.0)

    def expire_unacknowledged(self, since):
        """Takes off what was written at `since` or before.

        It has left the channel, or it went to streams that have gone silent. These count as gone, as their
        acknowledgements never come.
        """
        while self.unacknowledged and self.unacknowledged[0][2] <= since:
            self.queued_lines -= sum(self.unacknowledged.pop(0)[1].values())
