"""What the planner is given at its start, and the interface through which it writes its decisions.

Times are whole microseconds; backends, proxies, routes, zones and kinds are small indices. The channel carries all
messages of a coordinator to its proxies; a line is the unit of what it sends. A transport, such as
`cranecleat.wirehost`, decodes its own protocol into `Bootstrap` and into events of the planner, and implements
`Writer`. Nothing here makes decisions.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class Route:
    """A route: calls that share an SLO time, an importance and the backends that may serve them."""

    importance: float
    slo: int  # microseconds
    own_zone: bool  # only backends in the proxy's zone may serve it
    kinds: frozenset[int] | None  # only these machine kinds may serve it; None: all
    zones: frozenset[int] | None  # only backends in these zones may serve it; None: in all

    def allows(self, kind: int, zone: int) -> bool:
        """Whether the route's lists of kinds and zones allow such a backend. `own_zone` is not looked at."""
        return (self.kinds is None or kind in self.kinds) and (self.zones is None or zone in self.zones)


@dataclass(frozen=True, slots=True)
class Bootstrap:
    """The start-up settings of the planner, decoded once. Times are microseconds."""

    routes: tuple[Route, ...]
    zones: int  # number of zones
    coordinators: int  # number of coordinators
    must_watch: bool  # whether the planner has to start the watch of the backend list
    watch_timeout: int  # time within which the watch has to answer; bounds the backoff of a failed watch
    # What an admission level is:
    # - "fraction": the share of the calls that a proxy admits;
    # - "per_second": the calls per second that each proxy admits;
    # - "silent": a share, as with "fraction", but the planner does not lower it on overload.
    admission: str
    cycle: int  # interval at which reports are gathered
    backlog: int  # the most lines that may wait in the channel
    channel_lines_per_second: float  # lines that the channel usually sends per second
    message_overhead: float  # lines that a message costs beside its own, without the request for an acknowledgement
    message_limit: int  # messages to one proxy within `message_limit_window`; 0: no limit
    message_limit_window: int
    grace: int  # time within which proxies have to stop sending to a backend that drains
    warm_up_time: int  # a backend is cold for this long after its start
    cold_start_capacity: float  # least share of its capacity that a backend can serve at its start
    proxies: int = 0  # number of proxies in the deployment
    report_lines_per_second: float = 0.0  # lines of reports that get through per second; 0: not stated
    cold_overload_multiple: float = 3.0  # a cold backend that is sent this multiple of what it can serve fails


class Writer(Protocol):
    """Takes the planner's decisions in the order in which they are made."""

    def set_weight(self, table: int, backend: int, weight: float) -> None:
        """Sets an entry of a table; weight 0 removes it."""
        ...

    def bind(self, proxy: int, table: int, routes: Iterable[int], is_subset: bool = False) -> None:
        """Binds routes of a proxy to a table. The message also withdraws those of the table's backends that are
        withdrawn, and reinstates backends that the proxy holds as withdrawn although they are not. `is_subset`: the
        table names few of the backends, and only these are reinstated."""
        ...

    def withdraw(self, backend: int, withdrawn: bool) -> None:
        """Withdraws a backend, so that proxies send it nothing, or reinstates it, so that they use it again."""
        ...

    def set_admission(self, table: int | None, routes: Iterable[int], level: float, tries: int) -> None:
        """Sets how many of the routes' calls proxies admit, as a share or a rate (see `Bootstrap.admission`), and, by
        `tries`, how they retry: 1 for only on proof that the first try never ran. `table` None: for all tables."""
        ...

    def forget(self, backend: int) -> Collection[int] | None:
        """Frees the index of a backend that has been gone for long. Returns the proxies that may hold it as withdrawn;
        None: none."""
        ...

    def request_ack(self, ack_number: int) -> Collection[int] | None:
        """Asks the proxies concerned to acknowledge this round's message with a number; the last decision of a round.
        Returns the proxies that get a message; None: all that are concerned."""
        ...

    def watch(self) -> None:
        """Starts the watch of the backend list."""
        ...

    def set_timer(self, at: int, number: int) -> None:
        """Asks for a round to be run at the time `at`. `number` tells timers apart."""
        ...

    def log(self, text: str) -> None:
        """Writes a line for operators."""
        ...
