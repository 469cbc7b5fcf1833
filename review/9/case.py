"""Rule 5: six in ten backends are replaced within 7 s where the settings limit the messages to one proxy."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lab2"))
sys.dont_write_bytecode = True
from lab import TROUBLE, Agent, CannotRun, Coordinator, Lab, Proxy, World, entry, make_settings  # noqa: E402

MESSAGES, SPAN = 20, 10.0  # messages_most of the deployment; countedOver as in the example of WIRE
BACKENDS, REPLACED, STEP = 30, 18, 0.4  # six in ten; the last one 6.8 s after the first
ZONES = ("bang-na", "lat-krabang", "bang-phli", "samrong")
ROUTES = (("preview", "idempotent"), ("print-file", "idempotent"), ("place-job", "at_most_once"))


async def story(lab):
    settings = make_settings(
        ROUTES,
        ZONES,
        proxies=20,
        rules={"stopSendingWithin": 3.0, "fall": 1.5, "cold": 15.0, "coldFrom": 0.17},
        admission="silent",
        backlog=13000.0,
        egressPerS=13000.0,
        perMessage=3.0,
        intakePerS=500.0,
        cycle=2.0,
        messagesMost=MESSAGES,
        countedOver=SPAN,
        defaultSize=10,
        lbMethod="p2c",
    )
    backends = [entry(f"s-{i:02}", ZONES[i % 4]) for i in range(BACKENDS)]
    agent = await Agent(lab, "n0", backends).start()
    n0 = await Coordinator(lab, "n0", agent, settings, agent.whole()).start()
    world = World(lab, late=0.7)  # of 250 to 1,300 ms
    tasks = [asyncio.ensure_future(world.collect(n0, zone)) for zone in ZONES]
    standing = {zone: [one["uid"] for one in backends if one["az"] == zone][:10] for zone in ZONES}
    proxies = [
        Proxy(lab, i, ZONES[i % 4], [name for name, _ in ROUTES], standing[ZONES[i % 4]], 8.0, world, delay=0.2)
        for i in range(20)
    ]
    for proxy in proxies:
        await proxy.join(n0)
        tasks.append(asyncio.ensure_future(proxy.forward()))
    await asyncio.sleep(25)
    for step in range(REPLACED if TROUBLE else 0):
        due = lab.record.now() + STEP
        old, zone = backends[step]["uid"], backends[step]["az"]
        agent.change(entry(old, zone, state="leaving"))
        await asyncio.sleep(STEP / 2)
        # Its successor, which has started a second ago, and the end of one that drained before.
        agent.change(entry(f"n-{step:02}", zone, boot_ms=round(time.time() * 1000) - 1000))
        if step >= 3:
            world.gone.add(backends[step - 3]["uid"])
            agent.change(entry(backends[step - 3]["uid"], backends[step - 3]["az"], state="left"))
        await asyncio.sleep(max(due - lab.record.now(), 0))
    await asyncio.sleep(8 if TROUBLE else 15)
    breaches = []
    for proxy in proxies:
        if proxy.joined_at is None:
            raise CannotRun(f"the stream of proxy {proxy.number} has ended")
        times = [at for at, _ in proxy.messages]
        most, since = max((sum(t <= u < t + SPAN for u in times), t) for t in times)
        lab.record(f"proxy {proxy.number} got {most} messages within {SPAN} s from {since:.3f}")
        if most > MESSAGES:
            breaches.append(f"proxy {proxy.number} was written {most} messages within {SPAN} s; {MESSAGES} are allowed")
    lab.record(f"log of n0:\n{n0.log_text()[-1500:]}")
    if n0.process.poll() is not None:
        raise CannotRun("the coordinator has ended")
    for task in tasks:
        task.cancel()
    return breaches


Lab(__file__).play(story)
