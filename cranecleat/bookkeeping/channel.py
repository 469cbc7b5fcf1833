"""Lines that may still wait in the channel: all that is not known to have left counts, which holds at any pace."""


class Channel:
    """`head`: what a message costs beside its lines, its mark included. Within a round each proxy is charged a message
    once, each table's lines once for all of its users (`spent`); `post` parts that by proxy."""

    def __init__(self, head):
        self.head, self.queued_lines, self.unacknowledged = (
            head,
            0.0,
            [],
        )  # lines that may wait; (mark, proxy -> lines, when) of them
        self.charged_proxies, self.table_lines = {}, {}  # of a round: who gets a message; table -> lines to all users
        self.counted = {}  # of a round: (table, charged so far) -> heads

    def messages_needed(self, proxies, table=None):
        """How many of them get no message of this round yet; counted once for all lines of a table."""
        key = table, len(self.charged_proxies)
        if table is None or key not in self.counted:
            self.counted[key] = sum(p.number not in self.charged_proxies for p in proxies)
        return self.counted[key]

    def near_message_limit(self, proxies, since, messages_most):
        """Whether one of them was sent half of the messages that are counted, or more."""
        return bool(messages_most) and any(
            2 * sum(at > since for at in p.message_times) >= messages_most for p in proxies
        )

    def charge(self, proxies, lines=1):
        for p in proxies if lines else ():
            added = lines + (0 if p.number in self.charged_proxies else self.head)
            self.queued_lines += added
            p.message_cost += added
            self.charged_proxies[p.number] = p

    def charge_table(self, table, lines, users):
        if table not in self.table_lines:
            for p in users:
                if p.number not in self.charged_proxies:
                    self.queued_lines += self.head
                    p.message_cost = self.head
                    self.charged_proxies[p.number] = p
        self.table_lines[table] = self.table_lines.get(table, 0) + lines
        self.queued_lines += lines * len(users)

    def exclude_new_binding(self, proxy, tables):
        """Lines of this round went to those that were bound before it."""
        proxy.message_cost -= sum(self.table_lines.get(table, 0) for table in tables)

    def commit_round(self, mark, reached, now, messages_most):
        """`reached`: who gets a message after all; the others know all that already, and will acknowledge nothing."""
        written = {
            p: proxy.message_cost + sum(self.table_lines.get(table, 0) for table in proxy.bound_tables)
            for p, proxy in self.charged_proxies.items()
        }
        for p in written.keys() - (written.keys() if reached is None else reached):
            self.queued_lines -= written.pop(p)
        if written:
            self.unacknowledged.append((mark, written, now))
        for p, proxy in self.charged_proxies.items():
            if messages_most and p in written:
                proxy.message_times = [*proxy.message_times[1 - messages_most :], now]
            proxy.message_cost = 0
        self.charged_proxies, self.table_lines, self.counted = {}, {}, {}

    def acknowledge(self, p, number):
        """The channel sends in order: what was written before a message that has arrived has left it."""
        for i, (mark, lines, _) in enumerate(self.unacknowledged):
            if mark == number and p in lines:
                self.queued_lines -= lines.pop(p) + sum(sum(older.values()) for _, older, _ in self.unacknowledged[:i])
                del self.unacknowledged[:i]
                break

    def leave(self, p):
        for _, lines, _ in self.unacknowledged:
            self.queued_lines -= lines.pop(p, 0.0)

    def expire_unacknowledged(self, since):
        """What was written by `since` has left the channel, or went to streams that have gone silent: those count as
        left, and their marks are never answered."""
        while self.unacknowledged and self.unacknowledged[0][2] <= since:
            self.queued_lines -= sum(self.unacknowledged.pop(0)[1].values())
