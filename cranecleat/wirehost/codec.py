"""The bench's words: events into calls of the planner, decisions into actions."""

from cranecleat.decoding import US_PER_SECOND, choice, to_microseconds

ALL = 65535  # the table number that stands for all tables of all joined proxies
SCOPES = {"patch": "changes", "whole": "whole", "stale_copy": "held", "broken": "failed"}
STATES = {"Running": "running", "Stopping": "draining", "Deleted": "gone"}


def decode(event, names):
    """An event as a call of the planner (a verb and its values), or None for an unknown kind."""
    kind = event["kind"]
    if kind == "tally":
        load = event.get("telemetry") or {}
        busy, served = load.get("utilization"), load.get("throughput")
        known = isinstance(busy, int | float) and isinstance(served, int | float)
        if event["backend"] not in names.index:
            return None  # forgotten, or never listed
        return (
            "attempts_reported",
            names(event["backend"]),
            int(event.get("failureDomain", 0)),
            int(event.get("many", 0)),
            int(event.get("unanswered", 0)),
            to_microseconds(event.get("costTime", 0)),
            to_microseconds(event.get("covers", 0)),
            (float(busy), float(served)) if known else None,
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
                choice(STATES, r.get("state", "Running"), "state"),
                int(r.get("failureDomain", 0)),
                int(r.get("type", 0)),
                float(r.get("share", 1)),
                to_microseconds(r.get("startedAt", 0) or 0),
            )
            for r in event.get("records") or []
        ]
        return ("backends_listed", choice(SCOPES, event.get("scope", "patch"), "scope"), entries)
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


class Actions:
    """The writer of one instance: decisions become the actions of a reply."""

    def __init__(self, instance, names, out):
        self.instance, self.names, self.out = instance, names, out

    def put(self, kind, **fields):
        self.out.append({"kind": kind, "coordinator": self.instance, **fields})

    @staticmethod
    def bits(routes):
        return sum(1 << r for r in routes)

    def set_weight(self, table, backend, weight):
        self.put("setWeight", routeTable=table, backend=self.names.ids[backend], share=weight)

    def clear(self, table):
        self.put("empty", routeTable=table)

    def bind(self, proxy, table, routes, is_subset=False):
        self.put("subscribeTo", sidecar=proxy, routeTable=table, classes=self.bits(routes))

    def withdraw(self, backend, out):
        self.put("bench", backend=self.names.ids[backend], set=out)

    def set_admission(self, table, routes, level, tries):
        self.put(
            "ration", routeTable=ALL if table is None else table, classes=self.bits(routes), quota=level, how=tries
        )

    def forget(self, backend):
        self.names.forget(backend)

    def request_ack(self, number):
        self.put("seal", number=number, set=False)

    def watch(self):
        self.put("listen", set=True)

    def fetch(self):
        self.put("readList")

    def probe(self, backend):
        self.put("healthCheck", backend=self.names.ids[backend])

    def tell(self, peer, text):
        self.put("memoTo", to=peer, content=text)

    def set_timer(self, at, number):
        self.put("sleep", time=at / US_PER_SECOND, mark=number)

    def log(self, text):
        self.put("trace", reasonText=text)

    def fault(self, text):
        self.put("fault", reasonText=text)
