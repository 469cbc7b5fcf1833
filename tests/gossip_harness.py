"""Gossip members for tests: agents in simulated time, and transports on real UDP sockets of this machine."""

import asyncio
import socket
import time
from types import SimpleNamespace

from cranecleat.gossip.agent import DEFAULT_BYTES_PER_SECOND, Agent
from cranecleat.gossip.roster import Member, Roster
from cranecleat.gossip.seal import Signer
from cranecleat.gossip.shell import GossipTransport
from cranecleat.operator.file import GossipSettings
from cranecleat.rehearsal.network import HashChecker, HashSigner
from cranecleat.service.clock import Clock

EPOCH = 1_700_000_000  # Unix time in seconds at which the simulated time begins
SECOND = 1_000_000  # microseconds


def secret_key(name):
    return name.encode().ljust(32, b".")


def member_names(count):
    return [f"n{i}" for i in range(count)]


class SimulatedGroup:
    """Agents in simulated time, with hashes in place of signatures to save time. The address of each is (name, 1).
    `run` lets time pass."""

    def __init__(self, count, seed=1, rate=DEFAULT_BYTES_PER_SECOND):
        self.now = 0
        self.is_lost = lambda sender, receiver, data: False
        self.partitioned = set()  # names of members that only reach each other
        self.log = []  # one line for each change of a member's state that an agent has seen
        self.members = [Member(name, (name, 1), (HashSigner(name).public,)) for name in member_names(count)]
        self.rate = rate
        self.seed = seed
        self.agents = {}
        for name in member_names(count):
            self.start(name)
        self.bytes_sent = {name: 0 for name in member_names(count)}

    def start(self, name, life=EPOCH):
        """Starts an agent, in place of the one with the same name if there is one."""
        roster = Roster("test", name, self.members)
        self.agents[name] = Agent(
            roster,
            HashSigner(name),
            f"{self.seed}:{name}:{life}",
            life,
            self.now,
            checker=HashChecker(roster),
            rate=self.rate,
        )
        return self.agents[name]

    def unix(self):
        """The simulated Unix time in whole seconds."""
        return EPOCH + self.now // SECOND

    def deliver(self, sender, datagrams):
        """Hands the datagrams to their receivers at once, and all answers to theirs. Drops those that are lost or that
        cross the border of the partition."""
        for (receiver, _), data in datagrams:
            self.bytes_sent[sender] += len(data) + 28  # with the IP and UDP headers
            is_reachable = receiver in self.agents and (sender in self.partitioned) == (receiver in self.partitioned)
            if is_reachable and not self.is_lost(sender, receiver, data):
                self.deliver(receiver, self.agents[receiver].received(self.now, self.unix(), data, (sender, 1)))

    def run(self, seconds, step=0.05, each=None):
        """Lets `seconds` pass in steps of `step` seconds; calls `each` at the beginning of every step."""
        for _ in range(round(seconds / step)):
            self.now += round(step * SECOND)
            if each:
                each()
            for name, agent in list(self.agents.items()):
                self.deliver(name, agent.tick(self.now, self.unix()))
                self.log += [f"{self.now / SECOND:6.2f}  {name}: {who} {what}" for _, who, what in agent.events]
                agent.events.clear()

    def count_states(self, name):
        """How many other members the one with this name believes to be in each state: {state: count}."""
        counts = {}
        for record in self.agents[name].members.records.values():
            counts[record.state] = counts.get(record.state, 0) + 1
        return counts


class PlannerStub:
    """The part of a planner that a transport uses. A test sets `missing`: missing answers by backend index."""

    def __init__(self, backends):
        self.backends = {b: SimpleNamespace(started=0) for b in range(backends)}
        self.missing = {}

    def missing_answers(self):
        return self.missing


class CoordinatorStub:
    """The part of a coordinator that a transport uses. `last_reported`: for each backend index the number of answers
    that peers miss, as the transport has last told it to the planner."""

    def __init__(self, name, backends):
        self.clock = Clock(asyncio.get_running_loop(), time.time())
        self.configuration = SimpleNamespace(seed=name)
        self.planner = PlannerStub(backends)
        self.names = SimpleNamespace(ids=[f"s-{b}" for b in range(backends)])
        self.events = []
        self.last_reported = {}
        self.log_counts = {}
        self.log = SimpleNamespace(info=lambda *_, **__: None, warning=lambda *_, **__: None)

    def queue_event(self, event):
        self.events.append(event)
        self.last_reported[event[1]] = event[2]

    def log_aggregated(self, event, detail=None, **_):
        self.log_counts[event] = self.log_counts.get(event, 0) + 1


def make_settings(folder, count, keys=None, rate=DEFAULT_BYTES_PER_SECOND):
    """Settings of `count` members on free ports of this machine, with key files in `folder`."""
    sockets = []
    for _ in range(count):
        udp_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        udp_socket.bind(("127.0.0.1", 0))
        sockets.append(udp_socket)
    addresses = [udp_socket.getsockname() for udp_socket in sockets]
    for udp_socket in sockets:
        udp_socket.close()
    members = tuple(
        Member(name, address, (Signer(secret_key(name)).public,))
        for name, address in zip(member_names(count), addresses, strict=True)
    )
    for name in member_names(count):
        write_key(folder / f"{name}.key", secret_key(name))
    return [
        GossipSettings(name, "test", address, folder / f"{name}.key", rate, None, members)
        for name, address in zip(member_names(count), addresses, strict=True)
    ]


def write_key(path, key):
    from cranecleat.gossip.keys import FORMAT_NAME, encode

    path.write_text(f"{FORMAT_NAME} {encode(key)}\n")
    path.chmod(0o600)


async def open_transports(folder, count, backends=6, **settings_options):
    """Opens `count` transports on real sockets, each with a coordinator that has `backends` backends.
    `settings_options` go to `make_settings`."""
    transports = []
    for settings in make_settings(folder, count, **settings_options):
        transport = GossipTransport(CoordinatorStub(settings.me, backends), settings)
        await transport.open()
        transports.append(transport)
    return transports


async def wait_until(condition, seconds=20):
    """Waits until the condition holds; fails if it does not in time."""
    deadline = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < deadline, "the condition did not hold in time"
        await asyncio.sleep(0.02)
