"""A backend that returns after a restart of the coordinator stays shut out at the proxies for good. See claim.txt."""

import asyncio
import os
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins import (  # noqa: E402
    BROKEN,
    KEPT,
    NOT_RUN,
    Backend,
    Clients,
    Discovery,
    Platform,
    Proxy,
    Record,
    RuleOne,
    collector,
    run_case,
    summary,
)

TROUBLE = os.environ.get("TROUBLE", "1")
CRASH, RESTART = TROUBLE in ("1", "crash"), TROUBLE in ("1", "restart")
ZONES = ("a", "b", "c", "d")
CLASSES, OWN_ZONE = ("lookup", "order"), ("order",)
RATE = 2.0  # calls a second of each class at each proxy

SETTINGS = {
    "groupSize": 1,
    "round": 0.002,
    "membershipMode": "push",
    "myZone": 0,
    "localities": list(ZONES),
    "skus": ["std"],
    "requestClasses": [
        {"name": "lookup", "credit": 3.0, "goalTime": 2.0, "giveUp": 5.0, "effect": "idempotent"},
        {"name": "order", "credit": 2.0, "goalTime": 1.5, "giveUp": 4.0, "effect": "at_most_once"},
    ],
    "report": {"how": "silent", "names": []},
    "rules": {"askWithin": 10.0, "cold": 7.0, "coldFrom": 0.25, "fall": 3.0, "stopSendingWithin": 3.0, "tipMultiple": 3.0},
    "specifics": {
        "admission": "fraction", "backlog": 5000.0, "bare": 3.1, "countedOver": 10.0, "cycle": 1.0, "defaultSize": 6,
        "egressPerS": 5000.0, "failsToEject": 0, "homedByZone": True, "intakePerS": 120.0, "keyRanges": 0,
        "lbMethod": "random", "messagesMost": 0, "perMessage": 10.0, "proxyCount": 8, "pushDelay": 0.177,
        "transitMax": 0.4425, "usualHow": 1, "writeClasses": [False, True], "zoneBound": [False, True],
    },
}  # fmt: skip


async def main():
    record = Record(Path(__file__).parent)
    draw = random.Random(1)
    discovery = Discovery(record)
    await discovery.start()
    backends = {f"s-{zone}{n}": Backend(f"s-{zone}{n}", zone, record) for zone in ZONES for n in (1, 2)}
    for backend in backends.values():
        await backend.start()
        discovery.entries[backend.name] = backend.entry()
    struck = [backend for backend in backends.values() if backend.zone == "d"]  # 2 of 8: a quarter
    platform = Platform(record, discovery, SETTINGS)
    tasks = []
    try:
        await platform.start(discovery.whole())
        proxies = [
            Proxy(n, ZONES[n % 4], platform, backends, CLASSES, OWN_ZONE, record, RATE, random.Random(n))
            for n in range(8)
        ]
        clients = Clients(proxies, record, RATE, CLASSES)
        rule = RuleOne(proxies, platform, discovery, backends, record)
        tasks = [asyncio.ensure_future(task) for task in (*(p.run() for p in proxies), clients.run(), rule.run())]
        tasks += [asyncio.ensure_future(collector(zone, proxies, platform)) for zone in ZONES]

        async def until(seconds):
            await asyncio.sleep(max(seconds - record.now(), 0))

        await until(8)
        if any(proxy.cold for proxy in proxies):
            record("not all proxies were bound in time", True)
            return NOT_RUN
        if CRASH:
            for backend in struck:
                backend.crash()
            await until(14)  # discovery notices a process that died silently 4.8 to 14 s later
            discovery.change(*(backend.entry("left") for backend in struck))
        await until(19)
        if RESTART:
            await platform.restart(down=draw.uniform(0.0, 0.5))
        await until(28)
        if CRASH:  # back after 20 s
            for backend in struck:
                await backend.start(cold=True)
            await until(28.5)
            discovery.change(*(backend.entry() for backend in struck))
        await until(50)
        if platform.crashed():
            record("the coordinator has ended: " + platform.log_tail(), True)
        summary(clients, record, since=40.0)
        for backend in struck:
            record(f"{backend.name} has run {backend.ran} calls in all", True)
        record(f"longest time without a line: {rule.longest:.2f} s, limit {rule.limit:.2f} s", True)
        if platform.crashed() and not rule.broken:
            return NOT_RUN
        return BROKEN if rule.broken else KEPT
    finally:
        for task in tasks:
            task.cancel()
        await platform.close()
        record.close()


run_case(main)
