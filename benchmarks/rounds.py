"""Measures rounds of the planner and of `Streams` at several fleet sizes: CPU time per cycle and the longest round, of
this version and of an earlier one.

    python -m benchmarks.rounds [--quick] [--json]

All lines of all proxies and backends are reported in each cycle of 1 s, spread over 50 rounds, and all messages are
acknowledged. The earlier version (51f187c) is taken from the repository's history; without the history only this
version is measured. Times depend on the machine: compare the ratios of one run and the exponent of the growth. The
exit code is 1 where a target is missed.
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
SECOND = 1_000_000  # microseconds
ROUNDS_PER_CYCLE = 50
ZONES = 3
SIZES = ((30, 60), (30, 150), (120, 640), (300, 1000), (1000, 5000))  # backends, proxies
TARGETS = {
    "cpu_ratio": 0.1,  # CPU per cycle over that of the earlier version, at most
    "cpu_seconds": 0.6,  # per cycle of the largest fleet, at most
    "longest_seconds": 0.030,  # of a round of the largest fleet, at most
    "exponent": 1.1,  # of CPU over the number of lines, at most
    "lines_per_second": 40_000,  # report lines decoded on one core, at least
}

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


def load_version(path):
    """Imports the modules of the version in a folder and returns them.

    `cranecleat` names that version during the import only; afterwards the modules of this process are restored."""
    loaded = {name: module for name, module in sys.modules.items() if name.split(".")[0] == "cranecleat"}
    for name in loaded:
        del sys.modules[name]
    sys.path.insert(0, str(path))
    try:
        decoding = "decoding" if (Path(path) / "cranecleat" / "decoding.py").exists() else "door"  # its earlier name
        modules = [
            importlib.import_module(f"cranecleat.{name}")
            for name in (decoding, "interface", "policy", "memory.streams")
        ]
    finally:
        sys.path.remove(str(path))
        for name in [name for name in sys.modules if name.split(".")[0] == "cranecleat"]:
            del sys.modules[name]
        sys.modules.update(loaded)
    return modules


def load_earlier_version(folder):
    """Unpacks the earlier version into a folder and loads it; returns None where the history lacks it."""
    archive = subprocess.run(["git", "-C", str(ROOT), "archive", EARLIER, "cranecleat"], capture_output=True)
    if archive.returncode:
        return None
    subprocess.run(["tar", "-x", "-C", str(folder)], input=archive.stdout, check=True)
    return with_present_names(load_version(folder))


def with_present_names(modules):
    """Adds the present names to the modules of the earlier version, as far as the driver below uses them."""
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
    """One coordinator and all its proxies, driven event by event."""

    def __init__(self, modules, backends, proxies, seed=1):
        decoding, interface, policy, streams = modules
        routes = tuple(interface.Route(importance, SECOND, False, None, None) for importance in (3.0, 2.0, 1.0))
        bootstrap = interface.Bootstrap(
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
        self.names = decoding.IndexMap()
        self.random = random.Random(seed)
        self.now = 100 * SECOND
        self.backends = [self.names(f"s-{b:08x}") for b in range(backends)]
        self.cores = {b: self.random.choice((2, 4)) for b in self.backends}
        self.proxies = list(range(proxies))
        self.streams = streams.Streams(self.names, ("a", "b", "c"), None, lambda: None, lambda text: None)
        self.streams.set_timer = lambda *_: None
        self.planner = policy.Planner(bootstrap, 7)
        self.round_times = []  # seconds, one per round
        self.acknowledgements = []  # events for the next round
        self.message_count = 0

    def play_round(self, *events, after=0.0):
        """One round, `after` seconds after the last, with these events and the acknowledgements that are due."""
        self.now += round(after * SECOND)
        events, self.acknowledgements = [*self.acknowledgements, *events], []
        begun = time.perf_counter()
        self.planner.round(self.now, events, self.streams)
        ack_number = self.streams.ack_number
        sent = self.streams.messages()
        self.round_times.append(time.perf_counter() - begun)
        self.message_count += len(sent)
        if ack_number is not None:
            self.acknowledgements = [("acknowledged", connection, ack_number) for connection, _ in sent]

    def list_backends(self, *entries, scope="changes"):
        """The event of a backend list with (backend, state) entries."""
        return ("backends_listed", scope, [(b, state, b % ZONES, 0, float(self.cores[b]), 0) for b, state in entries])

    def join(self, p):
        self.streams.join(p, p, 10.0, True)
        return ("proxy_joined", p, p % ZONES, 10.0, True, False)

    def leave(self, p):
        self.streams.leave(p, p)
        return ("proxy_left", p)

    def start(self):
        self.play_round(self.list_backends(*((b, "running") for b in self.backends), scope="whole"))
        self.play_round(*(self.join(p) for p in self.proxies))

    def reports(self):
        """All report lines of one cycle, in random order."""
        calls = 10.0 * len(self.proxies) / len(self.backends)
        events = [
            ("attempts_reported", b, zone, max(round(calls / ZONES * self.cores[b] / 3), 1), 0, 100_000, SECOND, None)
            for b in self.backends
            for zone in range(ZONES)
        ]
        events += [("demand_reported", p, route, 3 + route, SECOND) for p in self.proxies for route in range(3)]
        self.random.shuffle(events)
        return events

    def play_cycle(self, *more):
        """One second: reports in fifty rounds, with `more` events in the fourth of them."""
        events = self.reports()
        step = -(-len(events) // ROUNDS_PER_CYCLE)
        for i in range(ROUNDS_PER_CYCLE):
            self.play_round(*(more if i == 3 else ()), *events[i * step : (i + 1) * step], after=1 / ROUNDS_PER_CYCLE)

    def measure_steady(self, cycles):
        """CPU time per cycle and the longest round, in seconds, once all proxies are bound."""
        for _ in range(12):
            self.play_cycle()
            if all(len(p.bound_tables) == 3 for p in self.planner.proxies.values()):
                break
        self.round_times.clear()
        for _ in range(cycles):
            self.play_cycle()
        return sum(self.round_times) / cycles, max(self.round_times)

    def measure_reconnect_storm(self):
        """All streams break and reconnect at once, then a third of the backends drains: CPU time per cycle over three
        cycles, and the longest round, in seconds."""
        self.round_times.clear()
        self.play_round(*(self.leave(p) for p in self.proxies), after=0.1)
        self.play_round(*(self.join(p) for p in self.proxies), after=0.1)
        for i in range(3):
            self.play_cycle(self.list_backends(*((b, "draining") for b in self.backends[i::9])))
        return sum(self.round_times) / 3, max(self.round_times)


def measure(modules, size, cycles, storm=True):
    fleet = Fleet(modules, *size)
    fleet.start()
    cpu, longest = fleet.measure_steady(cycles)
    result = {"cpu_s": round(cpu, 4), "longest_ms": round(longest * 1000, 2)}
    if storm:
        cpu, longest = fleet.measure_reconnect_storm()
        result.update(storm_cpu_s=round(cpu, 4), storm_longest_ms=round(longest * 1000, 2))
    return result


def measure_report_lines(lines, decoding, repeats):
    """Report lines per second that one core splits, parses, checks and turns into events."""
    names = decoding.IndexMap()
    for b in range(120):
        names(f"s-{b:08x}")
    decoder = lines.MessageDecoder({"a": 0}, {"r0": 0}, 640, names, SECOND, 5 * SECOND)
    decoder.typical_rate = 6400.0
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
        split, _ = lines.split_lines(data)
        for line in split:
            kind, values = lines.parse_line(line)
            getattr(decoder, kind)(lines.Message(kind, values))
            count += 1
    return round(count / (time.perf_counter() - begun))


def measure_memory(modules):
    """Bytes that the planner and `Streams` hold per proxy and per backend, in steady service with three routes."""

    def measure_bytes(backends, proxies):
        gc.collect()
        tracemalloc.start()
        fleet = Fleet(modules, backends, proxies)
        fleet.start()
        for _ in range(12):
            fleet.play_cycle()
        fleet.round_times.clear()
        fleet.acknowledgements.clear()
        gc.collect()
        traced = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        return traced

    base = measure_bytes(30, 100)
    more_proxies = measure_bytes(30, 400)
    more_backends = measure_bytes(130, 100)
    return {"a_proxy": round((more_proxies - base) / 300), "a_backend": round((more_backends - base) / 100)}


def growth_exponent(results):
    """The exponent with which CPU time per cycle grows with the number of lines, from the smallest fleet to the
    largest."""
    points = [
        (backends * ZONES + proxies * 3, results[f"{backends}x{proxies}"]["cpu_s"])
        for backends, proxies in SIZES
        if f"{backends}x{proxies}" in results
    ]
    return round(math.log(points[-1][1] / points[0][1]) / math.log(points[-1][0] / points[0][0]), 2)


def main(arguments):
    quick, missed = "--quick" in arguments, []
    results = {"now": {}, "earlier": {}}
    with tempfile.TemporaryDirectory() as folder:
        earlier = load_earlier_version(folder)
        present = load_version(ROOT)
        for size in SIZES:
            name = f"{size[0]}x{size[1]}"
            print(f"{name} ...", file=sys.stderr)
            results["now"][name] = measure(present, size, 2 if quick else 5, not quick or size < SIZES[-1])
            if earlier and size <= ((120, 640) if quick else (300, 1000)):
                results["earlier"][name] = measure(earlier, size, 1 if quick else 3)
    from cranecleat import decoding
    from cranecleat.protocol import lines

    results["lines_a_second"] = measure_report_lines(lines, decoding, 10 if quick else 60)
    results["bytes"] = measure_memory(present)
    if results["lines_a_second"] < TARGETS["lines_per_second"]:
        missed.append(f"{results['lines_a_second']} lines per second")
    results["exponent"] = growth_exponent(results["now"])
    if results["earlier"]:
        results["part_120x640"] = round(results["now"]["120x640"]["cpu_s"] / results["earlier"]["120x640"]["cpu_s"], 3)
        if results["part_120x640"] > TARGETS["cpu_ratio"]:
            missed.append(f"120x640: {results['part_120x640']} of the earlier version")
    largest = results["now"]["1000x5000"]
    if largest["cpu_s"] > TARGETS["cpu_seconds"]:
        missed.append(f"1000x5000: {largest['cpu_s']} s per cycle")
    if largest["longest_ms"] > TARGETS["longest_seconds"] * 1000:
        missed.append(f"1000x5000: longest round {largest['longest_ms']} ms")
    if results["exponent"] > TARGETS["exponent"]:
        missed.append(f"exponent {results['exponent']}")
    results["missed"] = missed
    if "--json" in arguments:
        print(json.dumps(results))
    else:
        for name, result in (*results["earlier"].items(), *results["now"].items()):
            print(f"{name:10} {result}")
        print({key: value for key, value in results.items() if key not in ("now", "earlier")})
    return bool(missed)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
