"""What the planner is given at start, and what it writes its decisions into.

Times are whole microseconds; backends, proxies, routes, zones and kinds are small indices.
A front (such as `cranecleat.wirehost`) decodes its own protocol into `Bootstrap` and into plain
calls of the planner, and implements `Writer`. Nothing here decides anything.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class Route:
    """One route: the calls that share an SLO time, an importance and the backends they may go to."""

    importance: float
    slo: int
    own_zone: bool  # open only to backends in the proxy's zone
    kinds: frozenset[int] | None  # open only to these machine kinds; None: to all
    zones: frozenset[int] | None  # open only to backends in these zones; None: in all

    def open_to(self, kind: int, zone: int) -> bool:
        """Whether its requests may go to a backend of that kind in that zone."""
        return (self.kinds is None or kind in self.kinds) and (self.zones is None or zone in self.zones)


@dataclass(frozen=True, slots=True)
class Bootstrap:
    """The start-up figures that the planner reads, decoded once."""

    routes: tuple[Route, ...]
    zones: int
    coordinators: int
    must_watch: bool  # the backend list has to be asked for
    watch_timeout: int  # without an answer for this long, what was listed counts as known
    admission: str  # "fraction", "per_second" or "silent"
    cycle: int  # reports are gathered this often
    backlog: int  # lines that may wait in the channel
    channel_lines_per_second: float  # lines a second that the channel sends, at its usual speed
    message_overhead: float  # lines that a message costs beside its own
    message_limit: int  # messages to one proxy within `messages_over`; 0: no limit
    message_limit_window: int
    grace: int  # drains are kept within this
    warm_up_time: int  # a backend is warm this long after its start
    cold_start_capacity: float  # and starts at this share of its capacity or more
    proxies: int = 0  # of the deployment
    report_lines_per_second: float = 0.0  # lines of reports a second that get through; 0: not stated
    cold_overload_multiple: float = 3.0  # a cold backend that is sent this multiple of what it can do falls over


class Writer(Protocol):
    """Takes the planner's decisions in the order in which they are made."""

    def set_weight(self, table: int, backend: int, weight: float) -> None: ...
    def bind(self, proxy: int, table: int, routes: Iterable[int], is_subset: bool = False) -> None: ...  # of few lines
    def withdraw(self, backend: int, out: bool) -> None: ...
    def set_admission(self, table: int | None, routes: Iterable[int], level: float, tries: int) -> None: ...
    def forget(self, backend: int) -> None: ...
    def request_ack(
        self, number: int
    ) -> Collection[int] | None: ...  # who gets a message of this round; None: all concerned
    def watch(self) -> None: ...
    def set_timer(self, at: int, number: int) -> None: ...
    def log(self, text: str) -> None: ...
