"""The real process at the size of a full fleet: 1,024 backends, 256 coordinators in its configuration, 1,600
proxies."""

import copy
import json
import re
import resource
import selectors
import time

import pytest

from planner_harness import SETTINGS, CoordinatorProcess, http_chunk
from test_stream_messages import SimulatedProxy

BACKENDS = 1024
PROXIES = 1600
WAIT = 100  # seconds that the test waits for any one condition
HEARTBEAT_SECONDS = 1.0  # after three seconds without a byte the coordinator dials its watch again


class ProxyFleet:
    """Proxies, each on its own stream, which apply and acknowledge the messages that they are sent."""

    def __init__(self, service, count):
        self.selector, self.proxies, self.buffers = selectors.DefaultSelector(), {}, {}
        for p in range(count):
            stream = service.connect(f"attach node={p} locality={'ab'[p % 2]} w=1.5 cold=1")
            stream.setblocking(False)
            self.selector.register(stream, selectors.EVENT_READ, p)
            self.proxies[p], self.buffers[p] = SimulatedProxy(), b""

    def serve_until(self, done, callback=lambda: None):
        """Serves the streams until `done` returns true; `callback` is called before each poll."""
        deadline = time.monotonic() + WAIT
        while not done():
            assert time.monotonic() < deadline, "the condition did not hold in time"
            callback()
            for key, _ in self.selector.select(0.2):
                self.read(key.fileobj, key.data)

    def read(self, stream, p):
        piece = stream.recv(1 << 16)
        assert piece, f"the stream of proxy {p} ended"
        self.buffers[p] += piece
        while match := re.search(rb"stamp=(\d+)\r\n", self.buffers[p]):
            message, self.buffers[p] = self.buffers[p][: match.end()].decode(), self.buffers[p][match.end() :]
            self.proxies[p].apply(message)
            stream.sendall(b"done node=%d nonce=%s latency=30\r\n" % (p, match[1]))

    def usable_backends(self, p):
        proxy = self.proxies[p]
        return set().union(*proxy.tables.values()) - proxy.withdrawn


def peak_memory_mib(process):
    with open(f"/proc/{process.pid}/status") as status:
        return int(re.search(r"VmHWM:\s+(\d+)", status.read())[1]) // 1024


def test_a_fleet_of_1024_backends_is_served_and_replaced_while_invalid_input_arrives(tmp_path):
    if resource.getrlimit(resource.RLIMIT_NOFILE)[1] < 2 * PROXIES + 200:
        pytest.skip("too few descriptors on this machine")
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (max(soft, 2 * PROXIES + 200), hard))
    settings = copy.deepcopy(SETTINGS)
    settings["groupSize"] = 5
    settings["requestClasses"][1].update(onlyKinds=[], onlyZones=[])
    settings["specifics"].update(proxyCount=PROXIES, egressPerS=5000.0, backlog=50600.0, perMessage=10.0)
    settings["rules"]["stopSendingWithin"] = 10.8
    # Two generations of backends: the new ones replace the old ones.
    old, new = [{f"{kind}_{b:04d}": "active" for b in range(BACKENDS)} for kind in "on"]
    limits = {"cores": 1.0, "memory_mb": 192, "sockets": 4096}
    peers = [f"10.3.{n // 250}.{n % 250 + 1}:7946" for n in range(256)]
    with CoordinatorProcess(
        tmp_path, settings=settings, limits=limits, peers=peers, peers_all="10.3.255.1:7946"
    ) as service:
        service.configuration["known"] = service.list_backends(41, **old)
        service.start()
        watch, _ = service.accept_watch(service.list_backends(42, **old))
        fleet = ProxyFleet(service, PROXIES)
        last_heartbeat = [time.monotonic()]

        def keep_alive():
            """Empties the log pipe and sends the watch its heartbeat, however long serving 1,600 proxies takes here."""
            empty_log(service)
            if time.monotonic() - last_heartbeat[0] > HEARTBEAT_SECONDS:
                last_heartbeat[0] = time.monotonic()
                watch.sendall(b"1\r\n\n\r\n")

        fleet.serve_until(lambda: all(map(fleet.usable_backends, fleet.proxies)), callback=keep_alive)
        assert max(len(fleet.usable_backends(p)) for p in fleet.proxies) <= 30, "subsets, not full tables"
        invalid_senders = [service.connect("telemetry locality=a") for _ in range(4)]
        for second in range(7):
            part = slice(second * BACKENDS // 7, (second + 1) * BACKENDS // 7)
            for sender in invalid_senders:  # invalid reports, and connections that send something else
                sender.sendall(b"upstream_stats locality=zz endpoint=s-1 total=-1\r\n" * 20)
                service.connect("GET / HTTP/1.1")
            entries = {**dict(list(new.items())[part]), **dict.fromkeys(list(old)[part], "leaving")}
            watch.sendall(http_chunk(service.list_backends(43 + second, full=False, **entries)))
            started = time.monotonic()
            fleet.serve_until(lambda started=started: time.monotonic() > started + 1, callback=keep_alive)
        fleet.serve_until(
            lambda: all(
                names and all(name.startswith("n-") for name in names)
                for names in map(fleet.usable_backends, fleet.proxies)
            ),
            callback=keep_alive,
        )
        assert peak_memory_mib(service.process) < 192 and service.process.poll() is None
        assert json.loads(service.path.read_text())["peers"][255]


def empty_log(service):
    """Empties the log pipe: the coordinator drops lines while the pipe is full."""
    with selectors.DefaultSelector() as ready:
        ready.register(service.process.stdout, selectors.EVENT_READ)
        while ready.select(0):
            assert b"planner_failed" not in service.process.stdout.read(1 << 16)
