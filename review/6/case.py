"""Rule 1: proxies that are served through files, and a coordinator that is killed and started again."""

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path[:0] = [str(Path(__file__).resolve().parents[1] / "lab2"), str(Path(__file__).resolve().parents[2])]
sys.dont_write_bytecode = True
from lab import SLACK, TROUBLE, Agent, CannotRun, Coordinator, Lab, entry, make_settings  # noqa: E402

from cranecleat.files.follow import Follower  # noqa: E402
from cranecleat.files.format import Report  # noqa: E402

BARE = 3.1  # `specifics.bare`, as in the example of WIRE
START_EXCUSE = 1.0  # PROTOCOL: the limits start no earlier than 1 s after the coordinator first answered
DOWN_SECONDS = 3.0
ZONES = ("bang-na", "lat-krabang", "bang-phli")
ROUTES = (("preview", "idempotent"), ("print-file", "idempotent"), ("place-job", "at_most_once"))


class FilesProxy:
    """A proxy that reads its orders with the project's own reader and writes its report, every 200 ms."""

    def __init__(self, lab, folder, number, zone):
        self.lab, self.number = lab, number
        self.follower = Follower(str(folder), number, str(lab.folder / f"kept-{number}"))
        self.report = Report(
            f"p{number}", zone, time.time_ns() // 1000, 0, 200, typical_rate=8.0, uses_initial_table=True
        )
        self.random = random.Random(number)
        self.shown = None
        self.empty_since = {}  # route -> since when it has no line although its orders are active
        self.gaps = []  # (from, to, route)

    async def run(self):
        while True:
            self.follower.poll()
            view = self.follower.view
            now = self.lab.record.now()
            shown = view.in_force.active, {route: sorted(view.pick_from(route)) for route, _ in ROUTES}
            if shown != self.shown:
                self.shown = shown
                counts = " ".join(f"{route}:{len(lines)}" for route, lines in shown[1].items())
                self.lab.record(f"proxy {self.number}: active={int(shown[0])} lines {counts}")
            if view.in_force.weights:
                self.report.uses_initial_table = False  # from now on it holds a table that was ordered
            for route, _ in ROUTES:
                lines = view.pick_from(route)
                if view.in_force.active and not lines:
                    self.empty_since.setdefault(route, now)
                elif route in self.empty_since:
                    self.gaps.append((self.empty_since.pop(route), now, route))
                calls = self.report.calls
                calls[route] = calls.get(route, 0) + 1
                if lines:
                    backend = self.random.choice(list(lines))
                    tries, errors, total = self.report.attempts.get(backend, (0, 0, 0.0))
                    self.report.attempts[backend] = tries + 1, errors, total + 60.0
            self.report.beat += 1
            self.follower.report(self.report)
            await asyncio.sleep(0.2)


async def story(lab):
    settings = make_settings(
        ROUTES, ZONES, proxies=6, cycle=2.0, admission="silent", perMessage=3.0, intakePerS=500.0, bare=BARE
    )
    folder, operator = lab.folder / "files", lab.folder / "operator.kdl"
    operator.write_text(f'files {{\n folder "{folder}"\n sync "data"\n poll "100ms"\n lose "1500ms"\n hold "10s"\n}}\n')
    agent = await Agent(lab, "n0", [entry(f"s-{i:02}", ZONES[i % 3]) for i in range(12)]).start()
    n0 = Coordinator(lab, "n0", agent, settings, agent.whole(), operator=operator)
    await n0.start()
    first_answer = lab.record.now()
    proxies = [FilesProxy(lab, folder, i, ZONES[i % 3]) for i in range(6)]
    tasks = [asyncio.ensure_future(proxy.run()) for proxy in proxies]
    await asyncio.sleep(20)
    for proxy in proxies:
        if not all(proxy.follower.view.pick_from(route) for route, _ in ROUTES):
            raise CannotRun(f"proxy {proxy.number} got no table before the disruption: {proxy.follower.error}")
    if TROUBLE:
        n0.kill()
        await asyncio.sleep(DOWN_SECONDS)
        n0.configuration["known"] = agent.whole()
        await n0.start()
        first_answer = lab.record.now()
    await asyncio.sleep(15)
    end = lab.record.now()
    breaches = []
    for proxy in proxies:
        for since, until, route in proxy.gaps + [(since, end, r) for r, since in proxy.empty_since.items()]:
            lab.record(f"proxy {proxy.number}: no line for {route} from {since:.2f} to {until:.2f}")
            if until - max(since, first_answer + START_EXCUSE if since > 15 else since) > BARE + SLACK:
                breaches.append(
                    f"proxy {proxy.number} had no line for {route} from {since:.2f} to {until:.2f}, "
                    f"{until - since:.2f} s; 12 warm backends are listed as ready"
                )
    lab.record(f"log of n0:\n{n0.log_text()[-3000:]}")
    if n0.process.poll() is not None:
        raise CannotRun("the coordinator has ended")
    for task in tasks:
        if task.done():
            task.result()
        task.cancel()
    return breaches


Lab(__file__).play(story)
