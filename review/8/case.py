"""Rule 3: proxies that were cut off while a backend drained and left join a coordinator that knows so."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lab2"))
sys.dont_write_bytecode = True
from lab import SLACK, TROUBLE, Agent, CannotRun, Coordinator, Lab, Proxy, World, entry, make_settings  # noqa: E402

GRACE = 2.0  # drain_grace_ms of the deployment
CUT_SECONDS = 16.0  # of 5.2 to 17
ZONES = ("surquillo", "san-isidro", "miraflores")
ROUTES = (("query", "idempotent"), ("push", "deduplicated"))
GONE = "s-04"


async def story(lab):
    settings = make_settings(
        ROUTES,
        ZONES,
        proxies=12,
        groupSize=2,
        rules={"stopSendingWithin": GRACE, "tipMultiple": 4.0, "cold": 17.0, "coldFrom": 0.17},
        backlog=2400.0,
        egressPerS=2400.0,
        perMessage=10.0,
        intakePerS=100.0,
        usualHow=0,
        defaultSize=5,
        lbMethod="rotate",
    )
    backends = [entry(f"s-{i:02}", ZONES[i % 3]) for i in range(15)]
    agents = [await Agent(lab, name, backends).start() for name in ("n0", "n1")]
    n0, n1 = (Coordinator(lab, agent.name, agent, settings, agent.whole()) for agent in agents)
    await n0.start()
    await n1.start()
    world = World(lab, late=1.0)  # of 590 to 1,400 ms
    tasks = [asyncio.ensure_future(world.collect(c, zone)) for c in (n0, n1) for zone in ZONES]
    proxies = [
        Proxy(
            lab,
            i,
            ZONES[i % 3],
            [name for name, _ in ROUTES],
            [one["uid"] for one in backends if one["az"] == ZONES[i % 3]][:5],
            22.0,
            world,
            delay=0.3,  # of 180 to 460 ms
            rotates=True,
        )
        for i in range(12)
    ]
    # n1 has no streams: it was restarted, and its proxies went to n0.
    for proxy in proxies:
        await proxy.join(n0)
        tasks.append(asyncio.ensure_future(proxy.forward()))
    await asyncio.sleep(12)
    if any(GONE not in proxy.tables["query"] or proxy.cold for proxy in proxies):
        raise CannotRun("not all proxies hold a table of n0 that names the backend")
    cut = proxies[:4]  # 33 of 100; the page allows 38
    if TROUBLE:
        for proxy in cut:
            proxy.go_silent()
    await asyncio.sleep(1)
    for agent in agents:
        agent.change(entry(GONE, ZONES[4 % 3], state="leaving"))
    await asyncio.sleep(2)
    for agent in agents:
        agent.change(entry(GONE, ZONES[4 % 3], state="left"))
    world.gone.add(GONE)
    await asyncio.sleep(CUT_SECONDS - 3)
    for proxy in cut:
        proxy.leave()
    await asyncio.sleep(0.2)
    for proxy in cut:
        await proxy.join(n1)
    await asyncio.sleep(9)
    breaches = []
    for proxy in proxies:
        for at, backend, joined_at, coordinator in proxy.sends:
            told = coordinator.agent.told.get(GONE) if coordinator and joined_at is not None else None
            if backend == GONE and told is not None and at > max(told, joined_at) + GRACE + SLACK:
                breaches.append(
                    f"at {at:.3f} proxy {proxy.number} sent to {GONE}, {at - max(told, joined_at):.2f} s after it had "
                    f"joined {coordinator.name}, which was told {at - told:.1f} s before"
                )
    for c in (n0, n1):
        lab.record(f"log of {c.name}:\n{c.log_text()[-2500:]}")
        if c.process.poll() is not None:
            raise CannotRun(f"{c.name} has ended")
    for task in tasks:
        task.cancel()
    return breaches


Lab(__file__).play(story)
