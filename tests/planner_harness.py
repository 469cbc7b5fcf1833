"""Harnesses for the planner, for the messages of streams and for a coordinator's process.

The harnesses record readable traces, which tests compare with files under tests/traces. To accept a new trace after
reading it, run pytest with ACCEPT_TRACES=1 and look at the diff in git.
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

SECOND = 1_000_000  # microseconds
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

# Settings as the simulator's start message and the configuration spell them.
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
    """Runs rounds of a planner as its writer and records the decisions, or only those named by `decisions`."""

    def __init__(self, decisions=None, seed=7, acknowledge=True, **settings):
        self.planner = Planner(replace(BOOTSTRAP, **settings), seed)
        self.decisions, self.acknowledge, self.trace, self.now = decisions, acknowledge, [], 100 * SECOND
        self.ack_numbers = []

    def __getattr__(self, decision):
        """Any method of `Writer`: records a decision of that name."""

        def write(*values):
            if decision == "request_ack":
                self.ack_numbers.append(values[0])
            if self.decisions is None or decision in self.decisions:
                shown = (f"{v:.3g}" if isinstance(v, float) else str(v) for v in values)
                self.trace.append(f"{(self.now - 100 * SECOND) / SECOND:6.2f}  {decision} {' '.join(shown)}")

        return write

    def comment(self, text):
        self.trace.append(f"        # {text}")

    def play_round(self, *events, after=0.0):
        """Runs a round `after` seconds later; all proxies acknowledge its messages in the next one."""
        self.now += round(after * SECOND)
        acks = []
        if self.acknowledge:
            acks = [("acknowledged", p, number) for number in self.ack_numbers for p in list(self.planner.proxies)]
            self.ack_numbers.clear()
        self.planner.round(self.now, [*acks, *events], self)

    def list_backends(self, *entries, scope="whole", after=0.0):
        """Entries are (backend, state, seconds since its start or None), all of one machine kind and in zone 0."""
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
        """Reports a second in which the backends share `calls` evenly and each proxy has `demand`, calls by route."""
        each = calls // max(len(backends), 1)
        attempts = [
            ("attempts_reported", b, 0, each, min(unanswered, each), round(answer_time * SECOND), SECOND, load)
            for b in backends
        ]
        demands = [("demand_reported", p, r, n, SECOND) for p in self.planner.proxies for r, n in enumerate(demand)]
        self.play_round(*attempts, *demands, after=1.0)


def assert_matches_trace(name, harness_or_lines):
    """Compares a trace with the file of that name under tests/traces; writes the file with ACCEPT_TRACES."""
    lines = getattr(harness_or_lines, "trace", harness_or_lines)
    text, path = "\n".join(lines) + "\n", Path(__file__).parent / "traces" / f"{name}.txt"
    if os.environ.get("ACCEPT_TRACES"):
        path.write_text(text)
    assert text == path.read_text()


class StreamsHarness:
    """Encodes the planner's decisions as messages of streams, and records these messages as a trace."""

    def __init__(self, backends=4, routes=("read", "find")):
        self.names, self.trace = IndexMap(), []
        for b in range(backends):
            self.names(f"s-{b}")
        self.streams = Streams(self.names, routes, lambda *_: None, lambda: None, self.comment)

    def comment(self, text):
        self.trace.append(f"# {text}")

    def join(self, proxy, uses_initial_table=True):
        """Joins a proxy; returns how many withdrawals, to be reinstated, it may hold from an earlier stream."""
        _, stream = self.streams.join(proxy, object(), 20.0, uses_initial_table)
        self.comment(f"proxy {proxy} joins{'' if uses_initial_table else ' with tables from a coordinator'}")
        return self.streams.inherited_count(stream)

    def join_event(self, proxy, zone, typical_rate, uses_initial_table):
        """Joins a proxy; returns the planner's event of it, as `Coordinator.join_stream` does."""
        self.join(proxy, uses_initial_table)
        may_inherit = self.streams.may_inherit(self.streams.joined[proxy])
        return "proxy_joined", proxy, zone, typical_rate, uses_initial_table, may_inherit

    def list_backends(self, scope, entries):
        """Takes a list as `Coordinator.update_backends` does; returns the planner's events of it."""
        inheritable = self.streams.backends_listed(scope, entries)
        return [("backends_listed", scope, entries), ("withdrawals_inherited", inheritable)][: 1 + bool(inheritable)]

    def flush(self):
        """The round's messages by proxy; they are appended to the trace as well."""
        proxies = {id(s.connection): p for p, s in self.streams.joined.items()}
        sent = [(proxies[id(c)], m.decode()) for c, m in self.streams.messages()]
        for proxy, message in sent:
            self.trace += [f"{proxy} <- {line}" for line in message.removesuffix("\r\n").split("\r\n")]
        return dict(sent)


def message_cost(message, overhead):
    """The lines that a message takes in the channel, by PROTOCOL.

    These are the overhead, which does not contain the request for an acknowledgement here, and one line for each
    weight, backend withdrawn or reinstated, level, request for an acknowledgement and replaced table.
    """
    words = [word.partition("=") for line in message.split("\r\n") for word in line.split(" ")]
    lists = sum(len(value.split(",")) for name, _, value in words if name in ("rows", "drop", "undrop"))
    return overhead + lists + sum(name in ("gate", "stamp", "replace") for name, _, _ in words)


def http_chunk(entry):
    """A line of the discovery list as one chunk of an HTTP answer."""
    body = json.dumps(entry).encode() + b"\n"
    return b"%x\r\n%s\r\n" % (len(body), body)


class CoordinatorProcess:
    """A coordinator's process; the test acts as its discovery, its proxies and its collectors."""

    WAIT_SECONDS = 20  # for any event; far more than one takes, so that only an event that never comes fails

    def __init__(self, folder, **changes):
        self.registry = socket.create_server(("127.0.0.1", 0))
        self.registry.settimeout(self.WAIT_SECONDS)
        with socket.create_server(("127.0.0.1", 0)) as free:
            self.address = free.getsockname()
        self.path, self.process, self.sockets = folder / "config.json", None, []
        self.processes = []
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
        """A discovery list with a backend for each keyword, `s_1` for `s-1`, in the given state."""
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
        """Starts the process. `before` is code that runs in it ahead of the program."""
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
        self.processes.append(self.process)
        return self

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for process in self.processes:
            process.kill()
            process.wait()
            for pipe in filter(None, (process.stdout, process.stderr)):
                pipe.close()
        for one in (*self.sockets, self.registry):
            one.close()

    def wait_for_exit(self):
        """The exit code, and what the process wrote to standard error."""
        _, errors = self.process.communicate(timeout=self.WAIT_SECONDS)
        return self.process.returncode, errors.decode()

    def wait_for_log(self, pattern):
        """The next log line that matches, without the fields that differ from run to run."""
        deadline = time.monotonic() + self.WAIT_SECONDS  # other lines may keep coming without end
        with selectors.DefaultSelector() as ready:
            ready.register(self.process.stdout, selectors.EVENT_READ)
            while ready.select(max(deadline - time.monotonic(), 0)):
                line = self.process.stdout.readline().decode()
                if re.search(pattern, line):
                    return re.sub(r"timestamp=\S+ |(seconds|longest_round_us|listen)=\S+ ?", "", line).strip()
                assert line, f"the log ended before {pattern!r}"
        raise AssertionError(f"no log line {pattern!r}")

    def accept_watch(self, *entries):
        """Accepts the coordinator's next watch and answers with these entries.

        Returns the connection and the first line of the request.
        """
        watch, _ = self.registry.accept()
        self.sockets.append(watch)
        request_line = self.read_until(watch, rb"\r\n\r\n").split("\r\n")[0]
        watch.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + b"".join(map(http_chunk, entries)))
        return watch, request_line

    @staticmethod
    def format_address(listening):
        return "{}:{}".format(*listening.getsockname())

    def reload(self, text=None, **changes):
        """Writes a new configuration and sends the signal to read it."""
        self.configuration.update(changes)
        self.path.write_text(text or json.dumps(self.configuration))
        self.process.send_signal(signal.SIGHUP)

    def connect(self, *messages):
        """Connects to the coordinator and sends these messages."""
        deadline = time.monotonic() + self.WAIT_SECONDS
        while True:  # the coordinator listens soon after its start
            try:
                connection = socket.create_connection(self.address, timeout=self.WAIT_SECONDS)
                break
            except ConnectionRefusedError:
                assert time.monotonic() < deadline and self.process.poll() is None, "it does not listen"
        self.sockets.append(connection)
        connection.sendall("".join(message + "\r\n" for message in messages).encode())
        return connection

    def read_until(self, connection, pattern):
        """Everything that is received until the pattern matches, or until the end with None."""
        got = b""
        while pattern is None or not re.search(pattern, got):
            try:
                piece = connection.recv(65536)
            except ConnectionResetError:
                piece = b""
            if not piece:
                assert pattern is None, f"ended after {got!r}"
                break
            got += piece
        return got.decode()

    def responds(self):
        """Whether the coordinator answers on a new connection."""
        return self.read_until(self.connect("hb"), rb"hb_ok\r\n") == "hb_ok\r\n"
