"""The simulator's messages: decodes its events into events of the planner, and encodes decisions as actions.

The events of the planner and their values are described at the methods of that name in `Planner`.
"""

from cranecleat.decoding import US_PER_SECOND, lookup, to_microseconds

ALL_TABLES = 65535  # the table number that stands for all tables of all joined proxies
# Words of the wire -> words of the planner; for the scopes see `Planner.backends_listed`.
SCOPES = {"patch": "changes", "whole": "whole", "stale_copy": "held", "broken": "failed"}
STATES = {"Running": "running", "Stopping": "draining", "Deleted": "gone"}


def decode(event, names):
    """An event as one of the planner (its name and values).

    Returns None for an unknown kind of event, and for a report of attempts ("tally") at a backend without an index.
    The planner does nothing at "timer_fired", as it runs a round for any event, nor at the "slice_" events,
    "probe_answered" and "peer_message_received".
    """
    kind = event["kind"]
    if kind == "tally":
        load = event.get("telemetry") or {}
        busy, served = load.get("utilization"), load.get("throughput")
        has_load = isinstance(busy, int | float) and isinstance(served, int | float)
        if event["backend"] not in names.index:
            return None  # it was forgotten or never listed
        return (
            "attempts_reported",
            names(event["backend"]),
            int(event.get("failureDomain", 0)),
            int(event.get("many", 0)),
            int(event.get("unanswered", 0)),
            to_microseconds(event.get("costTime", 0)),
            to_microseconds(event.get("covers", 0)),
            (float(busy), float(served)) if has_load else None,
        )
    if kind == "offeredLoad":
        return (
            "demand_reported",
            int(event["sidecar"]),
            int(event.get("lane", 0)),
            int(event.get("many", 0)),
            to_microseconds(event.get("covers", 0)),
        )
    if kind == "timeoutFired":
        return ("timer_fired", int(event.get("mark", 0)))
    if kind == "installed":
        return ("acknowledged", int(event["sidecar"]), int(event.get("number", 0)))
    if kind == "connected":
        return (
            "proxy_joined",
            int(event["sidecar"]),
            int(event.get("failureDomain", 0)),
            float(event.get("share", 0)),
            bool(event.get("set", False)),
        )
    if kind == "droppedOff":
        return ("proxy_left", int(event["sidecar"]))
    if kind == "rosterChange":
        entries = [
            (
                names(r["backend"]),
                lookup(STATES, r.get("state", "Running"), "state"),
                int(r.get("failureDomain", 0)),
                int(r.get("type", 0)),
                float(r.get("share", 1)),
                to_microseconds(r.get("startedAt", 0) or 0),
            )
            for r in event.get("records") or []
        ]
        return ("backends_listed", lookup(SCOPES, event.get("scope", "patch"), "scope"), entries)
    if kind == "leased":
        return ("slice_given", int(event["routeTable"]), bool(event.get("set", False)))
    if kind == "recorded":
        return ("slice_line", int(event["routeTable"]), names(event["backend"]), float(event.get("share", 0)))
    if kind == "keyLoad":
        return (
            "slice_calls",
            int(event["routeTable"]),
            int(event.get("lane", 0)),
            int(event.get("many", 0)),
            to_microseconds(event.get("covers", 0)),
        )
    if kind == "echo":
        return (
            "probe_answered",
            names(event["backend"]),
            event.get("stateCode") == "done",
            to_microseconds(event.get("costTime", 0)),
        )
    if kind == "datagram":
        return ("peer_message_received", int(event.get("src", 0)), str(event.get("content", "")))
    return None


class ActionWriter:
    """The planner's `Writer` for one coordinator: appends each decision to the actions of a reply.

    The methods that `Writer` does not have (`clear`, `fetch`, `probe`, `send_to_peer` and `fault`) write further
    actions of the simulator; the planner calls none of them.
    """

    def __init__(self, coordinator_name, names, actions):
        self.coordinator_name = coordinator_name
        self.names = names  # backend ids and their indices
        self.actions = actions  # of the present reply

    def append(self, kind, **fields):
        """Appends an action of this coordinator."""
        self.actions.append({"kind": kind, "coordinator": self.coordinator_name, **fields})

    @staticmethod
    def route_bits(routes):
        """Routes as a bit mask: bit r stands for route r."""
        return sum(1 << r for r in routes)

    def set_weight(self, table, backend, weight):
        self.append("setWeight", routeTable=table, backend=self.names.ids[backend], share=weight)

    def clear(self, table):
        self.append("empty", routeTable=table)

    def bind(self, proxy, table, routes, is_subset=False):
        self.append("subscribeTo", sidecar=proxy, routeTable=table, classes=self.route_bits(routes))

    def withdraw(self, backend, withdrawn):
        self.append("bench", backend=self.names.ids[backend], set=withdrawn)

    def set_admission(self, table, routes, level, tries):
        self.append(
            "ration",
            routeTable=ALL_TABLES if table is None else table,
            classes=self.route_bits(routes),
            quota=level,
            how=tries,
        )

    def forget(self, backend):
        self.names.forget(backend)

    def request_ack(self, ack_number):
        self.append("seal", number=ack_number, set=False)

    def watch(self):
        self.append("listen", set=True)

    def fetch(self):
        self.append("readList")

    def probe(self, backend):
        self.append("healthCheck", backend=self.names.ids[backend])

    def send_to_peer(self, peer, text):
        self.append("memoTo", to=peer, content=text)

    def set_timer(self, at, number):
        self.append("sleep", time=at / US_PER_SECOND, mark=number)

    def log(self, text):
        self.append("trace", reasonText=text)

    def fault(self, text):
        """Reports to the simulator that the coordinator's events could not be handled."""
        self.append("fault", reasonText=text)
