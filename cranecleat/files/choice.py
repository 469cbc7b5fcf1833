"""Selects which transport serves each proxy: its stream, files, or neither. No I/O; the caller passes the time in.

A proxy moves to files only after it has been without a stream for `lost_after`, and back only after a new stream has
stayed open for `stable_after`, which is longer. A stream that comes and goes thus does not make its proxy change
transports each time: every change costs a whole set of tables. No proxy is served by both at once.
"""

STREAM_LOST_AFTER_US = 1_500_000  # time without a stream until files serve the proxy
STREAM_STABLE_AFTER_US = 10_000_000  # time that a stream has to stay open until it serves the proxy again
STREAM, FILES = "stream", "files"


class ProxyTransports:
    """The transports of one proxy.

    transport: the one that serves it, `STREAM`, `FILES` or None.
    stream_since: since when it has had an open stream; None while it has none.
    files_since: since when it has renewed its report file; None while it does not.
    stream_changed_at: when a stream last opened or closed.
    """

    __slots__ = ("transport", "stream_since", "files_since", "stream_changed_at")

    def __init__(self, now):
        self.transport, self.stream_since, self.files_since = None, None, None
        self.stream_changed_at = now


class TransportSelector:
    """Selects the transport of each proxy.

    lost_after, stable_after: as the constants of this module, in microseconds.
    proxies: proxy -> ProxyTransports.
    """

    def __init__(self, lost_after=STREAM_LOST_AFTER_US, stable_after=STREAM_STABLE_AFTER_US):
        self.lost_after, self.stable_after, self.proxies = lost_after, stable_after, {}

    def record_stream(self, now, proxy, is_up):
        """Records that the proxy's stream has opened or closed."""
        transports = self.proxies.setdefault(proxy, ProxyTransports(now))
        transports.stream_since, transports.stream_changed_at = now if is_up else None, now

    def record_files(self, now, proxy, is_up):
        """Records that the proxy has begun to renew its report file, or has ceased to."""
        transports = self.proxies.setdefault(proxy, ProxyTransports(now))
        if is_up and transports.files_since is None or not is_up:
            transports.files_since = now if is_up else None

    def transport_of(self, proxy):
        """`STREAM`, `FILES`, or None for a proxy that neither serves."""
        transports = self.proxies.get(proxy)
        return transports and transports.transport

    def decide(self, now):
        """Switches transports where that is due and returns the changes as (proxy, transport). Forgets a proxy that
        has neither a stream nor a report file any more."""
        changes = []
        for proxy, transports in list(self.proxies.items()):
            best = self.best_transport(now, transports)
            if best != transports.transport:
                transports.transport = best
                changes.append((proxy, best))
            if best is None and transports.stream_since is None and transports.files_since is None:
                del self.proxies[proxy]
        return changes

    def best_transport(self, now, transports):
        """The transport that should serve the proxy now."""
        if transports.transport == STREAM or transports.transport is None:
            if transports.stream_since is not None:
                return STREAM
            waited = now - transports.stream_changed_at >= self.lost_after
            return FILES if transports.files_since is not None and waited else None
        if transports.stream_since is not None and (
            transports.files_since is None or now - transports.stream_since >= self.stable_after
        ):
            return STREAM
        return FILES if transports.files_since is not None else None

    def next_decision_at(self, now):
        """The next time at which `decide` may change a transport although nothing was recorded, or None."""
        times = [
            transports.stream_changed_at + self.lost_after
            for transports in self.proxies.values()
            if transports.transport is None and transports.files_since is not None and transports.stream_since is None
        ]
        times += [
            transports.stream_since + self.stable_after
            for transports in self.proxies.values()
            if transports.transport == FILES and transports.stream_since is not None
        ]
        return min((at for at in times if at > now), default=None)
