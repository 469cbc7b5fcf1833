"""The files transport measured: swaps under readers in other processes, time to acknowledged beside streams, bytes a
change, restart, and the same days on streams, on files and going over.

    python -m benchmarks.files [--quick] [--json]

Exit code 1 where a stated aim is missed. Days are of simulated servers; times are of this machine, and only their
ratios in one run say anything.
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
LINES = 30  # of a table
AIMS = {"swaps": 20_000, "bytes": 0.1, "service": -0.02}
READER_POLL, FRONT_POLL = 0.05, 0.1  # seconds: the reader's usual poll, the coordinator's


class Writer:
    def __init__(self, folder, proxies, sync="none"):
        self.disk = Disk(folder, sync)
        self.disk.prepare()
        self.lock = FolderLock(self.disk, "bench", 1)
        found, self.names = scan_folder(self.disk, sweep=True), IndexMap()
        for b in range(LINES):
            self.names(f"s-{b:08x}")
        self.ledger = Ledger(self.names, ROUTES, self.lock.fence, 1, found.generation)
        self.ledger.bodies = found.bodies
        for p in range(proxies):
            self.ledger.join(p)
            for route in range(2):
                self.ledger.bind(p, route, (route,))
        self.state(0)

    def state(self, n):
        """Weights that name the state in every line, in both tables, and one backend that is shut out with it; states
        come round after 9,000, as a figure in a file has six digits."""
        for route in range(2):
            for b in range(LINES):
                self.ledger.set_weight(route, b, float(n % 9000 * 100 + b + 1))
        for b in range(LINES):
            self.ledger.withdraw(b, b == n % 9000 % LINES)

    def publish(self):
        for step in self.ledger.steps():
            apply_step(self.disk, step)
            self.ledger.step_done(step)
        for step in self.ledger.publication_done(0):
            apply_step(self.disk, step)


def read_on(folder, proxy, kept, stop, answers):
    """One reader in a process of its own: looks as fast as it can and checks every state that it sees."""
    follower, acted, torn, gaps, seen, looks = Follower(folder, proxy, kept), [], 0, 0, set(), 0
    while not stop.is_set():
        acted += [order.call for order in follower.poll()]
        looks += 1
        lines = follower.view.in_force.weights
        if not lines:
            gaps += bool(seen)
            continue
        first = lines["read"][f"s-{0:08x}"]
        n = round((first - 1) / 100)
        whole = all(lines[route] == {f"s-{b:08x}": first + b for b in range(LINES)} for route in ROUTES)
        torn += not (whole and follower.view.in_force.withdrawn == {f"s-{n % LINES:08x}"})
        gaps += not follower.view.pick_from("new-address")
        seen.add(n)
    answers.put((proxy, acted, torn, gaps, len(seen), looks))


def swaps(folder, publications, readers=3):
    """Publications under readers; an order to try a call again every fifty."""
    writer, stop, answers = Writer(folder / "d", readers), multiprocessing.Event(), multiprocessing.Queue()
    writer.publish()
    going = [
        multiprocessing.Process(target=read_on, args=(folder / "d", p, folder / f"kept{p}", stop, answers))
        for p in range(readers)
    ]
    for process in going:
        process.start()
    ordered, begun = [], time.perf_counter()
    for n in range(1, publications + 1):
        writer.state(n)
        if n % 50 == 0:
            call = f"new-address {n}"
            if writer.ledger.order_retry(n // 50 % readers, call, "refused") is not None:
                ordered.append(call)
        for p in range(readers):  # what readers would report: everything, some publications late
            if n % 20 == 0:
                state = writer.ledger.proxies[p]
                writer.ledger.acknowledge(
                    p, max(writer.ledger.published.header.generation - 40, 0), state.generation, 0, 0
                )
        writer.publish()
        if n % 400 == 0:  # taken on by now; makes room for more
            time.sleep(0.05)
            for state in writer.ledger.proxies.values():
                state.retries, state.dirty = [], True
    took = time.perf_counter() - begun
    time.sleep(0.2)
    stop.set()
    told = [answers.get(timeout=20) for _ in going]
    for process in going:
        process.join()
    acted = [call for _, calls, *_ in told for call in calls]
    return {
        "swaps": writer.ledger.counters["swaps"],
        "swaps_a_second": round(writer.ledger.counters["swaps"] / took),
        "torn": sum(t for _, _, t, *_ in told),
        "gaps": sum(g for _, _, _, g, *_ in told),
        "states_seen": [seen for *_, seen, _ in told],
        "looks": sum(looks for *_, looks in told),
        "ordered_again": len(ordered),
        "acted": len(acted),
        "acted_twice": len(acted) - len(set(acted)),
    }


def serve_files(folder, proxies, stop):
    """All proxies of one measurement: each looks and reports at its poll."""
    followers = [Follower(folder, p) for p in range(proxies)]
    reports = [Report(f"p{p}", "a", 1, 0, 50) for p in range(proxies)]
    due = [p / proxies * READER_POLL for p in range(proxies)]
    begun = time.monotonic()
    while not stop.is_set():
        now = time.monotonic() - begun
        for p in range(proxies):
            if due[p] <= now:
                due[p] += READER_POLL * max(1, int((now - due[p]) / READER_POLL) + 1)
                before = followers[p].view.in_force.applied
                followers[p].poll()
                if followers[p].view.in_force.applied != before:
                    reports[p].beat += 1
                    followers[p].report(reports[p])
        time.sleep(0.001)


def to_acknowledged_files(folder, proxies, rounds):
    writer, stop = Writer(folder, proxies), multiprocessing.Event()
    writer.publish()
    other = multiprocessing.Process(target=serve_files, args=(folder, proxies, stop))
    other.start()
    took, versions, number = [], {}, 0

    def wait(since):
        left = set(range(proxies))
        while left:
            time.sleep(max(FRONT_POLL - (time.perf_counter() - since) % FRONT_POLL, 0.001))
            for called, version in writer.disk.list_files(REPORTS):
                if versions.get(called) != version:
                    versions[called] = version
                    report = read_report(writer.disk.read(REPORTS, called))
                    p = int(report.who[1:])
                    if number in writer.ledger.acknowledge(p, *report.applied, 0, 0) and since:
                        took.append(time.perf_counter() - since)
                    if not any(p in who for _, who in writer.ledger.unacknowledged):
                        left.discard(p)

    for n in range(rounds + 1):
        number += 1
        writer.ledger.withdraw(n % LINES, n % 2 == 0)
        since = time.perf_counter()
        writer.ledger.request_ack(number)
        writer.publish()
        wait(since)
        if n == 0:
            took.clear()  # the first look of all
    stop.set()
    other.join()
    writer.lock.release()
    return took


def serve_streams(address, proxies):
    """All proxies of one measurement, on sockets: each answers every mark."""
    ready, open_ones = selectors.DefaultSelector(), []
    for p in range(proxies):
        one = socket.create_connection(address)
        one.sendall(f"{p}\n".encode())
        open_ones.append(one)
        ready.register(one, selectors.EVENT_READ, [b""])
    while open_ones:
        for key, _ in ready.select():
            data = key.fileobj.recv(65536)
            if not data:
                return
            key.data[0] += data
            while b"\r\n" in key.data[0]:
                line, _, key.data[0] = key.data[0].partition(b"\r\n")
                if b"stamp=" in line:
                    key.fileobj.sendall(b"x" + line.rpartition(b"stamp=")[2] + b"\n")


def to_acknowledged_streams(proxies, rounds):
    listening = socket.create_server(("127.0.0.1", 0), backlog=1100)
    other = multiprocessing.Process(target=serve_streams, args=(listening.getsockname(), proxies))
    other.start()
    names = IndexMap()
    for b in range(LINES):
        names(f"s-{b:08x}")
    streams, ready, took = Streams(names, ROUTES, None, None, None), selectors.DefaultSelector(), []
    for _ in range(proxies):
        one, _ = listening.accept()
        number = int(one.makefile().readline())
        ready.register(one, selectors.EVENT_READ)
        streams.join(number, one, 20.0, True)
    for route in range(2):
        for b in range(LINES):
            streams.set_weight(route, b, 1.0)
        for p in range(proxies):
            streams.bind(p, route, (route,))
    for n in range(rounds + 1):
        streams.withdraw(n % LINES, n % 2 == 0)
        since = time.perf_counter()
        streams.request_ack(n + 1)
        left = 0
        for one, message in streams.messages():
            one.sendall(message)
            left += 1
        while left:
            for key, _ in ready.select():
                for _ in range(key.fileobj.recv(4096).count(b"\n")):
                    left -= 1
                    if n:
                        took.append(time.perf_counter() - since)
    for key in list(ready.get_map().values()):
        key.fileobj.close()
    listening.close()
    other.join()
    return took


def bytes_a_change(folder, proxies=400):
    """One line of a shared table changes: what is written, beside a copy of the whole for each proxy."""
    writer = Writer(folder, proxies)
    writer.publish()
    before, count = writer.ledger.counters["bytes"], 20
    for n in range(count):
        writer.ledger.set_weight(0, n % LINES, 0.5 + n)
        writer.publish()
    written = (writer.ledger.counters["bytes"] - before) / count
    body = len(write_body_of(writer))
    orders = len(write_orders(Orders(Header(1, 1, 1, 1), 1, True, 1, dict.fromkeys(ROUTES, 0))))
    writer.lock.release()
    return {
        "written": round(written),
        "naive": proxies * (2 * body + orders),
        "part": round(written / (proxies * (2 * body + orders)), 4),
    }


def write_body_of(writer):
    from cranecleat.files.format import Body

    return write_body(Body(tuple((writer.names.ids[b], w) for b, w in writer.ledger.tables[0].items())))[0]


def restart(folder, proxies=1000):
    writer = Writer(folder, proxies)
    writer.publish()
    writer.lock.release()
    begun = time.perf_counter()
    after = Writer(folder, proxies)
    found = time.perf_counter() - begun
    after.publish()
    whole = time.perf_counter() - begun
    after.lock.release()
    return {"taken_up_s": round(found, 3), "serving_s": round(whole, 3)}


def day(job):
    seed, more = job
    return Day(rolling_release(seed, **more)).run()


def days(pool, seeds):
    kinds = {"streams": {}, "files": {"files": True}, "over_and_back": {"streams_fail": True}}
    found = list(pool.map(day, [(seed, more) for seed in seeds for more in kinds.values()]))
    told = {}
    for i, kind in enumerate(kinds):
        mine = found[i :: len(kinds)]
        gain = [one["service"] - plain["service"] for one, plain in zip(mine, found[:: len(kinds)], strict=True)]
        told[kind] = {
            "service": round(statistics.mean(one["service"] for one in mine), 4),
            "beside_streams": round(statistics.mean(gain), 4),
            "error": round(statistics.stdev(gain) / len(gain) ** 0.5, 4) if i else 0.0,
            "broken": [rule for one in mine for rule in one["broken"]],
        }
    return told


def spread(values):
    values = sorted(values)
    return {
        "median_ms": round(values[len(values) // 2] * 1000, 1),
        "p99_ms": round(values[int(len(values) * 0.99)] * 1000, 1),
    }


def main(words):
    quick, figures, missed = "--quick" in words, {}, []

    def aim(holds, text):
        if not holds:
            missed.append(text)

    def say(text):
        print(text, file=sys.stderr)

    with tempfile.TemporaryDirectory(dir=os.environ.get("TMPDIR")) as place:
        place = Path(place)
        say("swaps under readers ...")
        (place / "swaps").mkdir()
        figures["swaps"] = told = swaps(place / "swaps", 10_500 if quick else 60_000)
        aim(told["swaps"] >= AIMS["swaps"], f"only {told['swaps']} swaps")
        aim(not (told["torn"] or told["gaps"] or told["acted_twice"]), f"torn, gaps or twice: {told}")
        aim(told["acted"] > 0 and min(told["states_seen"]) > 50, f"readers saw too little: {told}")
        for proxies in (10, 100, 1000):
            say(f"decision to acknowledged, {proxies} proxies ...")
            rounds = (8 if quick else 40) if proxies < 1000 else (3 if quick else 20)
            figures[f"acknowledged_{proxies}"] = {
                "files": spread(to_acknowledged_files(place / f"ack{proxies}", proxies, rounds)),
                "streams": spread(to_acknowledged_streams(proxies, rounds)),
            }
        say("bytes and restart ...")
        figures["bytes_a_change_400"] = bytes_a_change(place / "bytes")
        aim(figures["bytes_a_change_400"]["part"] < AIMS["bytes"], f"bytes {figures['bytes_a_change_400']}")
        figures["restart_1000"] = restart(place / "restart")
    say("days on streams, on files, and over and back ...")
    with ProcessPoolExecutor() as pool:
        figures["days"] = days(pool, range(1, 5) if quick else range(1, 17))
    for kind, told in figures["days"].items():
        aim(told["beside_streams"] >= AIMS["service"], f"{kind}: service {told['beside_streams']}")
        aim(not told["broken"], f"{kind}: {told['broken'][:2]}")
    figures["missed"] = missed
    if "--json" in words:
        print(json.dumps(figures))
    else:
        for name, value in figures.items():
            print(f"{name:22} {value}")
    return bool(missed)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
