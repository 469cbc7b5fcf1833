"""Proxies, and what one coordinator's orders reach them over: a channel of streams or a folder of files. Both are the
planner's `Writer`; the folder is the real ledger and the real readers' views on a disk that is a dict."""

from cranecleat.files.format import read_body, read_orders, read_tables
from cranecleat.files.ledger import Ledger
from cranecleat.files.view import View
from cranecleat.rehearsal.world import SECOND


class Proxy:
    def __init__(self, number, zone, standing):
        self.number, self.zone, self.home = number, zone, None  # the coordinator that it is joined to
        self.tables = {}  # route -> {backend: weight}; what it drew at its start until it is bound
        self.standing, self.out, self.levels = standing, set(), {}
        self.came = {}  # route -> calls since the last report
        self.met = {}  # backend -> [tries, losses, microseconds that answers took]

    def lines(self, route):
        return self.tables.get(route, self.standing)

    def pick(self, route, chance, without=()):
        """A backend by weight, or None where no line is left."""
        lines = [(b, w) for b, w in self.lines(route).items() if b not in self.out and b not in without and w > 0]
        point = chance * sum(w for _, w in lines)
        for b, weight in lines:
            point -= weight
            if point < 0:
                return b
        return lines[-1][0] if lines else None

    def apply(self, orders):
        for what, *values in orders:
            if what == "table":
                route, lines = values
                self.tables[route] = dict(lines)
            elif what == "line":
                route, backend, weight = values
                lines = self.tables.setdefault(route, dict(self.standing))
                lines[backend] = weight
                if not weight:
                    del lines[backend]
            elif what == "out":
                (self.out.add if values[1] else self.out.discard)(values[0])
            else:
                self.levels[values[0]] = values[1]


class Channel:
    """Sends in order at a pace; `waiting` counts lines as rule 5 does."""

    def __init__(self, world, pace, head, backlog, planner_told):
        self.world, self.pace, self.head, self.backlog = world, pace, head, backlog
        self.told, self.free, self.waiting, self.most = planner_told, 0, 0.0, 0.0
        self.joined, self.tables, self.bound = {}, {}, {}
        self.throttled = 1.0
        self.clear()

    def clear(self):
        self.lines, self.fresh, self.moved, self.set, self.number = [], {}, [], {}, None

    # The planner's Writer

    def set_weight(self, table, backend, weight):
        lines = self.tables.setdefault(table, {})
        lines[backend] = weight
        if not weight:
            del lines[backend]
        self.lines.append((table, backend, weight))

    def bind(self, proxy, table, routes, is_subset=False):
        for route in routes:
            self.bound.setdefault(proxy, {})[route] = table
            self.fresh.setdefault(proxy, set()).add(route)

    def withdraw(self, backend, out):
        self.moved.append((backend, out))

    def set_admission(self, table, routes, level, tries):
        for route in routes:
            self.set[route] = level

    def request_ack(self, number):
        """Returns who gets a message of this round."""
        self.number, tables = number, {table for table, _, _ in self.lines}
        return {
            p
            for p in self.joined
            if self.moved or self.set or p in self.fresh or tables & set(self.bound.get(p, {}).values())
        }

    def forget(self, backend):
        """Indices are not used again here."""

    def watch(self):
        """A watch is always up here; discovery may still be late."""

    def set_timer(self, at, number):
        self.world.at(at, self.told, ("timer_fired", number))

    def log(self, text):
        """What the planner says is told by its state in the results."""

    # Out

    def leave(self, proxy):
        self.joined.pop(proxy, None)
        self.bound.pop(proxy, None)

    def flush(self):
        """The round's messages, one a proxy concerned."""
        for number, proxy in self.joined.items():
            bound, fresh = self.bound.get(number, {}), self.fresh.get(number, ())
            orders = [("table", route, self.tables.get(bound[route], {})) for route in fresh]
            cost = sum(1 + len(lines) for _, _, lines in orders)
            orders += [
                ("line", route, b, w)
                for table, b, w in self.lines
                for route, mine in bound.items()
                if mine == table and route not in fresh
            ]
            orders += [("out", b, out) for b, out in self.moved]
            orders += [("level", route, level) for route, level in self.set.items()]
            cost += sum(order[0] != "table" for order in orders)
            if orders:
                self.send(proxy, orders, cost + self.head + 1, self.number)
        self.clear()

    def send(self, proxy, orders, cost, number):
        self.waiting += cost
        self.most = max(self.most, self.waiting)
        copied = [(o[0], o[1], dict(o[2])) if o[0] == "table" else o for o in orders]
        self.free = max(self.free, self.world.now) + cost / (self.pace * self.throttled) * SECOND
        self.world.at(round(self.free), self.arrive, proxy, copied, cost, number)

    def arrive(self, proxy, orders, cost, number):
        self.waiting -= cost
        if self.joined.get(proxy.number) is proxy:
            proxy.apply(orders)
            self.world.after(SECOND // 100, self.told, ("acknowledged", proxy.number, number))


class Folder:
    """Proxies served through files: each looks every 50 to 150 ms and says what it has in force with its next beat."""

    LOOK, BEAT = SECOND // 10, SECOND // 4

    def __init__(self, world, names, routes, planner_told, number):
        self.world, self.told, self.chance = world, planner_told, world.chance(f"folder {number}")
        self.ledger = Ledger(names, routes, 1 + number, 1)
        self.routes, self.index = routes, {}
        self.stands, self.readers, self.most = {}, {}, 0
        for put in ("set_weight", "bind", "withdraw", "set_admission", "request_ack", "forget"):
            setattr(self, put, getattr(self.ledger, put))

    @property
    def proxies(self):
        return self.ledger.proxies

    @property
    def joined(self):
        return {number: proxy for number, (proxy, _) in self.readers.items()}

    def join(self, proxy):
        self.ledger.join(proxy.number)
        self.readers[proxy.number] = proxy, View(proxy.number)
        self.world.after(self.LOOK * self.chance.random(), self.look, proxy, self.readers[proxy.number][1])

    def leave(self, number):
        self.ledger.leave(number)
        self.readers.pop(number, None)

    def flush(self):
        if not self.ledger.has_changes():
            return
        for step in [*self.ledger.steps(), *self.ledger.publication_done(self.world.now)]:
            if step[0] == "drop":
                self.stands.pop(step[1], None)
            else:
                self.ledger.step_done(step)
                self.stands[step[1] if len(step) > 2 else "tables"] = step[-1]
        self.index = {called: b for b, called in self.ledger.names.ids.items()}

    def look(self, proxy, view):
        if self.readers.get(proxy.number, (None, None))[1] is not view:
            return
        if proxy.number in self.stands:
            orders, tables = read_orders(self.stands[proxy.number]), read_tables(self.stands["tables"])
            before = view.seen
            view.offer(orders, tables, lambda called: read_body(self.stands[called], called))
            if view.seen != before:
                self.obey(proxy, view)
                self.world.after(self.BEAT * self.chance.random(), self.applied, proxy.number, view.in_force.applied)
        self.world.after(self.LOOK * (0.5 + self.chance.random()), self.look, proxy, view)

    def obey(self, proxy, view):
        for route, lines in view.in_force.weights.items():
            proxy.tables[self.routes.index(route)] = {self.index[b]: w for b, w in lines.items()}
        proxy.out = {self.index[b] for b in view.in_force.withdrawn}
        proxy.levels = {self.routes.index(route): level for route, (level, _) in view.in_force.levels.items()}

    def applied(self, number, generations):
        for mark in self.ledger.acknowledge(number, *generations, 0, self.world.now):
            self.told(("acknowledged", number, mark))
