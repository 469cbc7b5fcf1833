"""Measures gossip: its rate of bytes, how fast a claim spreads, how much sooner backends are ejected, the service with
honest and with lying peers, which datagrams are refused, and the cost of a datagram.

    python -m benchmarks.gossip [--quick] [--json]

Each pair is the same simulated day with gossip and without (`cranecleat/rehearsal`). The exit code is 1 where a target
is missed. Signatures are real Ed25519 where their cost is measured, and stand-ins of the same length in the days.
"""

import gc
import json
import math
import random
import sys
import time
import tracemalloc
from concurrent.futures import ProcessPoolExecutor

from cranecleat.gossip import seal, wire
from cranecleat.gossip.agent import DEFAULT_BYTES_PER_SECOND, Agent
from cranecleat.gossip.bridge import backend_key
from cranecleat.gossip.roster import Member, Roster, member_number
from cranecleat.gossip.seal import Signer
from cranecleat.rehearsal.day import GOSSIP_STEP_US, START_UNIX_SECONDS, Day, unresponsive_backends
from cranecleat.rehearsal.network import HashChecker, HashSigner, Network
from cranecleat.rehearsal.world import SECOND, Simulation

TARGETS = {
    "ejection_ratio": 0.5,  # time until an unresponsive backend is ejected, with gossip over without, at most
    "service": -0.005,  # difference of the service, with gossip less without, at least
}


class SpreadSimulation:
    """Agents on a simulated network, without planners: how fast a claim reaches all, and at what rate of bytes."""

    def __init__(self, peers, seed, lost=0.0):
        self.simulation = Simulation(seed)
        self.network = Network(self.simulation, loss=lost)
        names = [f"n{i}" for i in range(peers)]
        members = [Member(name, (name, 1), (HashSigner(name).public,)) for name in names]
        self.agents = {}
        for i, name in enumerate(names):
            roster = Roster("spread", name, members)
            self.agents[name] = Agent(
                roster, HashSigner(name), f"{seed}:{name}", START_UNIX_SECONDS, 0, checker=HashChecker(roster)
            )
            self.network.receivers[name, 1] = lambda data, sender, name=name: self.network.send(
                (name, 1), self.agents[name].received(self.simulation.now, self.unix_time(), data, sender)
            )
            self.simulation.call_after(GOSSIP_STEP_US * (1 + i / peers), self.step_agent, name)

    def unix_time(self):
        return START_UNIX_SECONDS + self.simulation.now / SECOND

    def step_agent(self, name):
        self.network.send((name, 1), self.agents[name].tick(self.simulation.now, self.unix_time()))
        self.simulation.call_after(GOSSIP_STEP_US, self.step_agent, name)

    def count_informed(self, origin, key):
        """How many agents have the claim of `origin` about the backend with that key."""
        return sum(
            any(entry[0] == key for entry in held.statement.entries)
            for agent in self.agents.values()
            if (held := agent.claims.latest.get(member_number(origin)))
        )

    def measure(self):
        """Seconds until a claim has reached all; then the most bytes per second that one peer sends while all make
        claims all the time."""
        start, key = 15 * SECOND + self.simulation.seed % 7 * SECOND // 10, backend_key("s-1", 0)
        self.simulation.run(start)
        self.agents["n0"].observe(start, {key: 6.0})
        while self.count_informed("n0", key) < len(self.agents) and self.simulation.now < start + 30 * SECOND:
            self.simulation.run(self.simulation.now + SECOND // 20)
        spread_time = (self.simulation.now - start) / SECOND
        generator = random.Random(self.simulation.seed)
        sent_before = {name: agent.counts["sent_bytes"] for name, agent in self.agents.items()}
        busy_since = self.simulation.now
        for _ in range(10):
            for agent in self.agents.values():
                agent.observe(
                    self.simulation.now,
                    {backend_key(f"s-{generator.randrange(40)}", 0): generator.uniform(2, 9) for _ in range(10)},
                )
            self.simulation.run(self.simulation.now + SECOND)
        seconds = (self.simulation.now - busy_since) / SECOND
        most_sent = max(agent.counts["sent_bytes"] - sent_before[name] for name, agent in self.agents.items())
        return spread_time, most_sent / seconds


def measure_spread(job):
    return SpreadSimulation(*job).measure()


def run_day(job):
    seed, peers, settings = job
    return Day(unresponsive_backends(seed, peers, **settings)).run()


def run_pairs(pool, peers, seeds, known, **more):
    """Runs pairs of days with the same seeds, without gossip and with it.

    A day without gossip does not depend on what peers do, so `known` keeps it for other pairs.
    """
    without_peers = {name: value for name, value in more.items() if name not in ("liars", "lost", "doubled")}
    keys = [(seed, peers, str(without_peers)) for seed in seeds]
    jobs = [
        (seed, peers, {**without_peers, "gossip": False})
        for seed, key in zip(seeds, keys, strict=True)
        if key not in known
    ]
    jobs += [(seed, peers, {**more, "gossip": True}) for seed in seeds]
    found = list(pool.map(run_day, jobs))
    known.update(zip((key for key in keys if key not in known), found, strict=True))
    return list(zip((known[key] for key in keys), found[-len(keys) :], strict=True))


def mean(values):
    values = list(values)
    return sum(values) / max(len(values), 1)


def summarize_pairs(pairs):
    """Sums up pairs of days. A backend that some coordinators never ejected counts with those that did."""
    alone = [seconds for without, _ in pairs for seconds in without["shut_after"][:1]]
    helped = [seconds for _, with_gossip in pairs for seconds in with_gossip["shut_after"][:1]]
    gain = [with_gossip["service"] - without["service"] for without, with_gossip in pairs]
    gain_error = math.sqrt(mean((g - mean(gain)) ** 2 for g in gain) / max(len(gain) - 1, 1))
    return {
        "alone_s": round(mean(alone), 2),
        "gossip_s": round(mean(helped), 2),
        "ratio": round(mean(helped) / max(mean(alone), 1e-9), 3),
        "false_alone": sum(without["false_shut"] for without, _ in pairs),
        "false_gossip": sum(with_gossip["false_shut"] for _, with_gossip in pairs),
        "service_gain": round(mean(gain), 4),
        "service_gain_error": round(gain_error, 4),
        "service_worst": round(min(gain), 4),
        "broken": [rule for without, with_gossip in pairs for rule in without["broken"] + with_gossip["broken"]],
    }


def measure_refusals():
    """Sends forged, altered and replayed datagrams with real signatures; returns how many were sent and refused."""
    names = [f"n{i}" for i in range(4)]
    signers = {name: Signer(name.encode().ljust(32, b".")) for name in names}
    members = [Member(name, (name, 1), (signers[name].public,)) for name in names]
    agents = {name: Agent(Roster("g", name, members), signers[name], name, START_UNIX_SECONDS, 0) for name in names}
    victim, forger, honest = agents["n0"], agents["n3"], agents["n1"]
    tried = refused = 0
    generator = random.Random(4)
    valid = []
    for n in range(300):
        now = n * SECOND
        if n % 3 == 0:  # signed in another member's name
            header = wire.Header(
                forger.roster.tag, member_number("n1"), 0, START_UNIX_SECONDS, 10_000 + n, wire.Kind.RUMOUR, 0, 0, 0
            )
            data = wire.pack(header, (), None)
            data += forger.signer.sign(seal.DATAGRAM, forger.roster.digest, data)
        else:
            good = honest.send(now, honest.rumour_bucket, member_number("n0"), wire.Kind.RUMOUR)[0][1]
            valid.append(good)
            victim.received(now, START_UNIX_SECONDS, good, ("n1", 1))
            data = generator.choice(valid) if n % 3 == 1 else good[:30] + bytes([good[30] ^ 1]) + good[31:]
        before = victim.refused.total()
        victim.received(now, START_UNIX_SECONDS, data, ("n1", 1))
        tried, refused = tried + 1, refused + victim.refused.total() - before
    return tried, refused


def measure_cost(rounds):
    """Microseconds per datagram, verified or refused at each check, with real keys; and the bytes that an agent of a
    group of 20 holds."""
    names = [f"n{i}" for i in range(20)]
    signers = {name: Signer(name.encode().ljust(32, b".")) for name in names}
    members = [Member(name, (name, 1), (signers[name].public,)) for name in names]
    honest = Agent(Roster("g", "n1", members), signers["n1"], "n1", START_UNIX_SECONDS, 0)
    honest.observe(SECOND, {backend_key(f"s-{i}", 0): 5.0 for i in range(8)})
    good = [
        honest.send(n * SECOND, honest.rumour_bucket, member_number("n0"), wire.Kind.RUMOUR)[0][1]
        for n in range(rounds)
    ]
    results = {}
    for name, alter, sender in (
        ("verified_us", lambda d: d, "n1"),
        ("stranger_us", lambda d: d, "x"),
        ("replayed_us", None, "n1"),
        ("bad_signature_us", lambda d: d[:-1] + b"\0", "n1"),
        ("too_long_us", lambda d: d.ljust(257, b"x"), "n1"),
    ):
        victim = Agent(Roster("g", "n0", members), signers["n0"], "n0", START_UNIX_SECONDS, 0)
        if alter is None:
            victim.received(0, START_UNIX_SECONDS, good[-1], ("n1", 1))
        datagrams = [alter(data) if alter else good[-1] for data in good]
        begun = time.perf_counter()
        for n, data in enumerate(datagrams):
            victim.received(n * SECOND, START_UNIX_SECONDS, data, (sender, 1))
        results[name] = round((time.perf_counter() - begun) / rounds * 1e6, 1)
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    agent = Agent(Roster("g", "n0", members), signers["n0"], "n0", START_UNIX_SECONDS, 0)
    for name in names[1:]:
        peer = Agent(Roster("g", name, members), signers[name], name, START_UNIX_SECONDS, 0)
        peer.observe(SECOND, {backend_key(f"s-{i}", 0): 5.0 for i in range(8)})
        agent.received(
            SECOND,
            START_UNIX_SECONDS,
            peer.send(SECOND, peer.rumour_bucket, member_number("n0"), wire.Kind.RUMOUR)[0][1],
            (name, 1),
        )
        del peer
    gc.collect()
    results["agent_of_20_bytes"] = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return results


def main(arguments):
    quick = "--quick" in arguments
    seeds, known = range(1, 4) if quick else range(1, 13), {}
    progress = (lambda text: print(text, file=sys.stderr)) if "--json" in arguments else print
    results, missed = {}, []

    def require(holds, text):
        if not holds:
            missed.append(text)

    with ProcessPoolExecutor() as pool:
        for peers in (5, 20, 100):
            progress(f"spread among {peers} ...")
            spreads = list(pool.map(measure_spread, [(peers, seed) for seed in seeds]))
            results[f"spread_{peers}"] = {
                "heard_by_all_s": round(mean(seconds for seconds, _ in spreads), 2),
                "bytes_s_peer_most": round(max(rate for _, rate in spreads)),
            }
            require(
                max(rate for _, rate in spreads) <= DEFAULT_BYTES_PER_SECOND * 1.05,
                f"{peers} peers: more than {DEFAULT_BYTES_PER_SECOND} bytes per second",
            )
        per_doubling = [results[f"spread_{n}"]["heard_by_all_s"] / math.log2(n + 1) for n in (5, 20, 100)]
        results["heard_s_by_log2"] = [round(p, 3) for p in per_doubling]
        for peers, settings in (
            (5, {}),
            (20, {}),
            *(() if quick else ((5, {"report_lines_per_second": 24}), (100, {}))),
        ):
            day_seeds = {5: seeds, 20: range(1, 9) if quick else seeds, 100: range(1, 4)}[peers]
            progress(f"days of {peers} coordinators {settings or ''} ...")
            result = summarize_pairs(run_pairs(pool, peers, day_seeds, known, **settings))
            results[f"days_{peers}{'_late' if settings else ''}"] = result
            require(not result["broken"], f"{peers}: rules broken: {result['broken'][:2]}")
            require(result["service_gain"] >= TARGETS["service"], f"{peers}: service {result['service_gain']}")
            require(
                result["false_gossip"] <= result["false_alone"] + 2 * math.sqrt(result["false_alone"] + 1),
                f"{peers}: false ejections {result['false_gossip']} for {result['false_alone']}",
            )
        require(
            results["days_20"]["ratio"] <= TARGETS["ejection_ratio"] + 0.05,
            f"20: ratio of ejection times {results['days_20']['ratio']}",
        )
        for peers, settings in (
            (20, {"liars": 3}),
            *(() if quick else ((20, {"liars": 1}), (20, {"lost": 0.5, "doubled": 0.3}))),
        ):
            progress(f"days of {peers} coordinators {settings} ...")
            result = summarize_pairs(run_pairs(pool, peers, seeds, known, **settings))
            results["days_" + "_".join(f"{k}{v}" for k, v in settings.items())] = result
            require(result["service_gain"] >= TARGETS["service"], f"{settings}: service {result['service_gain']}")
            require(not result["broken"], f"{settings}: rules broken: {result['broken'][:2]}")
    tried, refused = measure_refusals()
    results["forged_or_replayed"] = {"tried": tried, "refused": refused}
    require(tried == refused, f"refused {refused} of {tried}")
    results["cost"] = measure_cost(500 if quick else 3000)
    results["missed"] = missed
    if "--json" in arguments:
        print(json.dumps(results))
    else:
        for name, value in results.items():
            print(f"{name:28} {value}")
        print("results of days and spread are from simulated servers")
    return bool(missed)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
