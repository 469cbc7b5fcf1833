"""Fleets whose full tables no channel could bring in time: sections, and rule 3 through a channel of a stated pace."""

import random
import zlib
from collections import Counter, deque
from dataclasses import replace
from itertools import pairwise

import pytest

from cranecleat.policy import Planner
from planner_harness import BOOTSTRAP, SECOND, PlannerHarness, StreamsHarness, assert_matches_trace, message_cost
from test_stream_messages import SimulatedProxy

FLEET = {
    "proxies": 200,
    "channel_lines_per_second": 600.0,
    "backlog": 6000,
    "grace": 10 * SECOND,
    "warm_up_time": 17 * SECOND,
}
STEP, LATE = SECOND // 20, 3 * SECOND // 10  # of the scene; what the rules add on sockets


class FleetSimulation:
    """A coordinator, its channel at the pace of the settings, and proxies that hold what has reached them."""

    def __init__(self, backends, **figures):
        self.bootstrap = replace(BOOTSTRAP, **{**FLEET, **figures})
        self.now, self.told, self.state = 100 * SECOND, {}, {b: "running" for b in range(backends)}
        self.proxies, self.joined_at, self.max_withdrawal_delay, self.max_queued_lines, self.message_cost = (
            {},
            {},
            0,
            0,
            Counter(),
        )
        self.start()

    def start(self):
        """Also anew: it knows the list as it is now, and nothing else."""
        self.harness, self.planner, self.sending, self.credit = (
            StreamsHarness(0),
            Planner(self.bootstrap, 7),
            deque(),
            0.0,
        )
        self.joined_at, self.events = {}, []
        self.list_backends(self.state, "held")

    def list_backends(self, states, scope="changes"):
        for b, state in states.items():
            if (state == "running") != (self.state.get(b) == "running"):
                self.told[b] = self.now
            self.state[b] = state
        known = [(self.harness.names(f"s-{b}"), state, b % 2, 0, 1.0, 0) for b, state in states.items()]
        self.harness.streams.backends_listed(scope, known)
        self.events.append(("backends_listed", scope, known))

    def join(self, p, draw=0):
        """With six backends that it drew at its start, or with what it was ordered elsewhere."""
        standing = p not in self.proxies
        if standing:
            one, up = SimulatedProxy(), [b for b, state in self.state.items() if state == "running"]
            for table in one.tables.values():
                table.update({f"s-{up[(draw + 13 * i) % len(up)]}": 1.0 for i in range(6)})
            self.proxies[p] = one
        self.joined_at[p] = self.now
        self.sending = deque(entry for entry in self.sending if entry[0] != p)
        self.events.append(("proxy_joined", p, p % 2, 5.0, standing, self.harness.join(p, standing)))

    def leave(self, p):
        if self.joined_at.pop(p, None) is not None:
            self.harness.streams.leave(p, self.harness.streams.joined[p].connection)
            self.events.append(("proxy_left", p))

    def step(self):
        calls, self.events, self.now = self.events, [], self.now + STEP
        self.credit = (
            min(
                self.credit + self.bootstrap.channel_lines_per_second * STEP / SECOND,
                self.bootstrap.channel_lines_per_second,
            )
            if self.sending
            else 0.0
        )
        while self.sending and self.sending[0][1] <= self.credit:
            p, lines, message, mark = self.sending.popleft()
            self.credit -= lines
            if p in self.joined_at:
                self.proxies[p].apply(message)
                calls.append(("acknowledged", p, mark))
        self.planner.round(self.now, calls, self.harness.streams)
        mark, owed = self.harness.streams.ack_number, self.planner.channel.unacknowledged
        fresh = [
            (p, message_cost(text, self.bootstrap.message_overhead), text, mark)
            for p, text in self.harness.flush().items()
        ]
        counted = owed[-1][1] if owed and owed[-1][0] == mark else {}
        assert all(lines <= counted.get(p, 0) for p, lines, *_ in fresh), "a message costs more than was counted"
        self.sending += fresh
        self.max_queued_lines = max(self.max_queued_lines, sum(lines for _, lines, *_ in self.sending))
        self.check()

    def check(self):
        for p, since in self.joined_at.items():
            one = self.proxies[p]
            held = set().union(*one.tables.values()) - one.withdrawn
            late = [
                self.now - max(self.told[b], since)
                for b, state in self.state.items()
                if state != "running" and f"s-{b}" in held
            ]
            self.max_withdrawal_delay = max(self.max_withdrawal_delay, *late, 0)

    def run_for(self, seconds):
        for _ in range(round(seconds * SECOND / STEP)):
            self.step()


def test_a_small_fleet_keeps_one_table_a_route():
    planner = Planner(replace(BOOTSTRAP, proxies=200), 7)
    planner.round(
        100 * SECOND,
        [("backends_listed", "held", [(b, "running", 0, 0, 1.0, 0) for b in range(4)])],
        PlannerHarness(decisions=()),
    )
    assert not planner.subset_count and sorted(planner.tables) == [0, 1]


def test_a_fleet_that_no_channel_could_bring_full_tables_is_parted():
    wire = FleetSimulation(80)
    for p in range(200):
        wire.join(p, 7 * p)
    wire.run_for(11)
    planner = wire.planner
    where = Counter(b for lines in planner.tables.values() for b in lines)
    users = sorted(len(planner.users.of_table(table)) for table in planner.tables)
    assert set(where) == set(range(80)) and set(where.values()) == {2}
    assert all(len(one.bound_tables) == 1 for one in planner.proxies.values())
    assert all(one.tables["read"] == one.tables["find"] for one in wire.proxies.values())
    assert_matches_trace(
        "sections",
        [
            f"sections {planner.subset_count}, lines of a table {sorted(map(len, planner.tables.values()))}",
            f"users of a table {users}",
            f"waiting {len(planner.users.waiting)}",
            f"most that waited in the channel {wire.max_queued_lines} of {wire.bootstrap.backlog}",
        ],
    )


def test_a_release_while_hundreds_wait_for_bindings():
    """Withdrawing 48 backends from 200 proxies that still wait takes more lines than binding them."""
    wire = FleetSimulation(80)
    for p in range(200):
        wire.join(p, 7 * p)
    wire.run_for(2)
    for first in (0, 24):
        wire.list_backends({80 + b: "running" for b in range(first, first + 24)})
        wire.run_for(1)
        wire.list_backends({b: "draining" for b in range(first, first + 24)})
        wire.run_for(2)
    wire.run_for(12)
    print(wire.max_withdrawal_delay, wire.max_queued_lines)
    assert wire.max_withdrawal_delay <= wire.bootstrap.grace + LATE and wire.max_queued_lines <= wire.bootstrap.backlog


def test_all_proxies_of_the_others_come_amid_a_release():
    wire = FleetSimulation(80)
    for p in range(40):
        wire.join(p, 7 * p)
    wire.run_for(4)
    wire.list_backends({b: "draining" for b in range(24)})
    for p in range(40, 200):  # with tables that others had ordered
        wire.proxies[p] = SimulatedProxy()
        for table in wire.proxies[p].tables.values():
            table.update({f"s-{(p + 5 * i) % 80}": 1.0 for i in range(16)})
        wire.join(p)
    wire.run_for(1.5)
    wire.list_backends({b: "draining" for b in range(24, 40)})
    wire.run_for(14)
    print(wire.max_withdrawal_delay, wire.max_queued_lines)
    assert wire.max_withdrawal_delay <= wire.bootstrap.grace + LATE and wire.max_queued_lines <= wire.bootstrap.backlog


@pytest.mark.parametrize("seed", range(6))
def test_who_may_hold_a_line_of_what_leaves_loses_it_within_the_grace_whatever_comes(seed):
    """Any order of joins, leaves, releases and restarts; a release takes a quarter of the fleet in 2 s at the most."""
    wire, draws = FleetSimulation(60, proxies=120), iter(zlib.crc32(f"{seed}:{i}".encode()) for i in range(10**6))
    fresh = 60
    for second in range(24):
        for _ in range(next(draws) % 40 if second < 12 else next(draws) % 6):
            wire.join(next(draws) % 120, next(draws))
        for _ in range(next(draws) % 4):
            wire.leave(next(draws) % 120)
        if second % 2 == 0 and second < 16:
            up = [b for b, state in wire.state.items() if state == "running"]
            some = [up[next(draws) % len(up)] for _ in range(next(draws) % 15)]
            wire.list_backends({fresh + i: "running" for i in range(len(some))})
            wire.list_backends({b: "draining" if b % 3 else "gone" for b in some})
            fresh += len(some)
        if next(draws) % 9 == 0:
            joined = list(wire.joined_at)
            wire.start()
            for p in joined:
                wire.join(p)
        wire.run_for(1)
    wire.run_for(12)
    print(seed, wire.max_withdrawal_delay, wire.max_queued_lines)
    assert wire.max_withdrawal_delay <= wire.bootstrap.grace + LATE and wire.max_queued_lines <= wire.bootstrap.backlog


def test_silence_is_counted_in_laps_of_the_stated_intake():
    """Lines of 40 proxies and 20 backends come round in five seconds; one backend never answers."""
    harness = PlannerHarness(decisions=("log",), report_lines_per_second=20.0, zones=1)
    harness.list_backends(*((b, "running", None) for b in range(20)))
    harness.join(*range(40))
    for second in range(30):
        heard = [b for b in range(20) if b % 5 == second % 5 and b != 7]
        met = [("attempts_reported", b, 0, 100, 0, SECOND // 10, 5 * SECOND, None) for b in heard]
        usage = [("demand_reported", p, r, 25, 5 * SECOND) for p in range(40) if p % 5 == second % 5 for r in (0, 1)]
        harness.play_round(*met, *usage, after=1.0)
    assert_matches_trace("sections_laps", harness)


def test_a_route_that_stays_in_its_zone_keeps_its_own_sections_and_a_lost_zone_holds_nobody_up():
    """Two tables each; the zone's backends all leave and come back."""
    wire = FleetSimulation(60, proxies=120, routes=(BOOTSTRAP.routes[0], replace(BOOTSTRAP.routes[1], own_zone=True)))
    for p in range(100):
        wire.join(p, 7 * p)
    wire.run_for(12)
    planner = wire.planner
    assert not planner.users.waiting and all(len(one.bound_tables) == 2 for one in planner.proxies.values())
    for p, one in wire.proxies.items():
        assert {int(name[2:]) % 2 for name in one.tables["find"]} == {p % 2}
    wire.list_backends({b: "gone" for b in range(0, 60, 2)})
    wire.run_for(6)
    for p in range(100, 120):
        wire.join(p, 7 * p)
    wire.run_for(12)
    assert wire.max_withdrawal_delay <= wire.bootstrap.grace + LATE and wire.max_queued_lines <= wire.bootstrap.backlog
    assert set(planner.users.waiting) == set(range(100, 120, 2)), "who came in the lost zone, for that route alone"
    wire.list_backends({b: "running" for b in range(0, 60, 2)})
    wire.run_for(20)
    assert not planner.users.waiting
    for p in range(0, 120, 2):
        assert {int(name[2:]) % 2 for name in set(wire.proxies[p].tables["find"]) - wire.proxies[p].withdrawn} == {0}
    assert wire.max_queued_lines <= wire.bootstrap.backlog


def test_a_fleet_of_1024_that_is_replaced_in_seven_seconds_keeps_the_channel_short():
    """All 1,600 proxies at one of five coordinators: far beyond what the channel can bring in time, but rule 5 holds,
    and the planner's work is bounded by what it may order."""
    wire = FleetSimulation(
        1024, proxies=1600, coordinators=5, channel_lines_per_second=5000.0, backlog=50600, grace=11 * SECOND
    )
    wire.check = lambda: None
    for p in range(1600):
        wire.join(p, 7 * p)
    wire.run_for(3)
    decided, decide = [], wire.planner.update_allocation
    wire.planner.update_allocation = lambda: (decided.append(1), decide())
    for first in range(0, 1024, 512):
        wire.list_backends({1024 + b: "running" for b in range(first, first + 512)})
        wire.list_backends({b: "draining" for b in range(first, first + 512)})
        wire.run_for(1.5)
    assert wire.max_queued_lines <= wire.bootstrap.backlog and planner_sees(wire) == 1024
    assert len(decided) <= 6, "a decision a turn and a list change, none for orders that wait for room"


@pytest.mark.parametrize("coordinators", (64, 230))
def test_one_of_many_coordinators_amid_a_release_while_seven_in_ten_of_the_others_die(coordinators):
    """Each has few proxies and full tables: 200 backends, half of them replaced in four steps, a grace of 3 s and a
    channel of a second. Amid it more than twice its proxies come with full tables that others had ordered."""
    wire = FleetSimulation(
        200, proxies=1600, coordinators=coordinators, channel_lines_per_second=4500.0, backlog=4500, grace=3 * SECOND
    )
    mine = 1600 // coordinators
    for p in range(mine):
        wire.join(p, 7 * p)
    wire.run_for(5)
    for first in range(0, 100, 25):
        wire.list_backends({200 + b: "running" for b in range(first, first + 25)})
        wire.run_for(0.6)
        wire.list_backends({b: "draining" for b in range(first, first + 25)})
        if first == 25:
            for p in range(mine, mine + int(2.4 * mine)):
                wire.proxies[p] = SimulatedProxy()
                for table in wire.proxies[p].tables.values():
                    table.update({f"s-{b}": 1.0 for b in range(200)})
                wire.join(p)
        wire.run_for(1.2)
    wire.run_for(20)
    print(coordinators, wire.max_withdrawal_delay, wire.max_queued_lines)
    assert not wire.planner.subset_count and not wire.planner.users.waiting
    assert wire.max_withdrawal_delay <= wire.bootstrap.grace + LATE and wire.max_queued_lines <= wire.bootstrap.backlog


def planner_sees(wire):
    return sum(x.state == "running" for x in wire.planner.backends.values())


@pytest.mark.parametrize("seed", range(4, 7))
def test_no_message_costs_more_than_was_counted_whatever_leaves_and_comes_back(seed):
    """Any lists in any order, proxies with and without ordered tables, rounds of 2 ms to a cycle, a full channel: what
    is let back later, to who was told earlier, is charged then."""
    draw = random.Random(seed)
    boot = replace(BOOTSTRAP, **{**FLEET, "channel_lines_per_second": 100.0, "backlog": draw.choice([600, 3000, 8000])})
    harness, planner = StreamsHarness(0), Planner(boot, seed)
    state, joined, sent, now, fresh = {b: "running" for b in range(90)}, set(), deque(), 100 * SECOND, 90
    told = [("held", dict(state))]
    for _ in range(160):
        calls = []
        if draw.random() < 0.4:
            some = draw.sample(list(state), draw.choice([1, 3, 20]))
            changes = {b: draw.choice(["running", "draining", "gone"]) for b in some}
            changes.update((fresh + i, "running") for i in range(draw.choice([0, 0, 1, 30])))
            fresh = max(fresh, *changes) + 1
            state.update(changes)
            told.append(("changes", changes))
        for scope, states in told:
            known = [(harness.names(f"s-{b}"), now_is, b % 2, 0, 1.0, 0) for b, now_is in states.items()]
            harness.streams.backends_listed(scope, known)
            calls.append(("backends_listed", scope, known))
        told = []
        for p in draw.sample(range(200), draw.choice([0, 0, 1, 10, 60])):
            standing = draw.random() < 0.5
            calls.append(("proxy_joined", p, p % 2, 5.0, standing, harness.join(p, standing)))
            joined.add(p)
        for _ in range(draw.choice([0, 5, 40, 200])):
            if sent:
                calls.append(("acknowledged", *sent.popleft()))
        planner.round(now, calls, harness.streams)
        mark, owed, now = (
            harness.streams.ack_number,
            planner.channel.unacknowledged,
            now + draw.choice([2000, 50000, 250000, SECOND]),
        )
        counted = owed[-1][1] if owed and owed[-1][0] == mark else {}
        for p, message in harness.flush().items():
            assert message_cost(message, BOOTSTRAP.message_overhead) <= counted.get(p, 0), message
            sent.append((p, mark))
    assert planner.subset_count


def test_a_storms_work_grows_with_who_comes_not_faster():
    """What is tried and made until all that join at once are bound, at one pace; counted, not timed."""
    work = []
    for count in (100, 200, 400):
        wire = FleetSimulation(80, proxies=400)
        done = Counter()

        def counting(owner, name, done=done):
            act = getattr(owner, name)
            setattr(owner, name, lambda *values, **named: (done.update([name]), act(*values, **named))[1])

        counting(wire.planner, "binding_cost")
        counting(wire.harness.streams, "parts")
        counting(wire.planner.channel, "messages_needed")
        for p in range(count):
            wire.join(p, 7 * p)
        wire.step()
        while wire.planner.users.waiting:
            wire.step()
        work.append(sum(done.values()))
    print(work)
    assert all(2.3 * few >= many for few, many in pairwise(work)), work


def test_an_emptied_list_is_believed_and_a_whole_one_gives_all_their_tables_back():
    wire = FleetSimulation(80)
    for p in range(100):
        wire.join(p, 7 * p)
    wire.run_for(8)
    wire.list_backends({b: "gone" for b in range(80)}, "whole")
    wire.run_for(10.3)
    assert wire.max_withdrawal_delay <= wire.bootstrap.grace + LATE and not any(
        set().union(*one.tables.values()) - one.withdrawn for one in wire.proxies.values()
    )
    wire.list_backends({b: "running" for b in range(80)}, "whole")
    wire.run_for(14)
    assert not wire.planner.users.waiting and wire.max_queued_lines <= wire.bootstrap.backlog
    for one in wire.proxies.values():
        assert all(len(set(lines) - one.withdrawn) >= 8 for lines in one.tables.values())
