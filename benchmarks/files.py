"""Measures the files transport: atomic replacements under readers in other processes, the time from a decision to its
acknowledgement beside that of streams, bytes written per change, a restart, and the same simulated days on streams, on
files, and with a change from streams to files and back.

    python -m benchmarks.files [--quick] [--json]

The exit code is 1 where a target is missed. Days are of simulated servers. Times depend on the machine: compare only
those of one run.
"""

import json
import multiprocessing
import os
import selectors
import socket
import statistics
import sys
import tempfile
import time
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from cranecleat.decoding import IndexMap
from cranecleat.files.disk import REPORTS, Disk, FolderLock, apply_step
from cranecleat.files.follow import Follower
from cranecleat.files.format import Header, Orders, Report, read_report, write_body, write_orders
from cranecleat.files.ledger import Ledger
from cranecleat.files.recover import scan_folder
from cranecleat.memory.streams import Streams
from cranecleat.rehearsal.day import Day, rolling_release

ROUTES = ("read", "new-address")
TABLE_LINES = 30
TARGETS = {
    "swaps": 20_000,  # file replacements, at least
    "bytes": 0.1,  # bytes written over those of a whole copy for each proxy, less than
    "service": -0.02,  # difference of the service from that on streams, at least
}
READER_POLL_SECONDS = 0.05  # a reader's usual interval
COORDINATOR_POLL_SECONDS = 0.1


class Publisher:
    """A coordinator's side of the folder: the ledger, the disk and the lock."""

    def __init__(self, folder, proxies, sync="none"):
        self.disk = Disk(folder, sync)
        self.disk.prepare()
        self.lock = FolderLock(self.disk, "bench", 1)
        found = scan_folder(self.disk, sweep=True)
        self.names = IndexMap()
        for b in range(TABLE_LINES):
            self.names(f"s-{b:08x}")
        self.ledger = Ledger(self.names, ROUTES, self.lock.fence, 1, found.generation)
        self.ledger.bodies = found.bodies
        for p in range(proxies):
            self.ledger.join(p)
            for route in range(2):
                self.ledger.bind(p, route, (route,))
        self.set_state(0)

    def set_state(self, n):
        """Sets state `n`: every weight of both tables tells the state, and one backend is withdrawn.

        States repeat after 9,000, because a number in a file has six digits.
        """
        for route in range(2):
            for b in range(TABLE_LINES):
                self.ledger.set_weight(route, b, float(n % 9000 * 100 + b + 1))
        for b in range(TABLE_LINES):
            self.ledger.withdraw(b, b == n % 9000 % TABLE_LINES)

    def publish(self):
        for step in self.ledger.steps():
            apply_step(self.disk, step)
            self.ledger.step_done(step)
        for step in self.ledger.publication_done(0):
            apply_step(self.disk, step)


def read_continuously(folder, proxy, kept, stop, results):
    """Runs one reader in a process of its own, which polls as fast as it can and checks every state that it sees."""
    follower = Follower(folder, proxy, kept)
    retried = []  # calls that the reader was ordered to retry
    torn = 0  # states in which the files did not fit together
    gaps = 0  # polls without a backend to pick, after the first state
    states_seen = set()
    polls = 0
    while not stop.is_set():
        retried += [order.call for order in follower.poll()]
        polls += 1
        weights = follower.view.in_force.weights
        if not weights:
            gaps += bool(states_seen)
            continue
        first = weights["read"][f"s-{0:08x}"]
        n = round((first - 1) / 100)
        consistent = all(weights[route] == {f"s-{b:08x}": first + b for b in range(TABLE_LINES)} for route in ROUTES)
        torn += not (consistent and follower.view.in_force.withdrawn == {f"s-{n % TABLE_LINES:08x}"})
        gaps += not follower.view.pick_from("new-address")
        states_seen.add(n)
    results.put((proxy, retried, torn, gaps, len(states_seen), polls))


def measure_swaps(folder, publications, readers=3):
    """Publishes under readers, with an order to retry a call in every fiftieth publication."""
    publisher = Publisher(folder / "d", readers)
    stop, results = multiprocessing.Event(), multiprocessing.Queue()
    publisher.publish()
    processes = [
        multiprocessing.Process(target=read_continuously, args=(folder / "d", p, folder / f"kept{p}", stop, results))
        for p in range(readers)
    ]
    for process in processes:
        process.start()
    ordered, begun = [], time.perf_counter()
    for n in range(1, publications + 1):
        publisher.set_state(n)
        if n % 50 == 0:
            call = f"new-address {n}"
            if publisher.ledger.order_retry(n // 50 % readers, call, "refused") is not None:
                ordered.append(call)
        for p in range(readers):  # Acknowledges as readers would, here 40 publications late.
            if n % 20 == 0:
                state = publisher.ledger.proxies[p]
                publisher.ledger.acknowledge(
                    p, max(publisher.ledger.published.header.generation - 40, 0), state.generation, 0, 0
                )
        publisher.publish()
        if n % 400 == 0:  # The readers have taken the orders by now; drops these to make room for more.
            time.sleep(0.05)
            for state in publisher.ledger.proxies.values():
                state.retries, state.dirty = [], True
    duration = time.perf_counter() - begun
    time.sleep(0.2)
    stop.set()
    by_reader = [results.get(timeout=20) for _ in processes]
    for process in processes:
        process.join()
    retried = [call for _, calls, *_ in by_reader for call in calls]
    return {
        "swaps": publisher.ledger.counters["swaps"],
        "swaps_a_second": round(publisher.ledger.counters["swaps"] / duration),
        "torn": sum(torn for _, _, torn, *_ in by_reader),
        "gaps": sum(gaps for _, _, _, gaps, *_ in by_reader),
        "states_seen": [seen for *_, seen, _ in by_reader],
        "looks": sum(polls for *_, polls in by_reader),
        "ordered_again": len(ordered),
        "acted": len(retried),
        "acted_twice": len(retried) - len(set(retried)),
    }


def serve_files(folder, proxies, stop):
    """Runs all proxies of one measurement: each polls at its interval and reports what it has applied."""
    followers = [Follower(folder, p) for p in range(proxies)]
    reports = [Report(f"p{p}", "a", 1, 0, 50) for p in range(proxies)]
    due = [p / proxies * READER_POLL_SECONDS for p in range(proxies)]
    begun = time.monotonic()
    while not stop.is_set():
        now = time.monotonic() - begun
        for p in range(proxies):
            if due[p] <= now:
                due[p] += READER_POLL_SECONDS * max(1, int((now - due[p]) / READER_POLL_SECONDS) + 1)
                before = followers[p].view.in_force.applied
                followers[p].poll()
                if followers[p].view.in_force.applied != before:
                    reports[p].beat += 1
                    followers[p].report(reports[p])
        time.sleep(0.001)


def measure_acknowledged_files(folder, proxies, rounds):
    """Seconds from each decision to its acknowledgement by each proxy, through files."""
    publisher, stop = Publisher(folder, proxies), multiprocessing.Event()
    publisher.publish()
    proxy_process = multiprocessing.Process(target=serve_files, args=(folder, proxies, stop))
    proxy_process.start()
    durations = []
    versions = {}  # report's file name -> version last read
    ack_number = 0

    def wait_for_all(since):
        remaining = set(range(proxies))
        while remaining:
            time.sleep(max(COORDINATOR_POLL_SECONDS - (time.perf_counter() - since) % COORDINATOR_POLL_SECONDS, 0.001))
            for name, version in publisher.disk.list_files(REPORTS):
                if versions.get(name) != version:
                    versions[name] = version
                    report = read_report(publisher.disk.read(REPORTS, name))
                    p = int(report.who[1:])
                    if ack_number in publisher.ledger.acknowledge(p, *report.applied, 0, 0) and since:
                        durations.append(time.perf_counter() - since)
                    if not any(p in waiting for _, waiting in publisher.ledger.unacknowledged):
                        remaining.discard(p)

    for n in range(rounds + 1):
        ack_number += 1
        publisher.ledger.withdraw(n % TABLE_LINES, n % 2 == 0)
        since = time.perf_counter()
        publisher.ledger.request_ack(ack_number)
        publisher.publish()
        wait_for_all(since)
        if n == 0:
            durations.clear()  # The first publication is read by readers that have just started.
    stop.set()
    proxy_process.join()
    publisher.lock.release()
    return durations


def serve_streams(address, proxies):
    """Runs all proxies of one measurement on sockets: each answers every request for an acknowledgement."""
    selector, connections = selectors.DefaultSelector(), []
    for p in range(proxies):
        connection = socket.create_connection(address)
        connection.sendall(f"{p}\n".encode())
        connections.append(connection)
        selector.register(connection, selectors.EVENT_READ, [b""])
    while connections:
        for key, _ in selector.select():
            data = key.fileobj.recv(65536)
            if not data:
                return
            key.data[0] += data
            while b"\r\n" in key.data[0]:
                line, _, key.data[0] = key.data[0].partition(b"\r\n")
                if b"stamp=" in line:
                    key.fileobj.sendall(b"x" + line.rpartition(b"stamp=")[2] + b"\n")


def measure_acknowledged_streams(proxies, rounds):
    """Seconds from each decision to its acknowledgement by each proxy, through streams on sockets."""
    listener = socket.create_server(("127.0.0.1", 0), backlog=1100)
    proxy_process = multiprocessing.Process(target=serve_streams, args=(listener.getsockname(), proxies))
    proxy_process.start()
    names = IndexMap()
    for b in range(TABLE_LINES):
        names(f"s-{b:08x}")
    streams = Streams(names, ROUTES, None, None, None)
    selector = selectors.DefaultSelector()
    durations = []
    for _ in range(proxies):
        connection, _ = listener.accept()
        number = int(connection.makefile().readline())
        selector.register(connection, selectors.EVENT_READ)
        streams.join(number, connection, 20.0, True)
    for route in range(2):
        for b in range(TABLE_LINES):
            streams.set_weight(route, b, 1.0)
        for p in range(proxies):
            streams.bind(p, route, (route,))
    for n in range(rounds + 1):
        streams.withdraw(n % TABLE_LINES, n % 2 == 0)
        since = time.perf_counter()
        streams.request_ack(n + 1)
        remaining = 0
        for connection, message in streams.messages():
            connection.sendall(message)
            remaining += 1
        while remaining:
            for key, _ in selector.select():
                for _ in range(key.fileobj.recv(4096).count(b"\n")):
                    remaining -= 1
                    if n:
                        durations.append(time.perf_counter() - since)
    for key in list(selector.get_map().values()):
        key.fileobj.close()
    listener.close()
    proxy_process.join()
    return durations


def measure_bytes_per_change(folder, proxies=400):
    """Bytes written when one line of a shared table changes, beside those of a whole copy for each proxy."""
    publisher = Publisher(folder, proxies)
    publisher.publish()
    before, count = publisher.ledger.counters["bytes"], 20
    for n in range(count):
        publisher.ledger.set_weight(0, n % TABLE_LINES, 0.5 + n)
        publisher.publish()
    written = (publisher.ledger.counters["bytes"] - before) / count
    body = len(encode_table(publisher))
    orders = len(write_orders(Orders(Header(1, 1, 1, 1), 1, True, 1, dict.fromkeys(ROUTES, 0))))
    publisher.lock.release()
    return {
        "written": round(written),
        "naive": proxies * (2 * body + orders),
        "part": round(written / (proxies * (2 * body + orders)), 4),
    }


def encode_table(publisher):
    from cranecleat.files.format import Body

    return write_body(Body(tuple((publisher.names.ids[b], w) for b, w in publisher.ledger.tables[0].items())))[0]


def measure_restart(folder, proxies=1000):
    """Seconds until a restarted coordinator has read the folder, and until it has published."""
    publisher = Publisher(folder, proxies)
    publisher.publish()
    publisher.lock.release()
    begun = time.perf_counter()
    restarted = Publisher(folder, proxies)
    read_time = time.perf_counter() - begun
    restarted.publish()
    serving_time = time.perf_counter() - begun
    restarted.lock.release()
    return {"taken_up_s": round(read_time, 3), "serving_s": round(serving_time, 3)}


def run_day(job):
    seed, settings = job
    return Day(rolling_release(seed, **settings)).run()


def measure_days(pool, seeds):
    """The same days on streams, on files, and with a change from streams to files and back."""
    kinds = {"streams": {}, "files": {"files": True}, "over_and_back": {"streams_fail": True}}
    days = list(pool.map(run_day, [(seed, settings) for seed in seeds for settings in kinds.values()]))
    results = {}
    for i, kind in enumerate(kinds):
        of_kind = days[i :: len(kinds)]
        gain = [
            one["service"] - on_streams["service"] for one, on_streams in zip(of_kind, days[:: len(kinds)], strict=True)
        ]
        results[kind] = {
            "service": round(statistics.mean(one["service"] for one in of_kind), 4),
            "beside_streams": round(statistics.mean(gain), 4),
            "error": round(statistics.stdev(gain) / len(gain) ** 0.5, 4) if i else 0.0,
            "broken": [rule for one in of_kind for rule in one["broken"]],
        }
    return results


def percentiles(durations):
    durations = sorted(durations)
    return {
        "median_ms": round(durations[len(durations) // 2] * 1000, 1),
        "p99_ms": round(durations[int(len(durations) * 0.99)] * 1000, 1),
    }


def main(arguments):
    quick, results, missed = "--quick" in arguments, {}, []

    def require(holds, text):
        if not holds:
            missed.append(text)

    def progress(text):
        print(text, file=sys.stderr)

    with tempfile.TemporaryDirectory(dir=os.environ.get("TMPDIR")) as folder:
        folder = Path(folder)
        progress("file replacements under readers ...")
        (folder / "swaps").mkdir()
        results["swaps"] = result = measure_swaps(folder / "swaps", 10_500 if quick else 60_000)
        require(result["swaps"] >= TARGETS["swaps"], f"only {result['swaps']} swaps")
        require(
            not (result["torn"] or result["gaps"] or result["acted_twice"]),
            f"torn states, gaps or calls retried twice: {result}",
        )
        require(
            result["acted"] > 0 and min(result["states_seen"]) > 50, f"readers saw too few states or orders: {result}"
        )
        for proxies in (10, 100, 1000):
            progress(f"from decision to acknowledgement, {proxies} proxies ...")
            rounds = (8 if quick else 40) if proxies < 1000 else (3 if quick else 20)
            results[f"acknowledged_{proxies}"] = {
                "files": percentiles(measure_acknowledged_files(folder / f"ack{proxies}", proxies, rounds)),
                "streams": percentiles(measure_acknowledged_streams(proxies, rounds)),
            }
        progress("bytes per change and restart ...")
        results["bytes_a_change_400"] = measure_bytes_per_change(folder / "bytes")
        require(results["bytes_a_change_400"]["part"] < TARGETS["bytes"], f"bytes {results['bytes_a_change_400']}")
        results["restart_1000"] = measure_restart(folder / "restart")
    progress("days on streams, on files, and from streams to files and back ...")
    with ProcessPoolExecutor() as pool:
        results["days"] = measure_days(pool, range(1, 5) if quick else range(1, 17))
    for kind, result in results["days"].items():
        require(result["beside_streams"] >= TARGETS["service"], f"{kind}: service {result['beside_streams']}")
        require(not result["broken"], f"{kind}: {result['broken'][:2]}")
    results["missed"] = missed
    if "--json" in arguments:
        print(json.dumps(results))
    else:
        for name, value in results.items():
            print(f"{name:22} {value}")
    return bool(missed)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
