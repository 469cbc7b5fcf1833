"""Which proxies are bound to which table, and which still wait for a table, in the order in which they joined."""


class Users:
    """Proxies by table. A proxy that is bound to fewer than `tables_per_proxy` tables waits."""

    def __init__(self, tables_per_proxy):
        self.tables_per_proxy = tables_per_proxy
        self.proxies_by_table = {}  # table -> {p: proxy}
        self.waiting = {}  # p -> proxy
        self.unbound = set()  # proxies that are bound to no table at all

    def join(self, p, proxy):
        self.waiting[p] = proxy
        self.unbound.add(p)

    def leave(self, p, proxy):
        self.waiting.pop(p, None)
        self.unbound.discard(p)
        for table in proxy.bound_tables:
            self.proxies_by_table[table].pop(p, None)

    def bind(self, p, proxy, table):
        """Records that a proxy is bound to a table; with its last one it no longer waits."""
        proxy.bound_tables.add(table)
        self.proxies_by_table.setdefault(table, {})[p] = proxy
        self.unbound.discard(p)
        if len(proxy.bound_tables) >= self.tables_per_proxy:
            self.waiting.pop(p, None)

    def of_table(self, table):
        return self.proxies_by_table.get(table, {}).values()
