"""Which proxies are bound to which table, and which still wait for a table, in the order in which they joined."""


class Users:
    """Proxies by table. A proxy that is bound to fewer than `tables_per_proxy` tables waits.

    A `proxy` is a `Proxy`, and a `proxy_id` its id.
    """

    def __init__(self, tables_per_proxy):
        self.tables_per_proxy = tables_per_proxy
        self.proxies_by_table = {}  # table -> {proxy_id: proxy}
        self.waiting = {}  # proxy_id -> proxy
        self.unbound = set()  # ids of proxies that are bound to no table at all

    def join(self, proxy_id, proxy):
        self.waiting[proxy_id] = proxy
        self.unbound.add(proxy_id)

    def leave(self, proxy_id, proxy):
        self.waiting.pop(proxy_id, None)
        self.unbound.discard(proxy_id)
        for table in proxy.bound_tables:
            self.proxies_by_table[table].pop(proxy_id, None)

    def bind(self, proxy_id, proxy, table):
        """Records that a proxy is bound to a table; with its last one it no longer waits."""
        proxy.bound_tables.add(table)
        self.proxies_by_table.setdefault(table, {})[proxy_id] = proxy
        self.unbound.discard(proxy_id)
        if len(proxy.bound_tables) >= self.tables_per_proxy:
            self.waiting.pop(proxy_id, None)

    def of_table(self, table):
        """The proxies that are bound to a table."""
        return self.proxies_by_table.get(table, {}).values()
