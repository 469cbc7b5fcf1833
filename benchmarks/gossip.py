"""Gossip measured: pace, spread, sooner shut-outs, service with honest and bad peers, refusals, cost a datagram.

    python -m benchmarks.gossip [--quick] [--json]

Each pair is the same day with gossip and without (simulated servers, `cranecleat/rehearsal`). Exit code 1 where a
stated aim is missed. Seals are real Ed25519 where their cost is measured, stand-ins of the same length in the days.
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
from cranecleat.rehearsal.day import GOSSIP_STEP_US, START_UNIX_SECONDS, Day, swallowing
from cranecleat.rehearsal.network import Network, Token, TokenChecker
from cranecleat.rehearsal.world import SECOND, Simulation

AIMS = {"sooner": 0.5, "service": -0.005}  # time to shut out, with over without; least difference of service


class Spread:
    """Agents on a simulated network, without planners: how fast and at what pace one claim reaches all."""

    def __init__(self, peers, seed, lost=0.0):
        self.simulation = Simulation(seed)
        self.network = Network(self.simulation, loss=lost)
        names = [f"n{i}" for i in range(peers)]
        members = [Member(name, (name, 1), (Token(name).public,)) for name in names]
        self.agents = {}
        for i, name in enumerate(names):
            roster = Roster("spread", name, members)
            self.agents[name] = Agent(
                roster, Token(name), f"{seed}:{name}", START_UNIX_SECONDS, 0, checker=TokenChecker(roster)
            )
            self.network.receivers[name, 1] = lambda data, sender, name=name: self.network.send(
                (name, 1), self.agents[name].received(self.simulation.now, self.unix(), data, sender)
            )
            self.simulation.call_after(GOSSIP_STEP_US * (1 + i / peers), self.step, name)

    def unix(self):
        return START_UNIX_SECONDS + self.simulation.now / SECOND

    def step(self, name):
        self.network.send((name, 1), self.agents[name].tick(self.simulation.now, self.unix()))
        self.simulation.call_after(GOSSIP_STEP_US, self.step, name)

    def heard(self, origin, key):
        return sum(
            any(entry[0] == key for entry in held.statement.entries)
            for one in self.agents.values()
            if (held := one.claims.latest.get(member_number(origin)))
        )

    def measure(self):
        """Seconds until all have heard a claim; then bytes a second and peer while all claim all the time."""
        start, key = 15 * SECOND + self.simulation.seed % 7 * SECOND // 10, backend_key("s-1", 0)
        self.simulation.run(start)
        self.agents["n0"].observe(start, {key: 6.0})
        while self.heard("n0", key) < len(self.agents) and self.simulation.now < start + 30 * SECOND:
            self.simulation.run(self.simulation.now + SECOND // 20)
        took = (self.simulation.now - start) / SECOND
        chance, sent = random.Random(self.simulation.seed), {n: a.counts["sent_bytes"] for n, a in self.agents.items()}
        busy = self.simulation.now
        for _ in range(10):
            for one in self.agents.values():
                one.observe(
                    self.simulation.now,
                    {backend_key(f"s-{chance.randrange(40)}", 0): chance.uniform(2, 9) for _ in range(10)},
                )
            self.simulation.run(self.simulation.now + SECOND)
        span = (self.simulation.now - busy) / SECOND
        return took, max(a.counts["sent_bytes"] - sent[n] for n, a in self.agents.items()) / span


def spread(job):
    return Spread(*job).measure()


def day(job):
    seed, peers, more = job
    return Day(swallowing(seed, peers, **more)).run()


def days(pool, peers, seeds, known, **more):
    """Pairs on the same seeds: without gossip (the same day whatever peers do: `known` keeps it), and with it."""
    apart = {name: value for name, value in more.items() if name not in ("liars", "lost", "doubled")}
    keys = [(seed, peers, str(apart)) for seed in seeds]
    jobs = [
        (seed, peers, {**apart, "gossip": False}) for seed, key in zip(seeds, keys, strict=True) if key not in known
    ]
    jobs += [(seed, peers, {**more, "gossip": True}) for seed in seeds]
    found = list(pool.map(day, jobs))
    known.update(zip((key for key in keys if key not in known), found, strict=True))
    return list(zip((known[key] for key in keys), found[-len(keys) :], strict=True))


def mean(values):
    values = list(values)
    return sum(values) / max(len(values), 1)


def pairs(found):
    """Figures of pairs. A shut-out that never came counts with the coordinators that did find it."""
    alone = [took for a, _ in found for took in a["shut_after"][:1]]
    helped = [took for _, b in found for took in b["shut_after"][:1]]
    gain = [b["service"] - a["service"] for a, b in found]
    spread_of = math.sqrt(mean((g - mean(gain)) ** 2 for g in gain) / max(len(gain) - 1, 1))
    return {
        "alone_s": round(mean(alone), 2),
        "gossip_s": round(mean(helped), 2),
        "ratio": round(mean(helped) / max(mean(alone), 1e-9), 3),
        "false_alone": sum(a["false_shut"] for a, _ in found),
        "false_gossip": sum(b["false_shut"] for _, b in found),
        "service_gain": round(mean(gain), 4),
        "service_gain_error": round(spread_of, 4),
        "service_worst": round(min(gain), 4),
        "broken": [x for a, b in found for x in a["broken"] + b["broken"]],
    }


def refusals():
    """Forged and replayed datagrams against real seals: how many, and how many were refused."""
    names = [f"n{i}" for i in range(4)]
    signers = {name: Signer(name.encode().ljust(32, b".")) for name in names}
    members = [Member(name, (name, 1), (signers[name].public,)) for name in names]
    agents = {name: Agent(Roster("g", name, members), signers[name], name, START_UNIX_SECONDS, 0) for name in names}
    victim, forger, honest = agents["n0"], agents["n3"], agents["n1"]
    tried = refused = 0
    chance = random.Random(4)
    kept = []
    for n in range(300):
        now = n * SECOND
        if n % 3 == 0:  # in another's name
            head = wire.Header(
                forger.roster.tag, member_number("n1"), 0, START_UNIX_SECONDS, 10_000 + n, wire.Kind.RUMOUR, 0, 0, 0
            )
            data = wire.pack(head, (), None)
            data += forger.signer.sign(seal.DATAGRAM, forger.roster.digest, data)
        else:
            good = honest.send(now, honest.rumour_bucket, member_number("n0"), wire.Kind.RUMOUR)[0][1]
            kept.append(good)
            victim.received(now, START_UNIX_SECONDS, good, ("n1", 1))
            data = chance.choice(kept) if n % 3 == 1 else good[:30] + bytes([good[30] ^ 1]) + good[31:]
        before = victim.refused.total()
        victim.received(now, START_UNIX_SECONDS, data, ("n1", 1))
        tried, refused = tried + 1, refused + victim.refused.total() - before
    return tried, refused


def cost(rounds):
    """Microseconds a datagram, verified and refused at each door, with real keys; bytes kept by an agent of 20."""
    names = [f"n{i}" for i in range(20)]
    signers = {name: Signer(name.encode().ljust(32, b".")) for name in names}
    members = [Member(name, (name, 1), (signers[name].public,)) for name in names]
    honest = Agent(Roster("g", "n1", members), signers["n1"], "n1", START_UNIX_SECONDS, 0)
    honest.observe(SECOND, {backend_key(f"s-{i}", 0): 5.0 for i in range(8)})
    good = [
        honest.send(n * SECOND, honest.rumour_bucket, member_number("n0"), wire.Kind.RUMOUR)[0][1]
        for n in range(rounds)
    ]
    figures = {}
    for what, make, address in (
        ("verified_us", lambda d: d, "n1"),
        ("stranger_us", lambda d: d, "x"),
        ("replayed_us", None, "n1"),
        ("bad_signature_us", lambda d: d[:-1] + b"\0", "n1"),
        ("too_long_us", lambda d: d.ljust(257, b"x"), "n1"),
    ):
        victim = Agent(Roster("g", "n0", members), signers["n0"], "n0", START_UNIX_SECONDS, 0)
        if make is None:
            victim.received(0, START_UNIX_SECONDS, good[-1], ("n1", 1))
        told = [make(data) if make else good[-1] for data in good]
        begun = time.perf_counter()
        for n, data in enumerate(told):
            victim.received(n * SECOND, START_UNIX_SECONDS, data, (address, 1))
        figures[what] = round((time.perf_counter() - begun) / rounds * 1e6, 1)
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    agent = Agent(Roster("g", "n0", members), signers["n0"], "n0", START_UNIX_SECONDS, 0)
    for name in names[1:]:
        one = Agent(Roster("g", name, members), signers[name], name, START_UNIX_SECONDS, 0)
        one.observe(SECOND, {backend_key(f"s-{i}", 0): 5.0 for i in range(8)})
        agent.received(
            SECOND,
            START_UNIX_SECONDS,
            one.send(SECOND, one.rumour_bucket, member_number("n0"), wire.Kind.RUMOUR)[0][1],
            (name, 1),
        )
        del one
    gc.collect()
    figures["agent_of_20_bytes"] = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return figures


def main(words):
    quick = "--quick" in words
    seeds, known = range(1, 4) if quick else range(1, 13), {}
    say = (lambda text: print(text, file=sys.stderr)) if "--json" in words else print
    figures, missed = {}, []

    def aim(holds, text):
        if not holds:
            missed.append(text)

    with ProcessPoolExecutor() as pool:
        for peers in (5, 20, 100):
            say(f"spread among {peers} ...")
            found = list(pool.map(spread, [(peers, seed) for seed in seeds]))
            figures[f"spread_{peers}"] = {
                "heard_by_all_s": round(mean(t for t, _ in found), 2),
                "bytes_s_peer_most": round(max(b for _, b in found)),
            }
            aim(
                max(b for _, b in found) <= DEFAULT_BYTES_PER_SECOND * 1.05,
                f"{peers} peers: more than {DEFAULT_BYTES_PER_SECOND} bytes a second",
            )
        per = [figures[f"spread_{n}"]["heard_by_all_s"] / math.log2(n + 1) for n in (5, 20, 100)]
        figures["heard_s_by_log2"] = [round(p, 3) for p in per]
        for peers, more in ((5, {}), (20, {}), *(() if quick else ((5, {"report_lines_per_second": 24}), (100, {})))):
            few = {5: seeds, 20: range(1, 9) if quick else seeds, 100: range(1, 4)}[peers]
            say(f"days of {peers} coordinators {more or ''} ...")
            told = pairs(days(pool, peers, few, known, **more))
            figures[f"days_{peers}{'_late' if more else ''}"] = told
            aim(not told["broken"], f"{peers}: rules broken: {told['broken'][:2]}")
            aim(told["service_gain"] >= AIMS["service"], f"{peers}: service {told['service_gain']}")
            aim(
                told["false_gossip"] <= told["false_alone"] + 2 * math.sqrt(told["false_alone"] + 1),
                f"{peers}: false shut-outs {told['false_gossip']} for {told['false_alone']}",
            )
        aim(figures["days_20"]["ratio"] <= AIMS["sooner"] + 0.05, f"20: shut out after {figures['days_20']['ratio']}")
        for peers, more in (
            (20, {"liars": 3}),
            *(() if quick else ((20, {"liars": 1}), (20, {"lost": 0.5, "doubled": 0.3}))),
        ):
            say(f"days of {peers} coordinators {more} ...")
            told = pairs(days(pool, peers, seeds, known, **more))
            figures["days_" + "_".join(f"{k}{v}" for k, v in more.items())] = told
            aim(told["service_gain"] >= AIMS["service"], f"{more}: service {told['service_gain']}")
            aim(not told["broken"], f"{more}: rules broken: {told['broken'][:2]}")
    tried, refused = refusals()
    figures["forged_or_replayed"] = {"tried": tried, "refused": refused}
    aim(tried == refused, f"refused {refused} of {tried}")
    figures["cost"] = cost(500 if quick else 3000)
    figures["missed"] = missed
    if "--json" in words:
        print(json.dumps(figures))
    else:
        for name, value in figures.items():
            print(f"{name:28} {value}")
        print("figures of days and spread are from simulated servers")
    return bool(missed)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
