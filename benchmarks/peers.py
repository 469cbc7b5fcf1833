"""Measures what peers that write slowly, write nonsense, write at full speed or leave much unread do to a coordinator:
the memory of its process against the configured limit, and how long other peers wait for answers meanwhile.

    python -m benchmarks.peers [--quick] [--json] [LOAD ...]

Each load comes from a process of its own, over loopback, and ends by itself. The coordinator is started as a process
with `memory_mb` of MEMORY_MB. The exit code is 1 where a target is missed. Times depend on the machine: compare only
those of one run.
"""

import argparse
import asyncio
import json
import os
import socket
import subprocess
import sys
import tempfile
import threading
import time
from dataclasses import asdict, dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
MEMORY_MB = 32  # the least that a deployment gives
TARGETS = {
    "memory_mb": MEMORY_MB,  # peak memory of the process, at most
    "answer_ms": 300.0,  # any answer to another peer, at most: what the rules on sockets allow for beside their limits
}
PROXIES, BACKENDS = 400, 30
PROBE_PROXY, LOAD_PROXY = 0, 1  # numbers of the proxies that the measurement and the load use
PROBE_INTERVAL = 0.01  # seconds between two heartbeats of the joined proxy that is measured
CONNECT_INTERVAL = 0.1  # seconds between two new connections that are measured
GIVE_UP = 10.0  # seconds after which an answer counts as never given
READY_SECONDS = 20.0
PEERS = 200  # connections of a load that opens many
MESSAGE_BYTES = 1 << 20  # the largest message
TELEMETRY = b"telemetry locality=a\r\n"
ATTACH = b"attach node=%d locality=a w=20.0 cold=1\r\n"
CLIENT_STATS = b"client_stats node=%d route=read total=1 errors=0 interval=1000.0\r\n" % LOAD_PROXY


# Loads. Each is called with the coordinator's address and the seconds that it may take.


def connect(address, first=b""):
    connection = socket.create_connection(address, timeout=GIVE_UP)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connection.sendall(first)
    return connection


def send_until(connection, make_data, end, read=False):
    """Sends what `make_data` returns again and again. Stops at `end`, or when the coordinator ends the connection.
    `read`: also reads what is answered; without it the answers stay unread."""
    if read:
        threading.Thread(target=read_all, args=(connection,), daemon=True).start()
    connection.settimeout(0.5)
    try:
        while time.monotonic() < end:
            try:
                connection.sendall(make_data())
            except TimeoutError:
                continue
    except OSError:
        return False
    return True


def read_all(connection):
    try:
        while connection.recv(1 << 16):
            pass
    except OSError:
        pass


def open_many(address, first, make_data, seconds, pause):
    """Opens PEERS connections that each send `first`, then data in turn, until time is up."""
    end = time.monotonic() + seconds
    connections = [connect(address, first) for _ in range(PEERS)]
    for connection in connections:
        connection.setblocking(False)
    while time.monotonic() < end and connections:
        for connection in list(connections):
            try:
                connection.send(make_data())
            except BlockingIOError:
                pass
            except OSError:  # the coordinator has ended it
                connections.remove(connection)
        time.sleep(pause)


def slow_writers(address, seconds):
    """Collectors that write a large message a little at a time."""
    open_many(address, TELEMETRY + b"upstream_stats x=", lambda: b"y" * 2000, seconds, 0.01)


def half_messages(address, seconds):
    """Collectors that stop half way through a large message."""
    open_many(address, TELEMETRY + b"upstream_stats x=" + b"y" * (MESSAGE_BYTES // 2), lambda: b"", seconds, 0.2)


def half_identified(address, seconds):
    """Connections that stop within their first message."""
    open_many(address, b"attach node=1 x=" + b"y" * 15000, lambda: b"", seconds, 0.2)


def many_fields(address, seconds):
    """Collectors that send the largest messages, of nothing but short fields."""
    names = b"".join(b" %x=1" % number for number in range(200_000))[: MESSAGE_BYTES - 40]
    message = b"client_stats" + names.rpartition(b" ")[0] + b"\r\n"
    in_parallel(8, lambda: send_until(connect(address, TELEMETRY), lambda: message, time.monotonic() + seconds))


def many_pairs(address, seconds):
    """A collector that sends the largest messages, with a load report of nothing but short pairs."""
    pairs = b"".join(b"%x:1," % number for number in range(200_000))[: MESSAGE_BYTES - 200].rpartition(b",")[0]
    message = b"upstream_stats locality=a endpoint=s-1 total=1 errors=0 rtt=1 interval=1000 metrics=" + pairs + b"\r\n"
    in_parallel(8, lambda: send_until(connect(address, TELEMETRY), lambda: message, time.monotonic() + seconds))


def in_parallel(count, action):
    threads = [threading.Thread(target=action) for _ in range(count)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def flood(first, data, read):
    """A load of one connection that sends the same data at full speed."""

    def load(address, seconds):
        send_until(connect(address, first), lambda: data, time.monotonic() + seconds, read)

    return load


def new_names(address, seconds):
    """A collector whose every message names another backend, field and route."""
    numbers = iter(range(1 << 60))

    def data():
        lines = []
        for number in (next(numbers) for _ in range(200)):
            lines.append(
                b"upstream_stats locality=a endpoint=n-%d total=1 errors=0 rtt=1 interval=1 f%d=1" % (number, number)
            )
            lines.append(b"client_stats node=1 route=r%d total=1 errors=0 interval=1000" % number)
            lines.append(b"done node=%d nonce=%d latency=1" % (number, number))
        return b"\r\n".join(lines) + b"\r\n"

    send_until(connect(address, TELEMETRY), data, time.monotonic() + seconds)


def new_marks(address, seconds):
    """A proxy that acknowledges ever new numbers that it was never sent."""
    numbers = iter(range(1 << 60))

    def data():
        return b"".join(b"done node=1 nonce=%d latency=1.0\r\n" % (next(numbers) % 10**9) for _ in range(400))

    send_until(connect(address, ATTACH % LOAD_PROXY), data, time.monotonic() + seconds, read=True)


def single_bytes(address, seconds):
    """A collector whose unfinished message grows by one line feed at a time."""
    connection = connect(address, TELEMETRY + b"upstream_stats x=" + b"y" * (MESSAGE_BYTES - 100_000))
    send_until(connection, lambda: b"\n", time.monotonic() + seconds)


def new_connections(address, seconds):
    """Connections one after the other, each under another name that does not exist."""
    end, number = time.monotonic() + seconds, 0
    while time.monotonic() < end:
        number += 1
        connection = connect(address, b"kind%d a=1\r\n" % number)
        connection.close()


def joins(address, seconds):
    """Proxies that join under one number after the other, and leave at once."""
    end, number = time.monotonic() + seconds, 0
    while time.monotonic() < end:
        number += 1
        connection = connect(address, ATTACH % (2 + number % (PROXIES - 2)))
        connection.close()


def closes_with_much_unread(address, seconds):
    """A proxy that writes reports at full speed, leaves with them unread, and joins again under its number."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        connection = connect(address, ATTACH % LOAD_PROXY)
        send_until(connection, lambda: CLIENT_STATS * 500, min(end, time.monotonic() + 0.3))
        connection.close()


def streams_that_do_not_read(address, seconds):
    """Proxies that join and never read, with a heartbeat now and then."""
    numbers = iter(range(2, 2 + PEERS))
    end = time.monotonic() + seconds
    connections = [connect(address, ATTACH % number) for number in numbers]
    for connection in connections:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    for connection in connections:
        send_until(connection, lambda: b"hb\r\n" * 5000, min(end, time.monotonic() + 0.05))
    time.sleep(max(end - time.monotonic(), 0))


LOADS = {  # name -> (picture of the operators' reports, load)
    "none": ("-", lambda address, seconds: time.sleep(seconds)),
    "slow writers": ("a", slow_writers),
    "half messages": ("a", half_messages),
    "half first messages": ("a", half_identified),
    "messages of many fields": ("a", many_fields),
    "reports of many pairs": ("a", many_pairs),
    "heartbeats": ("b", flood(ATTACH % LOAD_PROXY, b"hb\r\n" * 4000, read=True)),
    "heartbeats, answers unread": ("b", flood(ATTACH % LOAD_PROXY, b"hb\r\n" * 4000, read=False)),
    "empty messages": ("b", flood(TELEMETRY, b"\r\n" * 8000, read=False)),
    "unsound messages": ("b", flood(TELEMETRY, b"done x\r\n" * 2000, read=False)),
    "reports": ("b", flood(ATTACH % LOAD_PROXY, CLIENT_STATS * 200, read=True)),
    "new names": ("b", new_names),
    "new acknowledgement numbers": ("b", new_marks),
    "line feeds one by one": ("b", single_bytes),
    "new connections": ("b", new_connections),
    "joins": ("b", joins),
    "leaves with much unread": ("c", closes_with_much_unread),
    "streams that do not read": ("c", streams_that_do_not_read),
}


# The coordinator and its discovery


class Deployment:
    """A coordinator's process and the discovery that it watches."""

    def __init__(self, folder):
        self.folder = Path(folder)
        self.discovery_port = self.port = 0
        self.discovery = self.process = None

    async def start(self):
        self.discovery = await asyncio.start_server(self.serve_watch, "127.0.0.1", 0)
        self.discovery_port = self.discovery.sockets[0].getsockname()[1]
        with socket.create_server(("127.0.0.1", 0)) as free:
            self.port = free.getsockname()[1]
        path = self.folder / "config.json"
        path.write_text(json.dumps(self.configuration()))
        environment = {name: value for name, value in os.environ.items() if not name.startswith("BALANCER_")}
        with open(self.folder / "log", "wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "cranecleat"],
                cwd=ROOT,
                env={**environment, "BALANCER_CONFIG": str(path)},
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        deadline = time.monotonic() + READY_SECONDS
        while not (self.folder / "log").read_bytes().count(b"event=serving"):
            if time.monotonic() > deadline or self.process.poll() is not None:
                raise RuntimeError(f"the coordinator does not start: {(self.folder / 'log').read_text()[-300:]}")
            await asyncio.sleep(0.02)

    def configuration(self):
        example = json.loads((ROOT / "examples" / "config.json").read_text())
        example["settings"]["specifics"]["proxyCount"] = PROXIES
        backends = [
            {"uid": f"s-{b}", "az": "a", "model": "standard", "state": "active", "capacity_hint": 1.0, "boot_ms": 0}
            for b in range(BACKENDS)
        ]
        return {
            **example,
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{self.discovery_port}",
            "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 1024},
            "known": {"rev": 1, "all": True, "targets": backends},
            "settings": {**example["settings"], "localities": ["a", "b"]},
        }

    async def serve_watch(self, reader, writer):
        """Answers a watch with heartbeats alone, as the list does not change."""
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            while True:
                writer.write(b"1\r\n\n\r\n")
                await writer.drain()
                await asyncio.sleep(1.0)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            writer.transport.abort()

    def memory_mb(self, field):
        """A figure of the process's memory: VmRSS now, VmHWM at its peak."""
        if self.process.poll() is not None:
            return float("nan")
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        return int(next(line for line in status.splitlines() if line.startswith(field)).split()[1]) / 1024

    def stop(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


# What other peers see meanwhile


class JoinedProbe(asyncio.Protocol):
    """A joined proxy that sends heartbeats at an even pace and notes how long each answer takes, in seconds."""

    def __init__(self):
        self.sent, self.times, self.rest, self.lost = [], [], b"", False

    def connection_made(self, transport):
        self.transport = transport
        transport.write(ATTACH % PROBE_PROXY)

    def data_received(self, data):
        *lines, self.rest = (self.rest + data).split(b"\r\n")
        for _ in range(lines.count(b"hb_ok")):
            self.times.append(time.monotonic() - self.sent.pop(0))

    def connection_lost(self, failure):
        self.lost = True

    async def run(self):
        while not self.lost:
            self.sent.append(time.monotonic())
            self.transport.write(b"hb\r\n")
            await asyncio.sleep(PROBE_INTERVAL)

    def waiting(self):
        """Seconds for which unanswered heartbeats have waited by now."""
        return [time.monotonic() - sent for sent in self.sent]


async def probe_new_connections(port, times):
    """Opens a connection after the other, and notes how long the answer to its heartbeat takes, in seconds."""
    while True:
        began = time.monotonic()
        try:
            async with asyncio.timeout(GIVE_UP):
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(b"hb\r\n")
                answer = await reader.readline()
                writer.close()
            times.append(time.monotonic() - began if answer == b"hb_ok\r\n" else GIVE_UP)
        except (OSError, TimeoutError):
            times.append(GIVE_UP)
        await asyncio.sleep(CONNECT_INTERVAL)


@dataclass(frozen=True, slots=True)
class Result:
    """What one load did. Times are in milliseconds, memory in MiB."""

    load: str
    picture: str
    memory_before: float
    memory_peak: float
    joined_median: float
    joined_longest: float
    new_median: float
    new_longest: float
    ended: bool  # whether the coordinator's process, or the measured proxy's stream, has ended

    def missed(self):
        """The targets that were missed, in words."""
        found = []
        if not self.memory_peak <= TARGETS["memory_mb"]:
            found.append(f"{self.memory_peak:.1f} MiB")
        if max(self.joined_longest, self.new_longest) > TARGETS["answer_ms"]:
            found.append(f"{max(self.joined_longest, self.new_longest):.0f} ms")
        return found + ["it ended"] * self.ended


async def measure(name, seconds):
    """Runs one load against a new coordinator."""
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(folder)
        try:
            await deployment.start()
            loop = asyncio.get_running_loop()
            _, joined = await loop.create_connection(JoinedProbe, "127.0.0.1", deployment.port)
            new_times = []
            tasks = [
                asyncio.ensure_future(joined.run()),
                asyncio.ensure_future(probe_new_connections(deployment.port, new_times)),
            ]
            await asyncio.sleep(1.0)
            before = deployment.memory_mb("VmRSS")
            command = [sys.executable, "-m", "benchmarks.peers", "--load", name]
            command += ["--port", str(deployment.port), "--seconds", str(seconds)]
            load = await asyncio.create_subprocess_exec(*command, cwd=ROOT)
            code = await asyncio.wait_for(load.wait(), seconds + 60)
            if code:
                print(f"{name}: the load ended with {code}", file=sys.stderr)
            await asyncio.sleep(0.5)
            peak, ended = deployment.memory_mb("VmHWM"), deployment.process.poll() is not None or joined.lost
            joined_times = sorted([*joined.times, *joined.waiting()])
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            joined.transport.abort()
            new_times.sort()
            if os.environ.get("PEERS_LOG"):
                print((Path(folder) / "log").read_text()[-2000:], file=sys.stderr)
            return Result(
                name,
                LOADS[name][0],
                round(before, 1),
                round(peak, 1),
                *(
                    round(1000 * value, 1)
                    for times in (joined_times, new_times)
                    for value in (times[len(times) // 2], times[-1])
                ),
                ended,
            )
        finally:
            deployment.stop()


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("loads", nargs="*", metavar="LOAD", help="; ".join(LOADS))
    parser.add_argument("--quick", action="store_true", help="two seconds for each load instead of eight")
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--load", choices=LOADS, help=argparse.SUPPRESS)
    parser.add_argument("--port", type=int, help=argparse.SUPPRESS)
    parser.add_argument("--seconds", type=float, help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.load:
        LOADS[options.load][1](("127.0.0.1", options.port), options.seconds)
        return 0
    seconds = 2.0 if options.quick else 8.0
    results = [asyncio.run(measure(name, seconds)) for name in options.loads or LOADS]
    if options.json:
        print(json.dumps([{**asdict(result), "missed": result.missed()} for result in results], indent=1))
    else:
        print("| load | picture | MiB before, peak | joined peer: median, longest ms | new connection | missed |")
        print("| --- | --- | --- | --- | --- | --- |")
        for one in results:
            print(
                f"| {one.load} | {one.picture} | {one.memory_before}, {one.memory_peak} | {one.joined_median}, "
                f"{one.joined_longest} | {one.new_median}, {one.new_longest} | {', '.join(one.missed()) or '-'} |"
            )
    return int(any(result.missed() for result in results))


if __name__ == "__main__":
    sys.exit(main())
