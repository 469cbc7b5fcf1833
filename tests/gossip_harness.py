"""Members of a gossip for tests: agents in simulated time, and couriers on real UDP sockets of this machine."""

import asyncio
import socket
import time
from types import SimpleNamespace

from cranecleat.gossip.agent import DEFAULT_BYTES_PER_SECOND, Agent
from cranecleat.gossip.roster import Member, Roster
from cranecleat.gossip.seal import Signer
from cranecleat.gossip.shell import GossipTransport
from cranecleat.operator.file import GossipSettings
from cranecleat.rehearsal.network import Token, TokenChecker
from cranecleat.service.clock import Clock

EPOCH = 1_700_000_000
SECOND = 1_000_000


def secret(name):
    return name.encode().ljust(32, b".")


def names(count):
    return [f"n{i}" for i in range(count)]


class Group:
    """Agents with signatures that cost nothing, each at the address (name, 1); time goes by in `run`."""

    def __init__(self, count, seed=1, rate=DEFAULT_BYTES_PER_SECOND):
        self.now, self.lost, self.apart, self.log = 0, lambda sender, to, data: False, set(), []
        self.members = [Member(name, (name, 1), (Token(name).public,)) for name in names(count)]
        self.rate, self.seed, self.agents = rate, seed, {}
        for name in names(count):
            self.start(name)
        self.sent = {name: 0 for name in names(count)}

    def start(self, name, life=EPOCH):
        roster = Roster("test", name, self.members)
        self.agents[name] = Agent(
            roster,
            Token(name),
            f"{self.seed}:{name}:{life}",
            life,
            self.now,
            checker=TokenChecker(roster),
            rate=self.rate,
        )
        return self.agents[name]

    def unix(self):
        return EPOCH + self.now // SECOND

    def carry(self, sender, datagrams):
        for (to, _), data in datagrams:
            self.sent[sender] += len(data) + 28
            there = to in self.agents and (sender in self.apart) == (to in self.apart)
            if there and not self.lost(sender, to, data):
                self.carry(to, self.agents[to].received(self.now, self.unix(), data, (sender, 1)))

    def run(self, seconds, step=0.05, each=None):
        for _ in range(round(seconds / step)):
            self.now += round(step * SECOND)
            if each:
                each()
            for name, agent in list(self.agents.items()):
                self.carry(name, agent.tick(self.now, self.unix()))
                self.log += [f"{self.now / SECOND:6.2f}  {name}: {who} {what}" for _, who, what in agent.events]
                agent.events.clear()

    def states(self, name):
        """How many members that one believes to be in each state."""
        found = {}
        for s in self.agents[name].members.standing.values():
            found[s.state] = found.get(s.state, 0) + 1
        return found


class Planned:
    """What a courier asks of a planner: `misses` is set by the test, calls are kept."""

    def __init__(self, backends):
        self.backends = {b: SimpleNamespace(started=0) for b in range(backends)}
        self.missing = {}

    def missing_answers(self):
        return self.missing


class Hub:
    """As much of a coordinator as a courier needs."""

    def __init__(self, name, backends):
        self.clock = Clock(asyncio.get_running_loop(), time.time())
        self.configuration = SimpleNamespace(seed=name)
        self.planner, self.names = Planned(backends), SimpleNamespace(ids=[f"s-{b}" for b in range(backends)])
        self.calls, self.doubts, self.counted = [], {}, {}
        self.log = SimpleNamespace(info=lambda *_, **__: None, warning=lambda *_, **__: None)

    def queue_event(self, call):
        self.calls.append(call)
        self.doubts[call[1]] = call[2]

    def log_aggregated(self, event, detail=None, **_):
        self.counted[event] = self.counted.get(event, 0) + 1


def sections(folder, count, keys=None, rate=DEFAULT_BYTES_PER_SECOND):
    """Sections of operator's files for `count` members on free ports of this machine, with key files in `folder`."""
    free = []
    for _ in range(count):
        taken = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        taken.bind(("127.0.0.1", 0))
        free.append(taken)
    places = [one.getsockname() for one in free]
    for one in free:
        one.close()
    members = tuple(
        Member(name, place, (Signer(secret(name)).public,)) for name, place in zip(names(count), places, strict=True)
    )
    for name in names(count):
        write_key(folder / f"{name}.key", secret(name))
    return [
        GossipSettings(name, "test", place, folder / f"{name}.key", rate, None, members)
        for name, place in zip(names(count), places, strict=True)
    ]


def write_key(path, key):
    from cranecleat.gossip.keys import WORD, encode

    path.write_text(f"{WORD} {encode(key)}\n")
    path.chmod(0o600)


async def couriers(folder, count, backends=6, **more):
    """Real couriers, open."""
    found = []
    for section in sections(folder, count, **more):
        courier = GossipTransport(Hub(section.me, backends), section)
        await courier.open()
        found.append(courier)
    return found


async def until(holds, seconds=20):
    """Waits for something to hold; fails if it never does."""
    deadline = time.monotonic() + seconds
    while not holds():
        assert time.monotonic() < deadline, "it never came"
        await asyncio.sleep(0.02)
