"""What is kept as sums and indexes against the plain sums, after each call of long random sequences."""

from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from cranecleat.bookkeeping.demand import UNIT, Demand
from cranecleat.policy import Planner
from planner_harness import BOOTSTRAP, SECOND, PlannerHarness

ROUTES, ZONES = 3, 2
rates = st.floats(0, 1e4, allow_nan=False)


class Kept(RuleBasedStateMachine):
    """`Demand` beside a list of proxies that is summed anew each time."""

    def __init__(self):
        super().__init__()
        self.kept, self.plain, self.now, self.since = Demand(ROUTES), {}, 0, -1

    @rule(p=st.integers(0, 9), zone=st.integers(0, ZONES - 1), typical=rates, after=st.integers(0, 3))
    def join(self, p, zone, typical, after):
        self.now += after
        counted = self.kept.join(p, zone, typical, self.now)
        assert abs(counted - typical) <= 1 / UNIT
        self.plain.pop(p, None)
        self.plain[p] = (zone, counted, self.now, {})

    @rule(p=st.integers(0, 9))
    def leave(self, p):
        self.kept.leave(p)
        self.plain.pop(p, None)

    @precondition(lambda self: self.plain)
    @rule(data=st.data(), route=st.integers(0, ROUTES - 1), rate=rates)
    def report(self, data, route, rate):
        p = data.draw(st.sampled_from(sorted(self.plain)))
        self.plain[p][3][route] = self.kept.report_rate(p, route, rate)

    @rule(back=st.integers(-1, 12))
    def settle(self, back):
        self.since = self.now - back
        self.kept.update_settled(self.since)

    @invariant()
    def same(self):
        whole = {p: sum(usage.values()) if usage else typical for p, (_, typical, _, usage) in self.plain.items()}
        young = {p for p, (_, _, since, _) in self.plain.items() if not self.kept.known[p][4]}
        totals, mute = self.kept.by_route()
        close(self.kept.total_rate(), sum(whole.values()))
        close(self.kept.newcomer_rate(), sum(whole[p] for p in young))
        for zone in range(ZONES):
            close(self.kept.zone_rate(zone), sum(whole[p] for p, told in self.plain.items() if told[0] == zone))
            close(self.kept.typical_rate(zone), sum(told[1] for told in self.plain.values() if told[0] == zone))
        for route in range(ROUTES):
            close(totals[route], sum(told[3].get(route, 0.0) for told in self.plain.values()))
            close(
                mute[route],
                sum(told[1] for p, told in self.plain.items() if route not in told[3] and (p in young or not told[3])),
            )
        assert len(self.kept.order) <= 2 * len(self.plain) + 65


def close(kept, plain):
    assert abs(kept - plain) <= 1e-9 * max(abs(plain), 1.0), (kept, plain)


Kept.TestCase.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)
TestKept = Kept.TestCase


@given(st.lists(st.tuples(st.integers(0, 30), st.integers(-5, 40)), max_size=30))
def test_who_is_a_newcomer_follows_time_forward_and_back(steps):
    kept, now, joined = Demand(1), 0, {}
    for i, (later, back) in enumerate(steps):
        now += later
        kept.join(i, 0, 1.0, now)
        joined[i] = now
        kept.update_settled(now - back)
        assert {p for p, known in kept.known.items() if not known[4]} == {
            p for p, since in joined.items() if since > now - back
        }


def test_sums_leave_nothing_behind():
    kept = Demand(2)
    for turn in range(2000):
        kept.join(turn % 7, 0, 0.1 * turn, turn)
        kept.report_rate(turn % 7, turn % 2, 1e4 / (turn + 3))
    for p in range(7):
        kept.leave(p)
    assert (kept.total_rate(), kept.zone_rate(0), kept.by_route(), kept.typical_rate()) == (
        0.0,
        0.0,
        ([0, 0], [0, 0]),
        0.0,
    )


@settings(max_examples=60, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["join", "left", "list", "came", "second", "ack"]), st.integers(0, 11), st.integers(0, 3)
        ),
        min_size=5,
        max_size=40,
    )
)
def test_the_planners_queue_and_indexes_are_what_a_walk_over_all_gives(steps):
    """What may still wait is the sum of what is owed; users of tables, who waits and who is bare are as proxies say."""
    harness = PlannerHarness(decisions=(), acknowledge=False, zones=2)
    planner: Planner = harness.planner
    harness.list_backends(*((b, "running", None) for b in range(4)))
    for what, p, b in steps:
        if what == "join":
            harness.play_round(("proxy_joined", p, p % 2, 5.0 + p, p % 3 > 0, p % 2), after=0.3)
        elif what == "left":
            harness.play_round(("proxy_left", p), after=0.1)
        elif what == "list":
            harness.list_backends((b, ("running", "draining", "gone")[p % 3], None), scope="changes", after=0.2)
        elif what == "came":
            harness.play_round(("demand_reported", p, b % 2, p, SECOND), after=0.2)
        elif what == "second":
            harness.play_second(range(4), calls=40 + p)
        else:
            harness.play_round(
                *(("acknowledged", q, mark) for mark in harness.ack_numbers for q in list(planner.proxies))
            )
        owed = sum(sum(lines.values()) for _, lines, _ in planner.channel.unacknowledged)
        assert abs(planner.channel.queued_lines - owed) < 1e-6
        proxies = planner.proxies
        assert set(planner.users.waiting) == {
            q for q, one in proxies.items() if len(one.bound_tables) < len(BOOTSTRAP.routes)
        }
        assert planner.users.unbound == {q for q, one in proxies.items() if not one.bound_tables}
        for table in planner.tables:
            assert set(planner.users.proxies_by_table.get(table, ())) == {
                q for q, one in proxies.items() if table in one.bound_tables
            }
        close(planner.demand.total_rate(), sum(one.call_rate() for one in proxies.values()))
        assert not planner.channel.charged_proxies and not planner.channel.table_lines
        assert not any(one.message_cost for one in proxies.values())
