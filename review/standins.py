"""Stand-ins for the cases of the review: discovery, backends, clients, proxies, collectors, and the platform that starts
a coordinator with the command `run` of the deploy file. They do what the users' pages say and nothing else. All of them
run in the process of the case, on free ports of 127.0.0.1; only the coordinator is a process of its own."""

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
SLACK = 0.3  # PROTOCOL: the time limits are longer by 300 ms ...
FIRST_SECOND = 1.0  # ... and start no earlier than 1 s after the coordinator first answered
KEPT, BROKEN, NOT_RUN = 0, 1, 2


class Record:
    """`record.txt` in the folder of the case: one line for each event, with the seconds since the start."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = open(Path(folder) / "record.txt", "w", encoding="utf-8")  # noqa: SIM115

    def now(self):
        return time.monotonic() - self.started

    def __call__(self, text, show=False):
        line = f"{self.now():8.3f} {text}"
        if not self.file.closed:  # a call may still be on its way at the end of the case
            self.file.write(line + "\n")
        if show:
            print(line, flush=True)

    def close(self):
        self.file.close()


class Backend:
    """A server: answers each line `CALL id` with `OK id`. `crash` closes its port and its connections."""

    def __init__(self, name, zone, record, answer_time=0.02):
        self.name, self.zone, self.record, self.answer_time = name, zone, record, answer_time
        self.port, self.server, self.writers, self.ran = 0, None, set(), 0
        self.started_ms = 0  # 0: long ago

    async def start(self, cold=False):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        if cold:
            self.started_ms = round(time.time() * 1000)
            self.record(f"backend {self.name} has started again, cold", True)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while line := await reader.readline():
                call = line.split()[1].decode()
                self.ran += 1
                self.record(f"run {call} at {self.name}")
                await asyncio.sleep(self.answer_time)
                writer.write(b"OK " + call.encode() + b"\n")
        self.writers.discard(writer)
        writer.close()

    def crash(self):
        self.record(f"backend {self.name} dies", True)
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def entry(self, state="active"):
        return {
            "uid": self.name,
            "endpoint": f"127.0.0.1:{self.port}",
            "az": self.zone,
            "model": "std",
            "pod_group": 0,
            "state": state,
            "capacity_hint": 1.0,
            "boot_ms": self.started_ms,
        }


class Discovery:
    """The agent of discovery on the coordinator's machine: the whole list, and watches of its changes."""

    def __init__(self, record, rev=41):
        self.record, self.rev = record, rev
        self.entries = {}  # uid -> entry
        self.changes = []  # (rev, entry)
        self.first_rev = rev
        self.watchers = set()
        self.told = {}  # uid -> (state, time, started in ms) as last written to the coordinator

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:{}".format(self.server.sockets[0].getsockname()[1])

    def whole(self):
        return {"rev": self.rev, "all": True, "targets": list(self.entries.values())}

    def change(self, *entries):
        """One change of the list."""
        self.rev += 1
        for entry in entries:
            if entry["state"] == "left":
                self.entries.pop(entry["uid"], None)
            else:
                self.entries[entry["uid"]] = entry
            self.changes.append((self.rev, entry))
            self.record(f"listed {entry['uid']} {entry['state']} boot_ms={entry['boot_ms']} rev={self.rev}", True)
        for writer in list(self.watchers):
            self.send(writer, {"rev": self.rev, "all": False, "targets": list(entries)})

    def send(self, writer, document=None):
        line = (json.dumps(document) if document else "").encode() + b"\n"
        writer.write(b"%x\r\n%s\r\n" % (len(line), line))
        if document:
            now = time.monotonic()
            for entry in document["targets"]:
                self.told[entry["uid"]] = entry["state"], now, entry["boot_ms"]
            if document["all"]:
                for uid in self.told.keys() - {entry["uid"] for entry in document["targets"]}:
                    self.told[uid] = "left", now, 0

    async def serve(self, reader, writer):
        # A cancelled task is one at the end of the case.
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            request = (await reader.readuntil(b"\r\n\r\n")).decode().split()[1]
            if "watch=1" not in request:
                body = json.dumps(self.whole()).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
                return
            version = int(request.rpartition("from=")[2])
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            if self.first_rev <= version <= self.rev:
                changed = {entry["uid"]: entry for rev, entry in self.changes if rev > version}
                self.send(writer, changed and {"rev": self.rev, "all": False, "targets": list(changed.values())})
            else:
                self.send(writer, self.whole())
            self.watchers.add(writer)
            while not writer.is_closing():
                await asyncio.sleep(2)
                self.send(writer)
                await writer.drain()
        self.watchers.discard(writer)


class Platform:
    """Starts and restarts one coordinator, with its name, address, configuration and the list that it last had."""

    def __init__(self, record, discovery, settings, operator=None, name="n0"):
        self.record, self.discovery, self.settings, self.name = record, discovery, settings, name
        self.folder = Path(tempfile.mkdtemp(prefix="cranecleat-review-"))
        self.operator, self.process, self.starts = operator, None, 0
        self.first_answer = None  # when it first answered since its start
        with socket.create_server(("127.0.0.1", 0)) as free:
            self.port = free.getsockname()[1]
        self.run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]

    async def start(self, known):
        self.starts += 1
        self.first_answer = None
        now = time.monotonic()  # until discovery writes to it, it has been told what it is started with
        self.discovery.told = {entry["uid"]: (entry["state"], now, entry["boot_ms"]) for entry in known["targets"]}
        listen = f"127.0.0.1:{self.port}"
        configuration = {
            "name": self.name,
            "listen": listen,
            "discovery": self.discovery.address,
            "seed": f"{random.getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": known,
            "settings": self.settings,
        }
        path = self.folder / "config.json"
        path.write_text(json.dumps(configuration))
        temporary = self.folder / f"tmp{self.starts}"
        temporary.mkdir()
        environment = os.environ | {
            "BALANCER_NAME": self.name,
            "BALANCER_LISTEN": listen,
            "BALANCER_DISCOVERY": self.discovery.address,
            "BALANCER_CONFIG": str(path),
            "TMPDIR": str(temporary),
        }
        if self.operator:
            environment["CRANECLEAT_OPERATOR"] = str(self.operator)
        self.record(f"coordinator starts, known: {[entry['uid'] for entry in known['targets']]}", True)
        with open(self.folder / f"log{self.starts}", "wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", self.run, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        deadline = time.monotonic() + 30
        while True:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(b"hb\r\n")
                answer = await asyncio.wait_for(reader.readline(), 1)
                writer.close()
                if answer.startswith(b"hb_ok"):
                    break
            if self.process.returncode is not None or time.monotonic() > deadline:
                raise RuntimeError("the coordinator does not start: " + self.log_tail())
            await asyncio.sleep(0.05)
        self.first_answer = time.monotonic()
        self.record("coordinator answers", True)

    async def restart(self, down=0.0):
        """A planned restart: SIGTERM, SIGKILL no earlier than 0.7 s later; then a start with the list as last had."""
        known = self.discovery.whole()
        self.record("coordinator gets SIGTERM (planned restart)", True)
        self.process.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), 0.8)
        except TimeoutError:
            self.process.kill()
            await self.process.wait()
        await asyncio.sleep(down)
        await self.start(known)

    async def kill(self):
        self.record("coordinator gets SIGKILL", True)
        self.process.kill()
        await self.process.wait()

    def log_tail(self):
        return (self.folder / f"log{self.starts}").read_text(errors="replace")[-600:]

    def crashed(self):
        return self.process is not None and self.process.returncode is not None

    async def close(self):
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


class Proxy:
    """A proxy with a stream. It holds its standing tables until it is ordered others, keeps what it holds when the
    stream breaks, and dials again after 0.2 to 2.1 s. `own_zone`: the classes that keep to its zone."""

    def __init__(self, node, zone, platform, backends, classes, own_zone, record, rate, draw):
        self.node, self.zone, self.platform, self.backends = node, zone, platform, backends
        self.classes, self.own_zone, self.record, self.rate, self.draw = classes, own_zone, record, rate, draw
        self.tables, self.levels, self.dropped, self.cold = {}, {}, set(), True
        self.joined_at = None  # when its present stream was opened; None while it has none
        self.parts = []
        self.counts = {name: [0, 0, 0] for name in classes}  # since the last report: came, let in, not served
        self.tries = {}  # backend -> [tries, errors, time of the others]

    def draw_standing_tables(self):
        for name in self.classes:
            listed = [b for b in self.backends.values() if name not in self.own_zone or b.zone == self.zone]
            near = [b for b in listed if b.zone == self.zone]
            pool = near if len(near) >= 3 else listed
            self.tables[name] = {b.name: 1.0 for b in self.draw.sample(pool, min(6, len(pool)))}

    # The stream

    async def run(self):
        self.draw_standing_tables()
        while True:
            writer = None
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.platform.port)
                writer.write(
                    f"attach node={self.node} locality={self.zone} w={self.rate * len(self.classes)} "
                    f"cold={int(self.cold)}\r\n".encode()
                )
                self.joined_at, self.parts = time.monotonic(), []
                self.record(f"p{self.node} attach cold={int(self.cold)}")
                reports = asyncio.ensure_future(self.report(writer))
                try:
                    while line := await reader.readline():
                        self.receive(line.decode().strip(), writer)
                finally:
                    reports.cancel()
            if self.joined_at is not None:
                self.record(f"p{self.node} stream ended")
            self.joined_at = None
            if writer:
                writer.close()
            await asyncio.sleep(self.draw.uniform(0.2, 2.1))

    def receive(self, line, writer):
        if line == "hb_ok":
            return
        self.record(f"p{self.node} <- {line}")
        kind, *words = line.split(" ")
        if kind != "assign":
            return
        fields = dict(word.split("=", 1) for word in words)
        self.parts.append(fields)
        if "part" in fields:
            return
        parts, self.parts = self.parts, []
        for fields in parts:  # the message takes effect as a whole
            self.apply(fields, writer)

    def apply(self, fields, writer):
        for name in fields["for"].split("+") if "for" in fields else self.classes:
            if "replace" in fields:
                self.tables[name], self.cold = {}, False
                self.levels.pop(name, None)
            for row in filter(None, fields.get("rows", "").split(",")):
                backend, _, weight = row.rpartition(":")
                self.tables[name][backend] = float(weight)
                if not float(weight):
                    del self.tables[name][backend]
            if "gate" in fields:
                self.levels[name] = float(fields["gate"]), int(fields["again"])
        self.dropped.update(filter(None, fields.get("drop", "").split(",")))
        self.dropped.difference_update(fields.get("undrop", "").split(","))
        if "stamp" in fields:
            writer.write(f"done node={self.node} nonce={fields['stamp']} latency=1.0\r\n".encode())

    async def report(self, writer):
        cycle = self.platform.settings["specifics"]["cycle"]
        while True:
            await asyncio.sleep(cycle)
            for name, (came, let_in, unserved) in self.counts.items():
                writer.write(
                    f"client_stats node={self.node} route={name} total={came} errors={unserved} "
                    f"interval={cycle * 1000:.1f}\r\n".encode()
                )
                self.counts[name] = [0, 0, 0]

    # Calls

    def lines(self, name):
        """The lines that it can pick for a class."""
        return {b: w for b, w in self.tables.get(name, {}).items() if w > 0 and b not in self.dropped}

    async def call(self, name, number):
        """One call of a client; returns its final answer."""
        self.counts[name][0] += 1
        level, again = self.levels.get(name, (1.0, 1))
        if self.draw.random() >= level:
            return "refused by level"
        self.counts[name][1] += 1
        lines = self.lines(name)
        for _ in range(1 + (again > 0)):
            if not lines:
                self.counts[name][2] += 1
                return "refused: no backend to pick"
            backend = self.draw.choices(list(lines), list(lines.values()))[0]
            tried = self.tries.setdefault(backend, [0, 0, 0.0])
            tried[0] += 1
            started = time.monotonic()
            answer = await self.send(backend, number)
            if answer == "ok":
                tried[2] += time.monotonic() - started
                return f"answered by {backend}"
            tried[1] += 1
            if answer == "failed":  # it may have run
                break
            lines.pop(backend)  # proof that it never ran: one further try at another backend
        self.counts[name][2] += 1
        return "failed"

    async def send(self, name, number):
        backend = self.backends[name]
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", backend.port), 0.3)
        except (OSError, TimeoutError):
            return "unsent"
        try:
            writer.write(f"CALL {number}\n".encode())
            return "ok" if (await asyncio.wait_for(reader.readline(), 1)).startswith(b"OK") else "failed"
        except (OSError, TimeoutError):
            return "failed"
        finally:
            writer.close()


async def collector(zone, proxies, platform):
    """Forwards what the proxies of its zone found at each backend."""
    cycle = platform.settings["specifics"]["cycle"]
    while True:
        writer = None
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection("127.0.0.1", platform.port)
            writer.write(f"telemetry locality={zone}\r\n".encode())
            ended = asyncio.ensure_future(reader.read(1))
            while not ended.done():
                await asyncio.wait([ended], timeout=cycle)
                sums = {}
                for proxy in proxies:
                    if proxy.zone == zone:
                        for backend, values in proxy.tries.items():
                            sums[backend] = [a + b for a, b in zip(sums.get(backend, [0, 0, 0.0]), values)]
                        proxy.tries = {}
                for backend, (total, errors, spent) in sums.items():
                    rtt = 1000 * spent / max(total - errors, 1)
                    writer.write(
                        f"upstream_stats locality={zone} endpoint={backend} total={total} errors={errors} "
                        f"rtt={rtt:.1f} interval={cycle * 1000:.1f}\r\n".encode()
                    )
                await writer.drain()
        if writer:
            writer.close()
        await asyncio.sleep(0.5)


class Clients:
    """Sends each proxy calls of each class, evenly spread, and counts the final answers."""

    def __init__(self, proxies, record, rate, classes):
        self.proxies, self.record, self.rate, self.classes = proxies, record, rate, classes
        self.number, self.outcomes, self.tasks = 0, [], set()

    async def run(self):
        started, step = time.monotonic(), 1 / self.rate / len(self.proxies) / len(self.classes)
        while True:
            for name in self.classes:
                for proxy in self.proxies:
                    self.number += 1
                    task = asyncio.ensure_future(self.one(proxy, name, f"c{self.number}"))
                    self.tasks.add(task)
                    task.add_done_callback(self.tasks.discard)
                    await asyncio.sleep(max(started + self.number * step - time.monotonic(), 0))

    async def one(self, proxy, name, number):
        sent = self.record.now()
        self.record(f"sent {number} {name} to p{proxy.node}")
        answer = await proxy.call(name, number)
        self.outcomes.append((sent, proxy.node, name, answer))
        self.record(f"answer {number} {name} p{proxy.node}: {answer}")


class RuleOne:
    """'Nobody left without a server', as WIRE and PROTOCOL word it. Looks every 50 ms.

    A joined proxy that has no line to pick for a class, while the coordinator has been told of a running backend that
    is open to the class and started `rules.cold` or longer ago, may be so for `specifics.bare` and 300 ms. The time
    runs from 1 s after the coordinator first answered at the earliest."""

    def __init__(self, proxies, platform, discovery, backends, record, lines=None):
        self.proxies, self.platform, self.discovery = proxies, platform, discovery
        self.backends, self.record = backends, record
        self.limit = platform.settings["specifics"]["bare"] + SLACK
        self.cold = platform.settings["rules"]["cold"]
        self.since, self.broken, self.longest = {}, {}, 0.0

    def is_open(self, name, proxy):
        wall = time.time()
        return [
            uid
            for uid, (state, _, boot_ms) in self.discovery.told.items()
            if state == "active"
            and wall - boot_ms / 1000 >= self.cold
            and (name not in proxy.own_zone or self.backends[uid].zone == proxy.zone)
        ]

    async def run(self):
        while True:
            self.look()
            await asyncio.sleep(0.05)

    def look(self):
        now = time.monotonic()
        for proxy in self.proxies:
            for name in proxy.classes:
                key = proxy.node, name
                counts = (
                    proxy.joined_at is not None
                    and self.platform.first_answer is not None
                    and now >= self.platform.first_answer + FIRST_SECOND
                    and not proxy.lines(name)
                    and proxy.levels.get(name, (1.0, 1))[0] > 0
                    and self.is_open(name, proxy)
                )
                if not counts:
                    self.since.pop(key, None)
                    continue
                # A new stream starts the time anew.
                since = self.since[key] = max(self.since.get(key, now), proxy.joined_at)
                self.longest = max(self.longest, now - since)
                if now - since > self.limit and key not in self.broken:
                    self.broken[key] = now
                    self.record(
                        f"RULE BROKEN: p{proxy.node} has had no line for {name} for {now - since:.2f} s "
                        f"(limit {self.limit:.2f} s); its table {proxy.tables[name]}, shut out "
                        f"{sorted(proxy.dropped)}; running, warm and open: {self.is_open(name, proxy)[:6]}",
                        len(self.broken) <= 4,  # all are in record.txt
                    )


def summary(clients, record, since=0.0):
    """Counts of the clients' final answers by class, from a time on."""
    counts = {}
    for sent, _, name, answer in clients.outcomes:
        if sent >= since:
            kind = "answered" if answer.startswith("answered") else answer
            counts[name, kind] = counts.get((name, kind), 0) + 1
    for (name, kind), count in sorted(counts.items()):
        record(f"calls of {name} sent since {since:.1f} s, {kind}: {count}", True)


def run_case(main):
    """Runs `main()` and ends with its exit code; 2 where the case could not run. All that it starts is ended."""

    async def guarded():
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        return await asyncio.wait_for(main(), 115)

    try:
        code = asyncio.run(guarded())
    except BaseException as failure:  # also a time-out and a cancelled run
        print(f"the case could not run: {failure!r}", file=sys.stderr)
        code = NOT_RUN
    sys.stdout.flush()
    os._exit(code)
