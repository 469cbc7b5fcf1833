"""Decoding that every transport shares: units into microseconds, ids into small indices, the settings into a
`Bootstrap`. Nothing here decides anything."""

from cranecleat.interface import Bootstrap, Route

US_PER_SECOND, US_PER_MS = 1_000_000, 1_000  # microseconds in a second, in a millisecond
ADMISSIONS = ("fraction", "per_second", "silent")


class MalformedError(ValueError):
    """Something that a front was given and cannot read; the text says what."""


def to_microseconds(seconds):
    return round(seconds * US_PER_SECOND)


def indices(names, all_names):
    """A restriction to named zones or kinds, given as names or indices, as a set of indices."""
    if not names:
        return None
    return frozenset(all_names.index(n) if isinstance(n, str) else int(n) for n in names)


def choice(table, value, what):
    if value not in table:
        raise MalformedError(f"unknown {what} {value!r}")
    return table[value] if isinstance(table, dict) else value


def decode_bootstrap(info):
    """Decodes the settings of a start message; a missing figure is named in the error."""
    try:
        special, rules = info["specifics"], info["rules"]
        zones, kinds = info["localities"], info.get("skus", [])
        own_zone = special.get("zoneBound", [])
        routes = tuple(
            Route(
                importance=float(c["credit"]),
                slo=to_microseconds(c["goalTime"]),
                own_zone=bool(own_zone[i]) if i < len(own_zone) else False,
                kinds=indices(c.get("onlyKinds"), kinds),
                zones=indices(c.get("onlyZones"), zones),
            )
            for i, c in enumerate(info["requestClasses"])
        )
        return Bootstrap(
            routes=routes,
            zones=len(zones),
            coordinators=int(info.get("groupSize", 1)),
            must_watch=info["membershipMode"] == "ask",
            watch_timeout=to_microseconds(rules.get("askWithin", 10)),
            admission=choice(ADMISSIONS, special["admission"], "admission"),
            cycle=to_microseconds(special["cycle"]),
            backlog=int(special["backlog"]),
            channel_lines_per_second=float(special["egressPerS"]),
            message_overhead=float(special["perMessage"]),
            message_limit=int(special.get("messagesMost", 0)),
            message_limit_window=to_microseconds(special.get("countedOver", 10)),
            grace=to_microseconds(rules["stopSendingWithin"]),
            warm_up_time=to_microseconds(rules["cold"]),
            cold_start_capacity=float(rules["coldFrom"]),
            proxies=int(special.get("proxyCount") or 0),
            report_lines_per_second=float(special.get("intakePerS") or 0),
            cold_overload_multiple=float(rules.get("tipMultiple", 3.0)),
        )
    except KeyError as missing:
        raise MalformedError(f"the start message lacks {missing.args[0]!r}") from None
    except MalformedError:
        raise
    except (TypeError, ValueError, OverflowError, AttributeError, IndexError) as wrong:
        raise MalformedError(f"the start message cannot be read: {wrong}") from None


class IndexMap:
    """Backend ids and small indices, for one instance. An index is used again once its backend is forgotten."""

    def __init__(self):
        self.ids, self.index, self.free = [], {}, []

    def __call__(self, name):
        if name not in self.index:
            if not self.free:
                self.free.append(len(self.ids))
                self.ids.append(None)
            self.index[name] = self.free.pop()
            self.ids[self.index[name]] = name
        return self.index[name]

    def forget(self, index):
        del self.index[self.ids[index]]
        self.ids[index] = None
        self.free.append(index)
