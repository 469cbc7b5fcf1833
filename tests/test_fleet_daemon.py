"""The real daemon at the size of a full fleet: 1,024 backends, 256 coordinators in its configuration, 1,600 proxies."""

import copy
import json
import re
import resource
import selectors
import time

import pytest

from planner_harness import SETTINGS, CoordinatorProcess, http_chunk
from test_stream_messages import SimulatedProxy

BACKENDS, PROXIES, WAIT = 1024, 1600, 100  # seconds for any event
PULSE = 1.0  # seconds; without a byte for three the coordinator dials its watch anew


class Crowd:
    """Proxies on streams of their own, which apply and acknowledge what they are sent."""

    def __init__(self, service, count):
        self.ready, self.held, self.half = selectors.DefaultSelector(), {}, {}
        for p in range(count):
            stream = service.connect(f"attach node={p} locality={'ab'[p % 2]} w=1.5 cold=1")
            stream.setblocking(False)
            self.ready.register(stream, selectors.EVENT_READ, p)
            self.held[p], self.half[p] = SimulatedProxy(), b""

    def until(self, done, act=lambda: None):
        """Serves the streams until `done`; `act` is called each time."""
        deadline = time.monotonic() + WAIT
        while not done():
            assert time.monotonic() < deadline, "it does not come"
            act()
            for key, _ in self.ready.select(0.2):
                self.read(key.fileobj, key.data)

    def read(self, stream, p):
        piece = stream.recv(1 << 16)
        assert piece, f"the stream of {p} ended"
        self.half[p] += piece
        while match := re.search(rb"stamp=(\d+)\r\n", self.half[p]):
            message, self.half[p] = self.half[p][: match.end()].decode(), self.half[p][match.end() :]
            self.held[p].apply(message)
            stream.sendall(b"done node=%d nonce=%s latency=30\r\n" % (p, match[1]))

    def names(self, p):
        one = self.held[p]
        return set().union(*one.tables.values()) - one.withdrawn


def peak(process):
    with open(f"/proc/{process.pid}/status") as status:
        return int(re.search(r"VmHWM:\s+(\d+)", status.read())[1]) // 1024


def test_a_fleet_of_1024_is_served_and_replaced_while_bad_input_goes_on(tmp_path):
    if resource.getrlimit(resource.RLIMIT_NOFILE)[1] < 2 * PROXIES + 200:
        pytest.skip("too few descriptors on this machine")
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (max(soft, 2 * PROXIES + 200), hard))
    settings = copy.deepcopy(SETTINGS)
    settings["groupSize"] = 5
    settings["requestClasses"][1].update(onlyKinds=[], onlyZones=[])
    settings["specifics"].update(proxyCount=PROXIES, egressPerS=5000.0, backlog=50600.0, perMessage=10.0)
    settings["rules"]["stopSendingWithin"] = 10.8
    old, new = [{f"{kind}_{b:04d}": "active" for b in range(BACKENDS)} for kind in "on"]
    limits = {"cores": 1.0, "memory_mb": 192, "sockets": 4096}
    peers = [f"10.3.{n // 250}.{n % 250 + 1}:7946" for n in range(256)]
    with CoordinatorProcess(
        tmp_path, settings=settings, limits=limits, peers=peers, peers_all="10.3.255.1:7946"
    ) as service:
        service.configuration["known"] = service.list_backends(41, **old)
        service.start()
        watch, _ = service.accept_watch(service.list_backends(42, **old))
        crowd = Crowd(service, PROXIES)
        pulsed = [time.monotonic()]

        def attend():
            """Reads the log away and gives the list's watch its pulse, however long 1,600 proxies take here."""
            drain(service)
            if time.monotonic() - pulsed[0] > PULSE:
                pulsed[0] = time.monotonic()
                watch.sendall(b"1\r\n\n\r\n")

        crowd.until(lambda: all(map(crowd.names, crowd.held)), act=attend)
        assert max(len(crowd.names(p)) for p in crowd.held) <= 30, "sections, not full tables"
        spoilers = [service.connect("telemetry locality=a") for _ in range(4)]
        for second in range(7):
            part = slice(second * BACKENDS // 7, (second + 1) * BACKENDS // 7)
            for spoiler in spoilers:  # a report that cannot be used, strangers, half a message
                spoiler.sendall(b"upstream_stats locality=zz endpoint=s-1 total=-1\r\n" * 20)
                service.connect("GET / HTTP/1.1")
            entries = {**dict(list(new.items())[part]), **dict.fromkeys(list(old)[part], "leaving")}
            watch.sendall(http_chunk(service.list_backends(43 + second, full=False, **entries)))
            begun = time.monotonic()
            crowd.until(lambda begun=begun: time.monotonic() > begun + 1, act=attend)
        crowd.until(
            lambda: all(held and all(name.startswith("n-") for name in held) for held in map(crowd.names, crowd.held)),
            act=attend,
        )
        assert peak(service.process) < 192 and service.process.poll() is None
        assert json.loads(service.path.read_text())["peers"][255]


def drain(service):
    """Reads the log away: a pipe that is full loses lines."""
    with selectors.DefaultSelector() as ready:
        ready.register(service.process.stdout, selectors.EVENT_READ)
        while ready.select(0):
            assert b"planner_failed" not in service.process.stdout.read(1 << 16)
