"""Two deployments in one process: each coordinator sends what it sends alone, whether they run one after the other or
side by side. And the program knows nothing of the variants of the fleet that only the bench uses."""

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
from test_service import RESPONSE_HEAD, FakeEnvironment, receive

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


class RecordingEnvironment(FakeEnvironment):
    """Also keeps what is written."""

    def __init__(self):
        super().__init__()
        self.sent = []

    def write(self, message):
        self.sent.append(message)


class Deployment:
    """One coordinator with its proxies, its collector and its watch, in simulated time."""

    def __init__(self, folder, settings):
        with CoordinatorProcess(folder, settings=settings) as service:
            self.list_backends = service.list_backends
            self.settings, self.names = settings, [f"{settings['localities'][0]}{n}" for n in range(5)]
            service.configuration["known"] = self.list_in_deployment(41, **dict.fromkeys(self.names[:3], "active"))
            service.path.write_text(json.dumps(service.configuration))
            configuration = read_configuration({"BALANCER_CONFIG": str(service.path)})
        self.fake, self.second = RecordingEnvironment(), 0
        self.coordinator = Coordinator(configuration, Clock(self.fake, 1000.0), self.fake, self.failed)
        self.coordinator.start()
        self.streams, self.watch = [], Watch(self.coordinator, self.coordinator.discovery)
        self.watch.connection_made(RecordingEnvironment())
        receive(self.watch, RESPONSE_HEAD)
        self.collector = self.coordinator.make_connection()
        self.collector.connection_made(RecordingEnvironment())
        receive(self.collector, f"telemetry locality={settings['localities'][0]}\r\n".encode())

    def failed(self, failure):
        raise failure

    def list_in_deployment(self, rev, full=True, **states):
        """A list of backends that are spread over the deployment's zones and kinds."""
        document = self.list_backends(rev, full, **states)
        zones, kinds = self.settings["localities"], self.settings["skus"]
        for n, target in enumerate(document["targets"]):
            target.update(az=zones[n % len(zones)], model=kinds[n % len(kinds)])
        return document

    def run_second(self):
        """One second, in which a proxy joins, a backend comes or goes, and the latest messages are acknowledged."""
        self.second += 1
        zones, routes = self.settings["localities"], [route["name"] for route in self.settings["requestClasses"]]
        stream = self.coordinator.make_connection()
        stream.connection_made(RecordingEnvironment())
        receive(
            stream,
            b"attach node=%d locality=%s w=6.5 cold=1\r\n"
            % (len(self.streams) % 8, zones[self.second % len(zones)].encode()),
        )
        self.streams.append(stream)
        state = ("active", "leaving", "left")[self.second % 3]
        receive(
            self.watch,
            http_chunk(self.list_in_deployment(41 + self.second, full=False, **{self.names[self.second % 5]: state})),
        )
        for n, name in enumerate(self.names):
            report = f"endpoint={name} total={9 + self.second} errors=1 rtt={30 + 40 * n} interval=700\r\n"
            receive(self.collector, f"upstream_stats locality={zones[0]} {report}".encode())
        for stream in self.streams:
            if stream.reason is None:
                proxy = stream.proxy
                for route in routes:
                    receive(
                        stream,
                        b"client_stats node=%d route=%s total=9 errors=0 interval=700\r\n" % (proxy, route.encode()),
                    )
                for message in stream.transport.sent[-1:]:
                    if found := re.search(rb"stamp=(\d+)", message):
                        receive(stream, b"done node=%d nonce=%s latency=1\r\n" % (proxy, found[1]))
        self.fake.advance_to(float(self.second))

    def output(self):
        """What each stream was sent, and the log."""
        return [b"".join(stream.transport.sent) for stream in self.streams], [str(line) for line in self.fake.lines]


@pytest.mark.parametrize(
    "first, second", [(SETTINGS, OTHER), (OTHER, ONE), (ONE, SETTINGS)], ids=["few", "many", "one"]
)
def test_two_deployments_in_one_process_get_what_each_gets_alone(tmp_path, first, second):
    def folder(name):
        (tmp_path / name).mkdir()
        return tmp_path / name

    alone = []
    for number, settings in enumerate((first, second, first)):  # in turn; the first once more after the second
        deployment = Deployment(folder(f"alone{number}"), settings)
        for _ in range(15):
            deployment.run_second()
        alone.append(deployment.output())
    side_by_side = [Deployment(folder(f"beside{number}"), settings) for number, settings in enumerate((first, second))]
    for _ in range(15):
        for deployment in side_by_side:
            deployment.run_second()
    assert [deployment.output() for deployment in side_by_side] == alone[:2] and alone[2] == alone[0]
    assert all(any(b"replace=1" in sent for sent in streams) for streams, _ in alone)
    for deployment, settings in zip(side_by_side, (first, second), strict=True):
        named = {
            name
            for sent in deployment.output()[0]
            for found in re.findall(rb"for=(\S+)", sent)
            for name in found.decode().split("+")
        }
        assert named <= {route["name"] for route in settings["requestClasses"]}


def test_the_program_never_reads_the_variants():
    """deploy/sites is for the bench alone: no file of the program names the folder, a variant, or anything in one."""
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
