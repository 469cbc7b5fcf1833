"""Counts the lines that may still wait in the channel.

Every line counts that is not known to have left the channel, so the count is an upper bound at any sending speed.
"""


class Channel:
    """An upper bound of the channel's queue, in lines.

    `message_overhead` is what a message costs beside its own lines; it includes the line that requests an
    acknowledgement. Within a round each proxy is charged for one message, and the lines of a table are charged once for
    all of its users (`table_lines`). `commit_round` splits these charges by proxy.
    """

    def __init__(self, message_overhead):
        self.message_overhead = message_overhead
        self.queued_lines = 0.0  # lines that may wait
        self.unacknowledged = []  # (ack number, proxy -> lines, time of writing) of the messages that hold these lines
        # Charges of the current round.
        self.charged_proxies = {}  # proxies that get a message
        self.table_lines = {}  # table -> lines that go to each of its users
        self.message_counts = {}  # (table, proxies charged so far) -> messages needed

    def messages_needed(self, proxies, table=None):
        """How many of these proxies get no message in this round yet.

        With a table, the result is computed once for all lines of that table.
        """
        key = table, len(self.charged_proxies)
        if table is None or key not in self.message_counts:
            self.message_counts[key] = sum(p.number not in self.charged_proxies for p in proxies)
        return self.message_counts[key]

    def near_message_limit(self, proxies, since, message_limit):
        """Whether any of these proxies was sent half of the allowed messages, or more, after `since`."""
        return bool(message_limit) and any(
            2 * sum(sent_at > since for sent_at in p.message_times) >= message_limit for p in proxies
        )

    def charge(self, proxies, lines=1):
        """Charges each of these proxies for `lines`, and for a message if it gets none in this round yet."""
        for p in proxies if lines else ():
            added = lines + (0 if p.number in self.charged_proxies else self.message_overhead)
            self.queued_lines += added
            p.message_cost += added
            self.charged_proxies[p.number] = p

    def charge_table(self, table, lines, users):
        """Charges all users of a table for `lines`, and for a message where they get none in this round yet."""
        if table not in self.table_lines:
            for p in users:
                if p.number not in self.charged_proxies:
                    self.queued_lines += self.message_overhead
                    p.message_cost = self.message_overhead
                    self.charged_proxies[p.number] = p
        self.table_lines[table] = self.table_lines.get(table, 0) + lines
        self.queued_lines += lines * len(users)

    def exclude_new_binding(self, proxy, tables):
        """Subtracts the round's earlier lines of these tables: they went only to proxies that were bound before it."""
        proxy.message_cost -= sum(self.table_lines.get(table, 0) for table in tables)

    def commit_round(self, ack_number, recipients, now, message_limit):
        """Records the round's messages as unacknowledged and clears its charges.

        `recipients` are the proxies that get a message after all; None means all that were charged. The others know
        everything already: nothing is written to them, and they acknowledge nothing.
        """
        written = {
            p: proxy.message_cost + sum(self.table_lines.get(table, 0) for table in proxy.bound_tables)
            for p, proxy in self.charged_proxies.items()
        }
        for p in written.keys() - (written.keys() if recipients is None else recipients):
            self.queued_lines -= written.pop(p)
        if written:
            self.unacknowledged.append((ack_number, written, now))
        for p, proxy in self.charged_proxies.items():
            if message_limit and p in written:
                proxy.message_times = [*proxy.message_times[1 - message_limit :], now]
            proxy.message_cost = 0
        self.charged_proxies, self.table_lines, self.message_counts = {}, {}, {}

    def acknowledge(self, p, ack_number):
        """Takes off what has left the channel once proxy `p` has acknowledged a message.

        The channel sends in order, so everything that was written in earlier rounds has left it as well.
        """
        for i, (number, lines, _) in enumerate(self.unacknowledged):
            if number == ack_number and p in lines:
                earlier = self.unacknowledged[:i]
                self.queued_lines -= lines.pop(p) + sum(sum(older.values()) for _, older, _ in earlier)
                del self.unacknowledged[:i]
                break

    def leave(self, p):
        """Takes off what was written to a proxy that has left."""
        for _, lines, _ in self.unacknowledged:
            self.queued_lines -= lines.pop(p, 0.0)

    def expire_unacknowledged(self, since):
        """Takes off what was written at `since` or before.

        It has left the channel, or it went to streams that have gone silent. These count as gone, as their
        acknowledgements never come.
        """
        while self.unacknowledged and self.unacknowledged[0][2] <= since:
            self.queued_lines -= sum(self.unacknowledged.pop(0)[1].values())
