"""Decoding that every transport shares: units into microseconds, ids into small indices, settings into a `Bootstrap`.

Nothing here makes a decision.
"""

from cranecleat.interface import Bootstrap, Route

US_PER_SECOND = 1_000_000
US_PER_MS = 1_000
ADMISSIONS = ("fraction", "per_second", "silent")


class MalformedError(ValueError):
    """Input from outside the process that cannot be read; the text says what is wrong."""


def to_microseconds(seconds):
    """Whole microseconds, rounded."""
    return round(seconds * US_PER_SECOND)


def to_indices(names, all_names):
    """A restriction to zones or kinds, given as names or indices, as a set of indices; None for no restriction."""
    if not names:
        return None
    return frozenset(all_names.index(n) if isinstance(n, str) else int(n) for n in names)


def lookup(allowed, value, what):
    """Checks that `value` is allowed; returns what a dictionary maps it to, or else the value itself."""
    if value not in allowed:
        raise MalformedError(f"unknown {what} {value!r}")
    return allowed[value] if isinstance(allowed, dict) else value


def decode_bootstrap(info):
    """Decodes the settings of a start message. The error for a missing setting names it."""
    try:
        specifics, rules = info["specifics"], info["rules"]
        zones, kinds = info["localities"], info.get("skus", [])
        own_zone = specifics.get("zoneBound", [])
        routes = tuple(
            Route(
                importance=float(request_class["credit"]),
                slo=to_microseconds(request_class["goalTime"]),
                own_zone=bool(own_zone[i]) if i < len(own_zone) else False,
                kinds=to_indices(request_class.get("onlyKinds"), kinds),
                zones=to_indices(request_class.get("onlyZones"), zones),
            )
            for i, request_class in enumerate(info["requestClasses"])
        )
        return Bootstrap(
            routes=routes,
            zones=len(zones),
            coordinators=int(info.get("groupSize", 1)),
            must_watch=info["membershipMode"] == "ask",
            watch_timeout=to_microseconds(rules.get("askWithin", 10)),
            admission=lookup(ADMISSIONS, specifics["admission"], "admission"),
            cycle=to_microseconds(specifics["cycle"]),
            backlog=int(specifics["backlog"]),
            channel_lines_per_second=float(specifics["egressPerS"]),
            message_overhead=float(specifics["perMessage"]),
            message_limit=int(specifics.get("messagesMost", 0)),
            message_limit_window=to_microseconds(specifics.get("countedOver", 10)),
            grace=to_microseconds(rules["stopSendingWithin"]),
            warm_up_time=to_microseconds(rules["cold"]),
            cold_start_capacity=float(rules["coldFrom"]),
            proxies=int(specifics.get("proxyCount") or 0),
            report_lines_per_second=float(specifics.get("intakePerS") or 0),
            cold_overload_multiple=float(rules.get("tipMultiple", 3.0)),
        )
    except KeyError as missing:
        raise MalformedError(f"the start message lacks {missing.args[0]!r}") from None
    except MalformedError:
        raise
    except (TypeError, ValueError, OverflowError, AttributeError, IndexError) as wrong:
        raise MalformedError(f"the start message cannot be read: {wrong}") from None


class IndexMap:
    """Maps backend ids to small indices and back, for one planner. The index of a forgotten backend is used again."""

    def __init__(self):
        self.ids = []  # index -> backend id, or None for a free index
        self.index = {}  # backend id -> index
        self.free = []  # indices that belong to no backend

    def __call__(self, name):
        """The index of a backend; a name that is not known yet gets one."""
        if name not in self.index:
            if not self.free:
                self.free.append(len(self.ids))
                self.ids.append(None)
            self.index[name] = self.free.pop()
            self.ids[self.index[name]] = name
        return self.index[name]

    def forget(self, index):
        """Frees the index of a backend."""
        del self.index[self.ids[index]]
        self.ids[index] = None
        self.free.append(index)
