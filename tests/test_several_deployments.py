"""Two deployments in one process: each gets what it gets alone, whether they take turns or go on side by side. And
the program knows nothing of the variants that the fleet's days are played with."""

import copy
import json
import re
import tomllib
from pathlib import Path

import pytest

from cranecleat.protocol.registry import Watch
from cranecleat.service.clock import Clock
from cranecleat.service.coordinator import Coordinator
from cranecleat.service.start import read_configuration
from planner_harness import SETTINGS, CoordinatorProcess, http_chunk
from test_service import HEAD, Still, say

ROOT = Path(__file__).parent.parent
OTHER = {
    **copy.deepcopy(SETTINGS),
    "groupSize": 3,
    "localities": ["b", "c", "a"],
    "skus": ["small", "big"],
    "requestClasses": [
        {"name": name, "credit": credit, "goalTime": goal, "giveUp": 3 * goal}
        for name, credit, goal in (("find", 1.0, 0.3), ("write", 9.0, 2.0), ("read", 2.0, 0.7), ("late", 0.5, 9))
    ],
}
OTHER["specifics"].update(
    zoneBound=[False, True, False, False],
    proxyCount=300,
    cycle=0.7,
    perMessage=9.0,
    intakePerS=90.0,
    admission="per_second",
    messagesMost=12,
)
ONE = {
    **copy.deepcopy(SETTINGS),
    "localities": ["only"],
    "skus": ["any"],
    "requestClasses": [{"name": "all", "credit": 1.0, "goalTime": 0.1, "giveUp": 0.2}],
}


class Kept(Still):
    def __init__(self):
        super().__init__()
        self.said = []

    def write(self, message):
        self.said.append(message)


class Station:
    """One coordinator with its proxies, its collector and its watch, that goes on second by second."""

    def __init__(self, folder, settings):
        with CoordinatorProcess(folder, settings=settings) as service:
            self.entry = service.list_backends
            self.settings, self.names = settings, [f"{settings['localities'][0]}{n}" for n in range(5)]
            service.configuration["known"] = self.list(41, **dict.fromkeys(self.names[:3], "active"))
            service.path.write_text(json.dumps(service.configuration))
            station = read_configuration({"BALANCER_CONFIG": str(service.path)})
        self.still, self.at = Kept(), 0
        self.coordinator = Coordinator(station, Clock(self.still, 1000.0), self.still, self.failed)
        self.coordinator.start()
        self.proxies, self.watch = [], Watch(self.coordinator, self.coordinator.discovery)
        self.watch.connection_made(Kept())
        say(self.watch, HEAD)
        self.collector = self.coordinator.accept()
        self.collector.connection_made(Kept())
        say(self.collector, f"telemetry locality={settings['localities'][0]}\r\n".encode())

    def failed(self, failure):
        raise failure

    def list(self, rev, full=True, **states):
        entry, zones, kinds = self.entry(rev, full, **states), self.settings["localities"], self.settings["skus"]
        for n, target in enumerate(entry["targets"]):
            target.update(az=zones[n % len(zones)], model=kinds[n % len(kinds)])
        return entry

    def go(self):
        """One second, in which somebody joins, a backend comes and goes, and all marks are answered."""
        self.at += 1
        zones, routes = self.settings["localities"], [c["name"] for c in self.settings["requestClasses"]]
        proxy = self.coordinator.accept()
        proxy.connection_made(Kept())
        say(
            proxy,
            b"attach node=%d locality=%s w=6.5 cold=1\r\n"
            % (len(self.proxies) % 8, zones[self.at % len(zones)].encode()),
        )
        self.proxies.append(proxy)
        state = ("active", "leaving", "left")[self.at % 3]
        say(self.watch, http_chunk(self.list(41 + self.at, full=False, **{self.names[self.at % 5]: state})))
        for n, name in enumerate(self.names):
            met = f"endpoint={name} total={9 + self.at} errors=1 rtt={30 + 40 * n} interval=700\r\n"
            say(self.collector, f"upstream_stats locality={zones[0]} {met}".encode())
        for one in self.proxies:
            if one.reason is None:
                number = one.proxy
                for route in routes:
                    say(
                        one,
                        b"client_stats node=%d route=%s total=9 errors=0 interval=700\r\n" % (number, route.encode()),
                    )
                for message in one.transport.said[-1:]:
                    if found := re.search(rb"stamp=(\d+)", message):
                        say(one, b"done node=%d nonce=%s latency=1\r\n" % (number, found[1]))
        self.still.pass_to(float(self.at))

    def told(self):
        return [b"".join(one.transport.said) for one in self.proxies], [str(line) for line in self.still.lines]


@pytest.mark.parametrize("one, two", [(SETTINGS, OTHER), (OTHER, ONE), (ONE, SETTINGS)], ids=["few", "many", "one"])
def test_two_deployments_in_one_process_get_what_each_gets_alone(tmp_path, one, two):
    def folder(name):
        (tmp_path / name).mkdir()
        return tmp_path / name

    alone = []
    for number, settings in enumerate((one, two, one)):  # in turn; the first once more after the second
        station = Station(folder(f"alone{number}"), settings)
        for _ in range(15):
            station.go()
        alone.append(station.told())
    beside = [Station(folder(f"beside{number}"), settings) for number, settings in enumerate((one, two))]
    for _ in range(15):
        for station in beside:
            station.go()
    assert [station.told() for station in beside] == alone[:2] and alone[2] == alone[0]
    assert all(any(b"replace=1" in said for said in told) for told, _ in alone)
    for station, settings in zip(beside, (one, two), strict=True):
        named = {
            name
            for said in station.told()[0]
            for found in re.findall(rb"for=(\S+)", said)
            for name in found.decode().split("+")
        }
        assert named <= {c["name"] for c in settings["requestClasses"]}


def test_the_program_never_reads_the_variants():
    """deploy/sites is for the bench alone: no file of the program names the folder, a variant or what is in one."""
    sites = {path.parent.name: tomllib.loads(path.read_text()) for path in (ROOT / "deploy/sites").glob("*/site.toml")}
    words = {"deploy/sites", *sites}
    for site in sites.values():
        words |= {part["name"] for part in (*site["class"], *site["tier"], *site["tier"][0]["kind"])}
        words |= set(site["net"]["zones"])
    program = [*(ROOT / "cranecleat").rglob("*.py"), *(ROOT / "deploy").glob("*.*")]
    assert len(sites) >= 2 and len(program) > 50
    assert [
        (file.name, word)
        for file in program
        for word in words
        if re.search(rf"\b{re.escape(word)}\b", file.read_text())
    ] == []
