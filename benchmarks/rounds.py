"""Rounds of the planner and of `Streams` at size: CPU a cycle and the longest round, this version beside an earlier
one.

    python -m benchmarks.rounds [--quick] [--json]

All lines of all proxies and backends are reported in each cycle of 1 s, spread over 50 rounds, and all marks are
acknowledged. The earlier version (51f187c) is taken from the repository's history; without one only this version is
measured. Times are of this machine: what counts are the ratios of one run and the growth's exponent. Exit code 1
where a stated aim is missed.
"""

import functools
import gc
import importlib
import json
import math
import operator
import random
import subprocess
import sys
import tempfile
import time
import tracemalloc
from pathlib import Path

ROOT = Path(__file__).parent.parent
EARLIER = "51f187c"
SECOND, ROUNDS, ZONES = 1_000_000, 50, 3
SIZES = ((30, 60), (30, 150), (120, 640), (300, 1000), (1000, 5000))
AIMS = {"part": 0.1, "cpu": 0.6, "longest": 0.030, "exponent": 1.1, "lines": 40_000}

# What this version calls by the name on the left, the earlier one calls by the name on the right.
EARLIER_CLASSES = {"IndexMap": "Names"}
EARLIER_EVENTS = {
    "acknowledged": "applied",
    "attempts_reported": "met",
    "backends_listed": "listed",
    "demand_reported": "came",
    "proxy_joined": "joined",
    "proxy_left": "left",
}
EARLIER_SETTINGS = {
    "channel_lines_per_second": "pace",
    "cold_start_capacity": "cold_from",
    "message_limit": "messages_most",
    "message_limit_window": "messages_over",
    "message_overhead": "head",
    "must_watch": "must_ask",
    "warm_up_time": "cold",
    "watch_timeout": "ask_within",
}
EARLIER_ATTRIBUTES = {
    "Proxy": {"bound_tables": "bound"},
    "Streams": {"ack_number": "stamp", "set_timer": "wake"},
}


def version(path):
    """The modules of one version, under the name `cranecleat` of their own for as long as they are imported."""
    kept = {name: module for name, module in sys.modules.items() if name.split(".")[0] == "cranecleat"}
    for name in kept:
        del sys.modules[name]
    sys.path.insert(0, str(path))
    try:
        decoding = "decoding" if (Path(path) / "cranecleat" / "decoding.py").exists() else "door"  # its name before
        found = [
            importlib.import_module(f"cranecleat.{name}")
            for name in (decoding, "interface", "policy", "memory.streams")
        ]
    finally:
        sys.path.remove(str(path))
        for name in [name for name in sys.modules if name.split(".")[0] == "cranecleat"]:
            del sys.modules[name]
        sys.modules.update(kept)
    return found


def earlier(folder):
    """The earlier version's package in a folder, or None without its history."""
    done = subprocess.run(["git", "-C", str(ROOT), "archive", EARLIER, "cranecleat"], capture_output=True)
    if done.returncode:
        return None
    subprocess.run(["tar", "-x", "-C", str(folder)], input=done.stdout, check=True)
    return with_present_names(version(folder))


def with_present_names(modules):
    """The modules of the earlier version, which answer to the names of this one as far as the driver uses them."""
    decoding, interface, policy, streams = modules
    for present, name in EARLIER_CLASSES.items():
        setattr(decoding, present, getattr(decoding, name))
    for present, name in EARLIER_EVENTS.items():
        setattr(policy.Planner, present, getattr(policy.Planner, name))
    bootstrap = interface.Bootstrap
    interface.Bootstrap = lambda **settings: bootstrap(
        **{EARLIER_SETTINGS.get(present, present): value for present, value in settings.items()}
    )
    for owner in (policy.Proxy, streams.Streams):
        for present, name in EARLIER_ATTRIBUTES[owner.__name__].items():
            read, write = operator.attrgetter(name), functools.partial(set_attribute, name)
            setattr(owner, present, property(read, write))
    return modules


def set_attribute(name, instance, value):
    setattr(instance, name, value)


class Fleet:
    """One coordinator with all proxies, driven call by call."""

    def __init__(self, modules, backends, proxies, seed=1):
        decoding, interface, policy, streams = modules
        routes = tuple(interface.Route(worth, SECOND, False, None, None) for worth in (3.0, 2.0, 1.0))
        boot = interface.Bootstrap(
            routes=routes,
            zones=ZONES,
            coordinators=1,
            must_watch=False,
            watch_timeout=10 * SECOND,
            admission="fraction",
            cycle=SECOND,
            backlog=100 * proxies,
            channel_lines_per_second=100.0 * proxies,
            message_overhead=10.0,
            message_limit=0,
            message_limit_window=10 * SECOND,
            grace=3 * SECOND,
            warm_up_time=10 * SECOND,
            cold_start_capacity=0.2,
        )
        self.names, self.chance, self.now = decoding.IndexMap(), random.Random(seed), 100 * SECOND
        self.backends = [self.names(f"s-{b:08x}") for b in range(backends)]
        self.cores = {b: self.chance.choice((2, 4)) for b in self.backends}
        self.proxies = list(range(proxies))
        self.streams = streams.Streams(self.names, ("a", "b", "c"), None, lambda: None, lambda text: None)
        self.streams.set_timer = lambda *_: None
        self.planner = policy.Planner(boot, 7)
        self.times, self.acks, self.messages = [], [], 0

    def play(self, *calls, after=0.0):
        self.now += round(after * SECOND)
        calls, self.acks = [*self.acks, *calls], []
        begun = time.perf_counter()
        self.planner.round(self.now, calls, self.streams)
        mark = self.streams.ack_number
        sent = self.streams.messages()
        self.times.append(time.perf_counter() - begun)
        self.messages += len(sent)
        if mark is not None:
            self.acks = [("acknowledged", connection, mark) for connection, _ in sent]

    def listed(self, *entries, how="changes"):
        return ("backends_listed", how, [(b, state, b % ZONES, 0, float(self.cores[b]), 0) for b, state in entries])

    def join(self, p):
        self.streams.join(p, p, 10.0, True)
        return ("proxy_joined", p, p % ZONES, 10.0, True, 0)

    def leave(self, p):
        self.streams.leave(p, p)
        return ("proxy_left", p)

    def start(self):
        self.play(self.listed(*((b, "running") for b in self.backends), how="whole"))
        self.play(*(self.join(p) for p in self.proxies))

    def reports(self):
        calls = 10.0 * len(self.proxies) / len(self.backends)
        out = [
            ("attempts_reported", b, zone, max(round(calls / ZONES * self.cores[b] / 3), 1), 0, 100_000, SECOND, None)
            for b in self.backends
            for zone in range(ZONES)
        ]
        out += [("demand_reported", p, route, 3 + route, SECOND) for p in self.proxies for route in range(3)]
        self.chance.shuffle(out)
        return out

    def cycle(self, *more):
        """One second: reports in fifty rounds, `more` among the first of them."""
        told = self.reports()
        step = -(-len(told) // ROUNDS)
        for i in range(ROUNDS):
            self.play(*(more if i == 3 else ()), *told[i * step : (i + 1) * step], after=1 / ROUNDS)

    def steady(self, cycles):
        """CPU a cycle and the longest round, once everybody is bound."""
        for _ in range(12):
            self.cycle()
            if all(len(p.bound_tables) == 3 for p in self.planner.proxies.values()):
                break
        self.times.clear()
        for _ in range(cycles):
            self.cycle()
        return sum(self.times) / cycles, max(self.times)

    def storm(self):
        """All streams break and come back at once, then a third of the backends drains: CPU of three cycles,
        longest."""
        self.times.clear()
        self.play(*(self.leave(p) for p in self.proxies), after=0.1)
        self.play(*(self.join(p) for p in self.proxies), after=0.1)
        for i in range(3):
            self.cycle(self.listed(*((b, "draining") for b in self.backends[i::9])))
        return sum(self.times) / 3, max(self.times)


def measure(modules, size, cycles, storm=True):
    fleet = Fleet(modules, *size)
    fleet.start()
    steady = fleet.steady(cycles)
    told = {"cpu_s": round(steady[0], 4), "longest_ms": round(steady[1] * 1000, 2)}
    if storm:
        stormy = fleet.storm()
        told.update(storm_cpu_s=round(stormy[0], 4), storm_longest_ms=round(stormy[1] * 1000, 2))
    return told


def lines_a_second(lines, decoding, repeats):
    """Report lines split, parsed, checked and turned into calls, a second, on one core."""
    names = decoding.IndexMap()
    for b in range(120):
        names(f"s-{b:08x}")
    reader = lines.MessageDecoder({"a": 0}, {"r0": 0}, 640, names, SECOND, 5 * SECOND)
    reader.typical_rate = 6400.0
    data = b"".join(
        f"upstream_stats locality=a endpoint=s-{b:08x} total=212 errors=3 rtt=41.7 interval=1000.0 "
        "metrics=utilization:0.61,throughput:21.0\r\n".encode()
        for b in range(120)
    )
    data += b"".join(
        f"client_stats node={p} route=r0 total=19 errors=0 interval=1000.0\r\n".encode() for p in range(640)
    )
    count, begun = 0, time.perf_counter()
    for _ in range(repeats):
        found, _ = lines.split_lines(data)
        for line in found:
            kind, values = lines.parse_line(line)
            getattr(reader, kind)(lines.Message(kind, values))
            count += 1
    return round(count / (time.perf_counter() - begun))


def held(modules):
    """Bytes that the planner and `Streams` keep for a proxy and for a backend, in steady service with three routes."""

    def whole(backends, proxies):
        gc.collect()
        tracemalloc.start()
        fleet = Fleet(modules, backends, proxies)
        fleet.start()
        for _ in range(12):
            fleet.cycle()
        fleet.times.clear()
        fleet.acks.clear()
        gc.collect()
        told = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        return told

    least, proxies, backends = whole(30, 100), whole(30, 400), whole(130, 100)
    return {"a_proxy": round((proxies - least) / 300), "a_backend": round((backends - least) / 100)}


def exponent(figures):
    """Of CPU a cycle over the number of lines, from the smallest to the largest fleet."""
    told = [
        (backends * ZONES + proxies * 3, figures[f"{backends}x{proxies}"]["cpu_s"])
        for backends, proxies in SIZES
        if f"{backends}x{proxies}" in figures
    ]
    return round(math.log(told[-1][1] / told[0][1]) / math.log(told[-1][0] / told[0][0]), 2)


def main(words):
    quick, missed = "--quick" in words, []
    figures = {"now": {}, "earlier": {}}
    with tempfile.TemporaryDirectory() as folder:
        before = earlier(folder)
        here = version(ROOT)
        for size in SIZES:
            name = f"{size[0]}x{size[1]}"
            print(f"{name} ...", file=sys.stderr)
            figures["now"][name] = measure(here, size, 2 if quick else 5, not quick or size < SIZES[-1])
            if before and size <= ((120, 640) if quick else (300, 1000)):
                figures["earlier"][name] = measure(before, size, 1 if quick else 3)
    from cranecleat import decoding
    from cranecleat.protocol import lines

    figures["lines_a_second"] = lines_a_second(lines, decoding, 10 if quick else 60)
    figures["bytes"] = held(here)
    if figures["lines_a_second"] < AIMS["lines"]:
        missed.append(f"{figures['lines_a_second']} lines a second")
    figures["exponent"] = exponent(figures["now"])
    if figures["earlier"]:
        figures["part_120x640"] = round(figures["now"]["120x640"]["cpu_s"] / figures["earlier"]["120x640"]["cpu_s"], 3)
        if figures["part_120x640"] > AIMS["part"]:
            missed.append(f"120x640: {figures['part_120x640']} of before")
    largest = figures["now"]["1000x5000"]
    if largest["cpu_s"] > AIMS["cpu"]:
        missed.append(f"1000x5000: {largest['cpu_s']} s a cycle")
    if largest["longest_ms"] > AIMS["longest"] * 1000:
        missed.append(f"1000x5000: longest round {largest['longest_ms']} ms")
    if figures["exponent"] > AIMS["exponent"]:
        missed.append(f"exponent {figures['exponent']}")
    figures["missed"] = missed
    if "--json" in words:
        print(json.dumps(figures))
    else:
        for name, told in (*figures["earlier"].items(), *figures["now"].items()):
            print(f"{name:10} {told}")
        print({key: value for key, value in figures.items() if key not in ("now", "earlier")})
    return bool(missed)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
