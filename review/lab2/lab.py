"""Stand-ins for the cases 6 to 10 of the review: platform, discovery, proxies, collectors. Standard library only.

All parties but the coordinators run in the process of the script. The coordinators are started with the command `run`
of deploy/balancer.toml. Everything listens on loopback addresses, on ports that were free a moment before.
"""

import asyncio
import atexit
import ctypes
import json
import logging
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
logging.disable(logging.CRITICAL)  # asyncio warns of each write after a reset, which the cases bring about
SLACK = 0.3  # PROTOCOL: the time limits are longer by 300 ms


class CannotRun(Exception):
    """The case could not be played: neither held nor broken."""


class Record:
    """record.txt in the folder of the case."""

    def __init__(self, folder):
        self.file = open(folder / "record.txt", "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, *words):
        self.file.write(f"{self.now():8.3f}  {' '.join(str(word) for word in words)}\n")
        self.file.flush()


class Lab:
    """One run: a temporary folder, the record, and the processes that have to be ended."""

    def __init__(self, case):
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.record = Record(Path(case).resolve().parent)
        self.processes = []
        self.ports = set()
        atexit.register(self.end)
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(number, lambda *_: sys.exit(NOT_RUN))

    def end(self):
        for process in self.processes:
            if process.poll() is None:
                process.kill()
                process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)

    def free_port(self):
        while True:
            with socket.socket() as probe:
                probe.bind(("127.0.0.1", 0))
                port = probe.getsockname()[1]
            if port not in self.ports:
                self.ports.add(port)
                return port

    def play(self, story, seconds=110):
        """Runs the coroutine function `story(lab)`, which returns a list of breaches, and exits with its verdict."""
        code = NOT_RUN
        try:
            breaches = asyncio.run(asyncio.wait_for(story(self), seconds))
            for breach in breaches[:20]:
                self.record("BREACH", breach)
            code = BROKEN if breaches else HELD
            self.record(f"verdict: {'broken, ' + str(len(breaches)) + ' times' if breaches else 'held'}")
            print(f"TROUBLE={int(TROUBLE)}: {'broken: ' + breaches[0] if breaches else 'held'}")
        except (Exception, asyncio.CancelledError) as failure:
            self.record(f"could not run: {type(failure).__name__}: {failure}")
            print(f"could not run: {type(failure).__name__}: {failure}")
        self.end()
        sys.stdout.flush()
        os._exit(code)  # open connections need no orderly end


def die_with_parent():
    """Lets the kernel end the child if the script itself is killed."""
    try:
        ctypes.CDLL(None).prctl(1, signal.SIGKILL)
    except (OSError, AttributeError):
        pass


class Coordinator:
    """One coordinator, as the platform starts it."""

    def __init__(self, lab, name, agent, settings, known, limits=None, operator=None):
        self.lab, self.name, self.agent = lab, name, agent
        self.port = lab.free_port()
        self.path = lab.folder / f"{name}.json"
        self.operator = operator
        self.configuration = {
            "name": name,
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{agent.port}",
            "seed": f"{random.getrandbits(64):016x}",
            "limits": limits or {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": known,
            "settings": settings,
        }
        self.process = None
        self.starts = 0

    def spawn(self):
        self.starts += 1
        self.configuration["seed"] = f"{random.getrandbits(64):016x}"  # new with each start
        self.path.write_text(json.dumps(self.configuration))
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environment = {name: value for name, value in os.environ.items() if not name.startswith("BALANCER_")}
        environment.pop("CRANECLEAT_OPERATOR", None)
        environment.update(
            BALANCER_NAME=self.name,
            BALANCER_LISTEN=self.configuration["listen"],
            BALANCER_DISCOVERY=self.configuration["discovery"],
            BALANCER_CONFIG=str(self.path),
            TMPDIR=str(self.lab.folder),
            PYTHONDONTWRITEBYTECODE="1",
        )
        if self.operator:
            environment["CRANECLEAT_OPERATOR"] = str(self.operator)
        log = open(self.lab.folder / f"{self.name}.{self.starts}.log", "wb")
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", run],
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
            preexec_fn=die_with_parent,
        )
        log.close()
        self.lab.processes.append(self.process)

    def log_text(self):
        return (self.lab.folder / f"{self.name}.{self.starts}.log").read_text(errors="replace")

    async def start(self):
        """Starts it and waits until it has answered a heartbeat, as the platform does."""
        self.spawn()
        deadline = time.monotonic() + 30
        while time.monotonic() < deadline:
            if self.process.poll() is not None:
                raise CannotRun(f"{self.name} ended with {self.process.returncode}: {self.log_text()[-300:]}")
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(b"hb\r\n")
                answer = await asyncio.wait_for(reader.readline(), 5)
                writer.close()
                if answer == b"hb_ok\r\n":
                    self.lab.record(f"{self.name} answered its first heartbeat")
                    return self
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} is not ready within 30 s")

    def kill(self):
        self.process.kill()
        self.process.wait()
        self.lab.record(f"{self.name} killed")


def entry(uid, zone, kind="std", state="active", boot_ms=0, group=0):
    """One backend as discovery lists it."""
    return {
        "uid": uid,
        "endpoint": "127.0.0.1:9",
        "az": zone,
        "model": kind,
        "pod_group": group,
        "state": state,
        "capacity_hint": 1.0,
        "boot_ms": boot_ms,
    }


class Agent:
    """Discovery's agent beside one coordinator. `change` tells the watch at once; `told` holds when each uid was told
    to be leaving or left, by the agent's own writing."""

    def __init__(self, lab, name, entries, rev=41):
        self.lab, self.name, self.rev = lab, name, rev
        self.entries = {one["uid"]: one for one in entries}
        self.history = []  # (rev, entry)
        self.watches = set()
        self.told = {}
        self.port = lab.free_port()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)
        return self

    def whole(self):
        return {"rev": self.rev, "all": True, "targets": list(self.entries.values())}

    @staticmethod
    def chunk(line):
        return b"%x\r\n%s\n\r\n" % (len(line) + 1, line)

    async def serve(self, reader, writer):
        try:
            request = (await reader.readuntil(b"\r\n\r\n")).split(b" ")[1].decode()
            if "watch=1" not in request:
                body = json.dumps(self.whole()).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                await writer.drain()
                writer.close()
                return
            since = int(request.split("from=")[1].split("&")[0])
            first = self.history[0][0] - 1 if self.history else self.rev
            if first <= since <= self.rev:
                changed = {one["uid"]: one for rev, one in self.history if rev > since}
                answer = {"rev": self.rev, "all": False, "targets": list(changed.values())}
            else:
                answer = self.whole()
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            writer.write(self.chunk(json.dumps(answer).encode()))
            self.watches.add(writer)
            while not reader.at_eof():
                await asyncio.sleep(2)
                writer.write(self.chunk(b""))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, IndexError, ValueError):
            pass
        finally:
            self.watches.discard(writer)
            writer.close()

    def change(self, *changed):
        """Tells changes. An entry that has left is removed from the list."""
        self.rev += 1
        for one in changed:
            self.history.append((self.rev, one))
            if one["state"] == "left":
                self.entries.pop(one["uid"], None)
            else:
                self.entries[one["uid"]] = one
            if one["state"] == "active":
                self.told.pop(one["uid"], None)
            else:
                self.told.setdefault(one["uid"], self.lab.record.now())
            self.lab.record(f"discovery at {self.name}: rev {self.rev} {one['uid']} {one['state']}")
        line = json.dumps({"rev": self.rev, "all": False, "targets": list(changed)}).encode()
        for writer in list(self.watches):
            writer.write(self.chunk(line))


class Proxy:
    """A proxy on a stream, after PROTOCOL. It keeps tables, levels and withdrawals over streams.

    `tables`: route -> {backend: weight}. `out`: backends that it is to shut out. `sends`: (time, backend, joined at,
    coordinator) of the calls that it forwarded. It judges no backend itself. `delay`: seconds that a message takes until
    it is in force. `rotates`: whether it picks evenly by weight; else at random by weight."""

    def __init__(self, lab, number, zone, routes, standing, rate, world, delay=0.0, rotates=False):
        self.lab, self.number, self.zone, self.routes, self.rate = lab, number, zone, routes, rate
        self.world, self.delay, self.rotates = world, delay, rotates
        self.credit = {route: {} for route in routes}  # of each backend, where it picks evenly by weight
        self.tables = {route: dict.fromkeys(standing, 1.0) for route in routes}
        self.levels = {}
        self.out = set()
        self.cold = True
        self.joined_at = None  # of the present stream
        self.coordinator = None
        self.messages = []  # (time, lines) on the present stream
        self.sends = []
        self.calls = {}
        self.reader = self.writer = None
        self.tasks = []
        self.random = random.Random(number)

    async def join(self, coordinator):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", coordinator.port)
        self.coordinator, self.messages = coordinator, []
        self.writer.write(
            f"attach node={self.number} locality={self.zone} w={self.rate:.1f} cold={int(self.cold)}\r\n".encode()
        )
        await self.writer.drain()
        self.joined_at = self.lab.record.now()
        self.lab.record(f"proxy {self.number} joined {coordinator.name} cold={int(self.cold)}")
        self.tasks = [asyncio.ensure_future(self.listen()), asyncio.ensure_future(self.report())]

    def leave(self):
        """Ends the stream with a reset."""
        for task in self.tasks:
            task.cancel()
        self.tasks = []
        if self.writer:
            self.writer.transport.abort()
        self.writer = self.coordinator = self.joined_at = None

    def go_silent(self):
        """Neither reads nor writes any more; nothing is said on the wire."""
        for task in self.tasks:
            task.cancel()
        self.tasks = []
        self.joined_at = None
        self.lab.record(f"proxy {self.number} is cut off from all coordinators")

    async def listen(self):
        lines = []
        try:
            while line := await self.reader.readline():
                words = dict(word.partition("=")[::2] for word in line.decode().strip().split(" ")[1:])
                lines.append(words)
                if "part" not in words:
                    await asyncio.sleep(self.delay)
                    if self.reader.at_eof() or self.reader.exception():
                        break  # messages in transit are lost with their stream
                    self.apply(lines)
                    lines = []
        except ConnectionError:
            pass
        self.joined_at = None
        self.lab.record(f"proxy {self.number}: its stream has ended")

    def apply(self, lines):
        self.messages.append((self.lab.record.now(), lines))
        stamp = None
        for words in lines:
            routes = words["for"].split("+") if "for" in words else self.routes
            rows = [row.rpartition(":")[::2] for row in words["rows"].split(",")] if words.get("rows") else []
            for route in routes:
                if words.get("replace") == "1":
                    self.tables[route] = {}
                    self.levels.pop(route, None)
                for backend, weight in rows:
                    if float(weight):
                        self.tables[route][backend] = float(weight)
                    else:
                        self.tables[route].pop(backend, None)
                if "gate" in words:
                    self.levels[route] = float(words["gate"])
            self.out.update(filter(None, words.get("drop", "").split(",")))
            self.out.difference_update(words.get("undrop", "").split(","))
            stamp = words.get("stamp", stamp)
            self.cold = self.cold and "rows" not in words
            shown = " ".join(f"{name}={value}" for name, value in words.items())
            self.lab.record(f"proxy {self.number} <- {shown}")
        if stamp is not None and self.writer:
            self.writer.write(f"done node={self.number} nonce={stamp} latency=100.0\r\n".encode())

    async def report(self):
        while True:
            await asyncio.sleep(1)
            for route in self.routes:
                total, self.calls[route] = self.calls.get(route, 0), 0
                self.writer.write(
                    f"client_stats node={self.number} route={route} total={total} errors=0 interval=1000.0\r\n".encode()
                )

    def usable(self, route):
        return {b: w for b, w in self.tables[route].items() if b not in self.out}

    def pick(self, route, usable):
        if not self.rotates:
            return self.random.choices(list(usable), list(usable.values()))[0]
        credit = self.credit[route] = {b: self.credit[route].get(b, 0.0) + w for b, w in usable.items()}
        backend = max(credit, key=credit.get)
        credit[backend] -= sum(usable.values())
        return backend

    async def forward(self):
        """Forwards calls at its rate, one route after the other, for as long as it lives."""
        turn = 0
        while True:
            await asyncio.sleep(self.random.uniform(0.5, 1.5) / self.rate)
            turn += 1
            route = self.routes[turn % len(self.routes)]
            self.calls[route] = self.calls.get(route, 0) + 1
            usable = self.usable(route)
            if not usable:
                self.world.no_line(self, route)
                continue
            if self.random.random() > self.levels.get(route, 1.0):
                continue
            backend = self.pick(route, usable)
            self.sends.append((self.lab.record.now(), backend, self.joined_at, self.coordinator))
            self.world.sent(self, route, backend)


class World:
    """Counts what the proxies met at the backends, for the collectors."""

    def __init__(self, lab, answer_ms=60.0, late=0.4):
        self.lab, self.answer_ms, self.late = lab, answer_ms, late
        self.gone = set()  # backends that answer nothing
        self.counts = {}  # (coordinator, zone, backend) -> [tries, errors]
        self.empty = []  # (time, proxy, route): a call that found no line

    def sent(self, proxy, route, backend):
        if proxy.joined_at is not None:
            count = self.counts.setdefault((proxy.coordinator, proxy.zone, backend), [0, 0])
            count[0] += 1
            count[1] += backend in self.gone

    def no_line(self, proxy, route):
        self.empty.append((self.lab.record.now(), proxy.number, route))

    async def collect(self, coordinator, zone):
        """The collector of a zone at one coordinator."""
        while True:
            try:
                _, writer = await asyncio.open_connection("127.0.0.1", coordinator.port)
                writer.write(f"telemetry locality={zone}\r\n".encode())
                while not writer.transport.is_closing():
                    await asyncio.sleep(1)
                    asyncio.ensure_future(self.forward_sums(coordinator, zone, writer))
            except OSError:
                pass
            await asyncio.sleep(0.3)

    async def forward_sums(self, coordinator, zone, writer):
        """Sends the sums of the last second, `late` seconds later."""
        lines = []
        for key in [key for key in self.counts if key[:2] == (coordinator, zone)]:
            tries, errors = self.counts.pop(key)
            rtt = self.answer_ms if tries > errors else 0.0
            lines.append(
                f"upstream_stats locality={zone} endpoint={key[2]} total={tries} errors={errors} rtt={rtt} "
                f"interval=1000.0\r\n"
            )
        await asyncio.sleep(self.late)
        if not writer.transport.is_closing():
            writer.write("".join(lines).encode())


def make_settings(routes, zones, proxies, **changes):
    """Settings after the example in WIRE, section 14. `routes`: (name, effect). `changes` go into `specifics`, but for
    `rules` and `groupSize`."""
    group_size, rules = changes.pop("groupSize", 1), changes.pop("rules", {})
    return {
        "deductions": {},
        "domainType": "control",
        "goal": {"whole": 0.7, "worstClass": 0.1, "worstTenant": 0.0, "worstWindow": 0.2},
        "groupSize": group_size,
        "limits": {
            "connIdle": 15.0,
            "connectTimeout": 0.3,
            "cpuUsPerS": 290135,
            "maxStreams": 32,
            "mayTell": False,
            "probes": False,
        },
        "localities": list(zones),
        "membershipMode": "push",
        "myZone": 0,
        "report": {"how": "silent", "names": []},
        "requestClasses": [
            {
                "credit": 3.0 - i,
                "effect": effect,
                "giveUp": 4.0,
                "goalTime": 1.2,
                "group": "all",
                "keyTtl": 4.0,
                "lateShare": 0.2,
                "name": name,
            }
            for i, (name, effect) in enumerate(routes)
        ],
        "round": 0.002,
        "rules": {
            "askWithin": 10.0,
            "cold": 17.0,
            "coldFrom": 0.21,
            "fall": 3.0,
            "stopSendingWithin": 3.0,
            "tipMultiple": 3.0,
            **rules,
        },
        "skus": ["std"],
        "slotNo": 0,
        "specifics": {
            "admission": "fraction",
            "backlog": 5000.0,
            "bare": 3.1,
            "costPerLine": 0.04,
            "countedOver": 10.0,
            "cycle": 1.0,
            "defaultSize": 6,
            "egressPerS": 5000.0,
            "failsToEject": 0,
            "firstWait": 1.0,
            "homedByZone": True,
            "intakePerS": 120.0,
            "keyRanges": 0,
            "lbMethod": "random",
            "lingers": 4.02,
            "messagesMost": 0,
            "park": 0.3,
            "perMessage": 10.0,
            "proxyCount": proxies,
            "pushDelay": 0.177,
            "reassignPrice": 0.01,
            "socketsMin": 269.0,
            "soleOwner": False,
            "tenure": 2.5,
            "transitMax": 0.4425,
            "usualHow": 1,
            "warmKeys": False,
            "writeClasses": [effect != "idempotent" for _, effect in routes],
            "zoneBound": [False] * len(routes),
            **changes,
        },
        "weightSource": "silent",
        "worthBy": "request",
    }
