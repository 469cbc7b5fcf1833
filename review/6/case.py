"""Rule 1: backends that fell silent are listed again, and the coordinator is killed before it let them back in."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lab2"))
sys.dont_write_bytecode = True
from lab import SLACK, TROUBLE, Agent, CannotRun, Coordinator, Lab, Proxy, World, entry, make_settings  # noqa: E402

BARE = 3.1  # `specifics.bare`, as in the example of WIRE
START_EXCUSE = 1.0  # PROTOCOL: the limits start no earlier than 1 s after the coordinator first answered
ZONES = ("mtl-est", "laval", "longueuil")
ROUTES = (("geocode", "idempotent"), ("suggest", "idempotent"), ("new-address", "at_most_once"))
OWN_ZONE = "suggest"
SILENT = ("s-12", "s-13", "s-14")  # a fifth of the backends: those of the last zone
LISTED_AWAY = 2.0  # seconds from their leaving the list to their return
KILL_AFTER = 0.25  # seconds from the return to the kill
DOWN = 4.0  # seconds until the coordinator is started again


async def come_back(lab, proxy, coordinator):
    """The proxy has lost its stream; it dials again until the coordinator is there."""
    while True:
        await asyncio.sleep(proxy.random.uniform(0.2, 2.1))
        try:
            return await proxy.join(coordinator)
        except OSError:
            pass


async def watch(lab, proxies, state, breaches):
    """Looks every 50 ms whether a proxy has no line for the class although backends of its zone are listed as ready."""
    since = {}
    while True:
        await asyncio.sleep(0.05)
        now = lab.record.now()
        for proxy in proxies:
            key = proxy.number
            listed = proxy.zone != ZONES[2] or state["ready"]
            if proxy.joined_at is None or proxy.usable(OWN_ZONE) or not listed:
                since.pop(key, None)
                continue
            if key not in since:
                since[key] = now
                lab.record(f"proxy {key} has no line for {OWN_ZONE}: table {proxy.tables[OWN_ZONE]}, out {proxy.out}")
            length = now - max(since[key], state["limits_from"])
            if length > BARE + SLACK:
                breaches[key] = (
                    f"proxy {key} had no line for {OWN_ZONE} for {length:.1f} s, from {since[key]:.2f} on, although "
                    f"{', '.join(SILENT)} of its zone are listed as ready and never restarted"
                )


async def story(lab):
    settings = make_settings(
        ROUTES, ZONES, proxies=18, bare=BARE, zoneBound=[name == OWN_ZONE for name, _ in ROUTES], lbMethod="p2c"
    )
    zone_of = {f"s-{i:02}": ZONES[2] if i >= 12 else ZONES[i % 2] for i in range(15)}
    backends = [entry(uid, zone) for uid, zone in zone_of.items()]
    agent = await Agent(lab, "n0", backends).start()
    n0 = await Coordinator(lab, "n0", agent, settings, agent.whole()).start()
    world = World(lab, late=0.7)  # of 260 to 1,500 ms
    tasks = [asyncio.ensure_future(world.collect(n0, zone)) for zone in ZONES]
    standing = {zone: [uid for uid, z in zone_of.items() if z == zone][:6] for zone in ZONES}
    proxies = [
        Proxy(lab, i, ZONES[i % 3], [name for name, _ in ROUTES], standing[ZONES[i % 3]], 10.0, world, delay=0.28)
        for i in range(18)
    ]
    for proxy in proxies:
        await proxy.join(n0)
        tasks.append(asyncio.ensure_future(proxy.forward()))
    await asyncio.sleep(15)
    state, breaches = {"ready": True, "limits_from": 0.0}, {}
    tasks.append(asyncio.ensure_future(watch(lab, proxies, state, breaches)))
    # They are silent for 6 s and are listed as gone towards the end of that.
    world.gone.update(SILENT)
    await asyncio.sleep(5.6)
    state["ready"] = False
    agent.change(*(entry(uid, ZONES[2], state="left") for uid in SILENT))
    await asyncio.sleep(LISTED_AWAY)
    world.gone.difference_update(SILENT)
    agent.change(*(entry(uid, ZONES[2]) for uid in SILENT))
    state["ready"] = True
    if TROUBLE:
        await asyncio.sleep(KILL_AFTER)
        n0.configuration["known"] = agent.whole()
        n0.kill()
        for proxy in proxies:
            tasks.append(asyncio.ensure_future(come_back(lab, proxy, n0)))
        await asyncio.sleep(DOWN)
        state["limits_from"] = float("inf")
        await n0.start()
        state["limits_from"] = lab.record.now() + START_EXCUSE
    await asyncio.sleep(25)
    for proxy in proxies:
        if proxy.joined_at is None:
            raise CannotRun(f"proxy {proxy.number} has no stream at the end")
        lab.record(f"proxy {proxy.number} at the end: cold={int(proxy.cold)} out={sorted(proxy.out)}")
    lab.record(f"log of n0:\n{n0.log_text()[-4500:]}")
    if n0.process.poll() is not None:
        raise CannotRun("the coordinator has ended")
    for task in tasks:
        if task.done() and not task.cancelled():
            task.result()
        task.cancel()
    return list(breaches.values())


Lab(__file__).play(story)
