"""A small stage for the planner: what it is told, and a readable trace of what it writes.

To accept a new trace after reading it, run pytest with ACCEPT_TRACES=1 and look at the diff in git.
"""

import json
import os
import re
import selectors
import signal
import socket
import subprocess
import sys
import time
from dataclasses import replace
from pathlib import Path

from cranecleat.decoding import IndexMap
from cranecleat.interface import Bootstrap, Route
from cranecleat.memory.streams import Streams
from cranecleat.policy import Planner

SECOND = 1_000_000
ROUTES = (Route(3.0, SECOND, False, None, None), Route(1.0, SECOND, False, None, None))
BOOTSTRAP = Bootstrap(
    routes=ROUTES,
    zones=2,
    coordinators=1,
    must_watch=False,
    watch_timeout=10 * SECOND,
    admission="fraction",
    cycle=SECOND,
    backlog=1000,
    channel_lines_per_second=1000.0,
    message_overhead=10.0,
    message_limit=0,
    message_limit_window=10 * SECOND,
    grace=2 * SECOND,
    warm_up_time=20 * SECOND,
    cold_start_capacity=0.2,
)

# A start message as the bench and the configuration spell it.
SETTINGS = {
    "groupSize": 1,
    "round": 0.002,
    "localities": ["a", "b"],
    "skus": ["big", "small"],
    "membershipMode": "push",
    "requestClasses": [
        {"name": "read", "credit": 2.0, "goalTime": 1.0, "giveUp": 5.0},
        {"name": "find", "credit": 1.0, "goalTime": 0.5, "giveUp": 2.0, "onlyKinds": [0], "onlyZones": ["b"]},
    ],
    "rules": {"askWithin": 10.0, "cold": 17.0, "coldFrom": 0.2, "stopSendingWithin": 3.0},
    "specifics": {
        "admission": "fraction",
        "cycle": 1.0,
        "backlog": 2000.0,
        "perMessage": 4.0,
        "egressPerS": 2000.0,
        "proxyCount": 8,
    },
}


class PlannerHarness:
    """Plays rounds and keeps the trace; `verbs` limits it to some kinds of decision."""

    def __init__(self, decisions=None, seed=7, acknowledge=True, **figures):
        self.planner = Planner(replace(BOOTSTRAP, **figures), seed)
        self.decisions, self.acknowledge, self.trace, self.now = decisions, acknowledge, [], 100 * SECOND
        self.ack_numbers = []

    def __getattr__(self, verb):
        def write(*values):
            if verb == "request_ack":
                self.ack_numbers.append(values[0])
            if self.decisions is None or verb in self.decisions:
                shown = (f"{v:.3g}" if isinstance(v, float) else str(v) for v in values)
                self.trace.append(f"{(self.now - 100 * SECOND) / SECOND:6.2f}  {verb} {' '.join(shown)}")

        return write

    def comment(self, text):
        self.trace.append(f"        # {text}")

    def play_round(self, *calls, after=0.0):
        """One round, `after` seconds later; orders are acknowledged in the next one."""
        self.now += round(after * SECOND)
        acks = []
        if self.acknowledge:
            acks = [("acknowledged", p, mark) for mark in self.ack_numbers for p in list(self.planner.proxies)]
            self.ack_numbers.clear()
        self.planner.round(self.now, [*acks, *calls], self)

    def list_backends(self, *entries, scope="whole", after=0.0):
        """Entries are (backend, state, seconds since its start or None), one machine kind, zone 0."""
        self.play_round(
            (
                "backends_listed",
                scope,
                [
                    (b, state, 0, 0, 1.0, 0 if age is None else self.now - round(age * SECOND))
                    for b, state, age in entries
                ],
            ),
            after=after,
        )

    def join(self, *proxies, typical=20.0, after=0.0):
        self.play_round(*(("proxy_joined", p, 0, typical, True) for p in proxies), after=after)

    def play_second(self, backends, calls=40, answer_time=0.1, unanswered=0, load=None, demand=(10, 10)):
        """A second goes by: each backend met its share of `calls`; each proxy met `came` by route."""
        each = calls // max(len(backends), 1)
        met = [
            ("attempts_reported", b, 0, each, min(unanswered, each), round(answer_time * SECOND), SECOND, load)
            for b in backends
        ]
        usage = [("demand_reported", p, r, n, SECOND) for p in self.planner.proxies for r, n in enumerate(demand)]
        self.play_round(*met, *usage, after=1.0)


def assert_matches_trace(name, scene_or_lines):
    """Compares with the trace kept under tests/traces."""
    lines = getattr(scene_or_lines, "trace", scene_or_lines)
    text, path = "\n".join(lines) + "\n", Path(__file__).parent / "traces" / f"{name}.txt"
    if os.environ.get("ACCEPT_TRACES"):
        path.write_text(text)
    assert text == path.read_text()


class StreamsHarness:
    """The planner's orders as the messages of each stream: a trace, or the state that a proxy draws from them."""

    def __init__(self, backends=4, routes=("read", "find")):
        self.names, self.trace = IndexMap(), []
        for b in range(backends):
            self.names(f"s-{b}")
        self.streams = Streams(self.names, routes, lambda *_: None, lambda: None, self.comment)

    def comment(self, text):
        self.trace.append(f"# {text}")

    def join(self, proxy, standing=True):
        _, brought = self.streams.join(proxy, object(), 20.0, standing)
        self.comment(f"proxy {proxy} joins{'' if standing else ' with ordered tables'}")
        return brought

    def flush(self):
        """The round's messages by proxy; they go into the trace as well."""
        numbers = {id(s.connection): p for p, s in self.streams.joined.items()}
        sent = [(numbers[id(c)], m.decode()) for c, m in self.streams.messages()]
        for proxy, message in sent:
            self.trace += [f"{proxy} <- {line}" for line in message.removesuffix("\r\n").split("\r\n")]
        return dict(sent)


def message_cost(message, head):
    """What a message takes in the channel, by PROTOCOL: its head, and a line for each line, backend shut out or
    let back, level, mark and replacement."""
    words = [word.partition("=") for line in message.split("\r\n") for word in line.split(" ")]
    lists = sum(len(value.split(",")) for name, _, value in words if name in ("rows", "drop", "undrop"))
    return head + lists + sum(name in ("gate", "stamp", "replace") for name, _, _ in words)


def http_chunk(entry):
    body = json.dumps(entry).encode() + b"\n"
    return b"%x\r\n%s\r\n" % (len(body), body)


class CoordinatorProcess:
    """A coordinator's process with this test as its discovery, its proxies and its collectors."""

    WAIT = 20  # seconds for any event: far more than one takes, so that only what never comes fails

    def __init__(self, folder, **changes):
        self.registry = socket.create_server(("127.0.0.1", 0))
        self.registry.settimeout(self.WAIT)
        with socket.create_server(("127.0.0.1", 0)) as free:
            self.address = free.getsockname()
        self.path, self.process, self.sockets = folder / "config.json", None, []
        self.started = []
        self.configuration = {
            "name": "n0",
            "listen": "{}:{}".format(*self.address),
            "seed": "8c1f",
            "discovery": self.format_address(self.registry),
            "settings": SETTINGS,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": self.list_backends(41, s_1="active"),
            **changes,
        }

    def list_backends(self, rev, full=True, **states):
        return {
            "rev": rev,
            "all": full,
            "targets": [
                {
                    "uid": name.replace("_", "-"),
                    "endpoint": "10.0.0.1:80",
                    "az": "b",
                    "model": "big",
                    "pod_group": 0,
                    "state": state,
                    "capacity_hint": 1.0,
                    "boot_ms": 0,
                }
                for name, state in states.items()
            ],
        }

    def start(self, before="", **more):
        """`before` runs in the new process ahead of the program."""
        self.path.write_text(
            self.configuration if isinstance(self.configuration, str) else json.dumps(self.configuration)
        )
        code = f"{before}\nimport sys; from cranecleat.service.run import main; sys.exit(main())"
        self.process = subprocess.Popen(
            [sys.executable, "-c", code],
            bufsize=0,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            cwd=Path(__file__).parent.parent,
            env={**os.environ, "BALANCER_CONFIG": str(self.path), "PYTHONDONTWRITEBYTECODE": "1"},
            **more,
        )
        self.started.append(self.process)
        return self

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for process in self.started:
            process.kill()
            process.wait()
            for pipe in filter(None, (process.stdout, process.stderr)):
                pipe.close()
        for opened in (*self.sockets, self.registry):
            opened.close()

    def wait_for_exit(self):
        """Exit code, and what it wrote to standard error."""
        _, errors = self.process.communicate(timeout=self.WAIT)
        return self.process.returncode, errors.decode()

    def wait_for_log(self, pattern):
        """The next log line that matches, without what differs from run to run."""
        deadline = time.monotonic() + self.WAIT  # other lines may come for ever
        with selectors.DefaultSelector() as ready:
            ready.register(self.process.stdout, selectors.EVENT_READ)
            while ready.select(max(deadline - time.monotonic(), 0)):
                line = self.process.stdout.readline().decode()
                if re.search(pattern, line):
                    return re.sub(r"timestamp=\S+ |(seconds|longest_round_us|listen)=\S+ ?", "", line).strip()
                assert line, f"the log ended before {pattern!r}"
        raise AssertionError(f"no log line {pattern!r}")

    def accept_watch(self, *entries):
        """Takes the coordinator's next watch, answers with these entries; returns it and what was asked for."""
        taken, _ = self.registry.accept()
        self.sockets.append(taken)
        asked = self.read_until(taken, rb"\r\n\r\n").split("\r\n")[0]
        taken.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + b"".join(map(http_chunk, entries)))
        return taken, asked

    @staticmethod
    def format_address(listening):
        return "{}:{}".format(*listening.getsockname())

    def reload(self, text=None, **changes):
        """A new configuration, and the signal to read it."""
        self.configuration.update(changes)
        self.path.write_text(text or json.dumps(self.configuration))
        self.process.send_signal(signal.SIGHUP)

    def connect(self, *messages):
        deadline = time.monotonic() + self.WAIT
        while True:  # it listens soon after its start
            try:
                dialled = socket.create_connection(self.address, timeout=self.WAIT)
                break
            except ConnectionRefusedError:
                assert time.monotonic() < deadline and self.process.poll() is None, "it does not listen"
        self.sockets.append(dialled)
        dialled.sendall("".join(message + "\r\n" for message in messages).encode())
        return dialled

    def read_until(self, dialled, pattern):
        """All that comes up to the pattern; with None, up to the end."""
        got = b""
        while pattern is None or not re.search(pattern, got):
            try:
                piece = dialled.recv(65536)
            except ConnectionResetError:
                piece = b""
            if not piece:
                assert pattern is None, f"ended after {got!r}"
                break
            got += piece
        return got.decode()

    def responds(self):
        """Whether it answers on a new connection."""
        return self.read_until(self.connect("hb"), rb"hb_ok\r\n") == "hb_ok\r\n"
