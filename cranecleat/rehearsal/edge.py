"""Simulated proxies, and the two ways in which a coordinator's decisions reach them: streams that share a channel, or
files in a folder.

Both implement the planner's `Writer`. The folder uses the real ledger and the real readers' views; its disk is a dict.
"""

from cranecleat.files.format import read_body, read_orders, read_tables
from cranecleat.files.ledger import Ledger
from cranecleat.files.view import View
from cranecleat.rehearsal.world import SECOND


class Proxy:
    def __init__(self, number, zone, initial_table):
        self.number, self.zone = number, zone
        self.coordinator = None  # the coordinator that it is joined to
        self.tables = {}  # route -> {backend: weight}, once it is bound
        self.initial_table = initial_table  # {backend: weight} that it drew at its start, used until it is bound
        self.withdrawn = set()
        self.levels = {}  # route -> admission level
        self.calls_by_route = {}  # since the last report
        self.tries_by_backend = {}  # backend -> [tries, unanswered, microseconds that answers took], likewise

    def weights(self, route):
        return self.tables.get(route, self.initial_table)

    def pick(self, route, point, excluded=()):
        """A backend by weight that is not in `excluded`, or None where none is left. `point` is a random number from 0
        to 1."""
        entries = [
            (b, w) for b, w in self.weights(route).items() if b not in self.withdrawn and b not in excluded and w > 0
        ]
        remaining = point * sum(w for _, w in entries)
        for b, weight in entries:
            remaining -= weight
            if remaining < 0:
                return b
        return entries[-1][0] if entries else None

    def apply(self, orders):
        for what, *values in orders:
            if what == "table":
                route, weights = values
                self.tables[route] = dict(weights)
            elif what == "weight":
                route, backend, weight = values
                weights = self.tables.setdefault(route, dict(self.initial_table))
                weights[backend] = weight
                if not weight:
                    del weights[backend]
            elif what == "withdrawal":
                (self.withdrawn.add if values[1] else self.withdrawn.discard)(values[0])
            else:
                self.levels[values[0]] = values[1]


class Channel:
    """Sends messages in order at a fixed number of lines per second.

    `queued_lines` counts the lines that wait, as rule 5 counts them. A message costs
    `message_overhead` + 1 lines besides its content.
    """

    def __init__(self, simulation, lines_per_second, message_overhead, backlog, queue_event):
        self.simulation = simulation
        self.lines_per_second, self.message_overhead, self.backlog = lines_per_second, message_overhead, backlog
        self.queue_event = queue_event
        self.free_at = 0  # when all that waits has been sent
        self.queued_lines, self.max_queued_lines = 0.0, 0.0
        self.joined = {}  # number -> proxy
        self.tables = {}  # table -> {backend: weight}
        self.bound = {}  # proxy -> {route: table}
        self.speed_factor = 1.0
        self.clear_round()

    def clear_round(self):
        """Forgets the changes of the round."""
        self.changed_weights = []  # (table, backend, weight)
        self.new_bindings = {}  # proxy -> routes
        self.changed_withdrawals = []  # (backend, whether it is withdrawn)
        self.changed_levels = {}  # route -> level
        self.ack_number = None

    # The planner's Writer

    def set_weight(self, table, backend, weight):
        weights = self.tables.setdefault(table, {})
        weights[backend] = weight
        if not weight:
            del weights[backend]
        self.changed_weights.append((table, backend, weight))

    def bind(self, proxy, table, routes, is_subset=False):
        for route in routes:
            self.bound.setdefault(proxy, {})[route] = table
            self.new_bindings.setdefault(proxy, set()).add(route)

    def withdraw(self, backend, withdrawn):
        self.changed_withdrawals.append((backend, withdrawn))

    def set_admission(self, table, routes, level, tries):
        for route in routes:
            self.changed_levels[route] = level

    def request_ack(self, ack_number):
        """Returns the proxies that get a message of this round."""
        self.ack_number = ack_number
        changed_tables = {table for table, _, _ in self.changed_weights}
        return {
            p
            for p in self.joined
            if self.changed_withdrawals
            or self.changed_levels
            or p in self.new_bindings
            or changed_tables & set(self.bound.get(p, {}).values())
        }

    def forget(self, backend):
        """Does nothing: the simulation does not reuse the indices of backends."""

    def watch(self):
        """Does nothing: in the simulation a watch of discovery is always open, although its news may come late."""

    def set_timer(self, at, timer):
        self.simulation.call_at(at, self.queue_event, ("timer_fired", timer))

    def log(self, text):
        """Does nothing: the results are taken from the planner's state."""

    # Sending

    def leave(self, proxy):
        self.joined.pop(proxy, None)
        self.bound.pop(proxy, None)

    def flush(self):
        """Sends the round's messages: one to each proxy for which something has changed."""
        for number, proxy in self.joined.items():
            bound, new_routes = self.bound.get(number, {}), self.new_bindings.get(number, ())
            orders = [("table", route, self.tables.get(bound[route], {})) for route in new_routes]
            cost = sum(1 + len(weights) for _, _, weights in orders)
            orders += [
                ("weight", route, b, w)
                for table, b, w in self.changed_weights
                for route, bound_table in bound.items()
                if bound_table == table and route not in new_routes
            ]
            orders += [("withdrawal", b, withdrawn) for b, withdrawn in self.changed_withdrawals]
            orders += [("level", route, level) for route, level in self.changed_levels.items()]
            cost += sum(order[0] != "table" for order in orders)
            if orders:
                self.send(proxy, orders, cost + self.message_overhead + 1, self.ack_number)
        self.clear_round()

    def send(self, proxy, orders, cost, ack_number):
        self.queued_lines += cost
        self.max_queued_lines = max(self.max_queued_lines, self.queued_lines)
        copied = [(o[0], o[1], dict(o[2])) if o[0] == "table" else o for o in orders]
        duration = cost / (self.lines_per_second * self.speed_factor) * SECOND
        self.free_at = max(self.free_at, self.simulation.now) + duration
        self.simulation.call_at(round(self.free_at), self.deliver, proxy, copied, cost, ack_number)

    def deliver(self, proxy, orders, cost, ack_number):
        self.queued_lines -= cost
        if self.joined.get(proxy.number) is proxy:
            proxy.apply(orders)
            self.simulation.call_after(SECOND // 100, self.queue_event, ("acknowledged", proxy.number, ack_number))


class Folder:
    """Serves proxies through files.

    Each proxy polls every 50 to 150 ms and reports what it has in force within 250 ms after a change.
    """

    POLL_INTERVAL_US, REPORT_DELAY_US = SECOND // 10, SECOND // 4

    def __init__(self, simulation, names, routes, queue_event, number):
        self.simulation, self.queue_event = simulation, queue_event
        self.random = simulation.random_generator(f"folder {number}")
        self.ledger = Ledger(names, routes, 1 + number, 1)
        self.routes, self.backend_index = routes, {}
        self.files = {}  # name, or a proxy's number for its orders -> data
        self.readers = {}  # number -> (proxy, its view of the files)
        self.max_queued_lines = 0
        for method in ("set_weight", "bind", "withdraw", "set_admission", "request_ack", "forget"):
            setattr(self, method, getattr(self.ledger, method))

    @property
    def proxies(self):
        return self.ledger.proxies

    @property
    def joined(self):
        return {number: proxy for number, (proxy, _) in self.readers.items()}

    def join(self, proxy):
        self.ledger.join(proxy.number)
        self.readers[proxy.number] = proxy, View(proxy.number)
        delay = self.POLL_INTERVAL_US * self.random.random()
        self.simulation.call_after(delay, self.poll, proxy, self.readers[proxy.number][1])

    def leave(self, number):
        self.ledger.leave(number)
        self.readers.pop(number, None)

    def flush(self):
        """Publishes the round's changes."""
        if not self.ledger.has_changes():
            return
        for step in [*self.ledger.steps(), *self.ledger.publication_done(self.simulation.now)]:
            if step[0] == "drop":
                self.files.pop(step[1], None)
            else:
                self.ledger.step_done(step)
                self.files[step[1] if len(step) > 2 else "tables"] = step[-1]
        self.backend_index = {name: b for b, name in self.ledger.names.ids.items()}

    def poll(self, proxy, view):
        """A proxy reads the files and applies what is new, until it has left or joined anew."""
        if self.readers.get(proxy.number, (None, None))[1] is not view:
            return
        if proxy.number in self.files:
            orders, tables = read_orders(self.files[proxy.number]), read_tables(self.files["tables"])
            before = view.seen
            view.offer(orders, tables, lambda name: read_body(self.files[name], name))
            if view.seen != before:
                self.apply(proxy, view)
                delay = self.REPORT_DELAY_US * self.random.random()
                self.simulation.call_after(delay, self.report, proxy.number, view.in_force.applied)
        delay = self.POLL_INTERVAL_US * (0.5 + self.random.random())
        self.simulation.call_after(delay, self.poll, proxy, view)

    def apply(self, proxy, view):
        for route, weights in view.in_force.weights.items():
            proxy.tables[self.routes.index(route)] = {self.backend_index[b]: w for b, w in weights.items()}
        proxy.withdrawn = {self.backend_index[b] for b in view.in_force.withdrawn}
        proxy.levels = {self.routes.index(route): level for route, (level, _) in view.in_force.levels.items()}

    def report(self, number, generations):
        for ack_number in self.ledger.acknowledge(number, *generations, 0, self.simulation.now):
            self.queue_event(("acknowledged", number, ack_number))
