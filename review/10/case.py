"""Heartbeats whose bytes arrive in pieces, on the stream of a joined proxy and on a new connection."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lab2"))
sys.dont_write_bytecode = True
from lab import TROUBLE, Agent, CannotRun, Coordinator, Lab, entry, make_settings  # noqa: E402

ZONES = ("mtl-est", "laval", "longueuil")
ROUTES = (("geocode", "idempotent"), ("suggest", "idempotent"), ("new-address", "at_most_once"))
PAUSE = 0.05  # seconds from one piece to the next
PATIENCE = 2.0  # seconds in which an answer has to come; PROTOCOL states no time
ROUNDS = 10


async def answered(lab, reader, writer, pieces, who):
    """Sends a heartbeat in these pieces; returns whether its answer came. Other messages are skipped."""
    try:
        for piece in pieces:
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(PAUSE)
        lab.record(f"{who} sent {pieces}")
        async with asyncio.timeout(PATIENCE):
            while line := await reader.readline():
                if line == b"hb_ok\r\n":
                    lab.record(f"{who} got hb_ok")
                    return True
        lab.record(f"{who}: the coordinator has closed the connection")
    except (ConnectionError, asyncio.TimeoutError) as failure:
        lab.record(f"{who}: {type(failure).__name__}")
    return False


async def story(lab):
    settings = make_settings(ROUTES, ZONES, proxies=12)
    agent = await Agent(lab, "n0", [entry(f"s-{i:02}", ZONES[i % 3]) for i in range(15)]).start()
    n0 = await Coordinator(lab, "n0", agent, settings, agent.whole()).start()
    pieces = [b"hb\r", b"\n"] if TROUBLE else [b"hb\r\n"]
    breaches = []
    for number in range(ROUNDS):
        reader, writer = await asyncio.open_connection("127.0.0.1", n0.port)
        writer.write(f"attach node={number} locality={ZONES[number % 3]} w=15.0 cold=1\r\n".encode())
        await asyncio.sleep(0.5)
        if not await answered(lab, reader, writer, pieces, f"proxy {number}"):
            breaches.append(f"proxy {number} got no answer to its heartbeat, and its stream was ended")
        writer.transport.abort()
        reader, writer = await asyncio.open_connection("127.0.0.1", n0.port)
        if not await answered(lab, reader, writer, pieces, f"platform {number}"):
            breaches.append(f"the platform got no answer to heartbeat {number}")
        writer.transport.abort()
    lab.record(f"log of n0:\n{n0.log_text()[-2500:]}")
    if n0.process.poll() is not None:
        raise CannotRun("the coordinator has ended")
    return breaches


Lab(__file__).play(story)
