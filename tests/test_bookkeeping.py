"""Compares the incremental sums and indexes with plain sums, after each event of long random sequences."""

from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from cranecleat.bookkeeping.demand import UNIT, Demand
from cranecleat.policy import Planner
from planner_harness import BOOTSTRAP, SECOND, PlannerHarness

ROUTES, ZONES = 3, 2
rates = st.floats(0, 1e4, allow_nan=False)


class DemandComparison(RuleBasedStateMachine):
    """`Demand` beside a dictionary of proxies that is summed anew each time."""

    def __init__(self):
        super().__init__()
        self.demand, self.proxies, self.now, self.since = Demand(ROUTES), {}, 0, -1

    @rule(p=st.integers(0, 9), zone=st.integers(0, ZONES - 1), typical=rates, after=st.integers(0, 3))
    def join(self, p, zone, typical, after):
        self.now += after
        counted = self.demand.join(p, zone, typical, self.now)
        assert abs(counted - typical) <= 1 / UNIT
        self.proxies.pop(p, None)
        self.proxies[p] = (zone, counted, self.now, {})

    @rule(p=st.integers(0, 9))
    def leave(self, p):
        self.demand.leave(p)
        self.proxies.pop(p, None)

    @precondition(lambda self: self.proxies)
    @rule(data=st.data(), route=st.integers(0, ROUTES - 1), rate=rates)
    def report(self, data, route, rate):
        p = data.draw(st.sampled_from(sorted(self.proxies)))
        self.proxies[p][3][route] = self.demand.report_rate(p, route, rate)

    @rule(back=st.integers(-1, 12))
    def settle(self, back):
        self.since = self.now - back
        self.demand.update_settled(self.since)

    @invariant()
    def sums_match(self):
        rates = {p: sum(usage.values()) if usage else typical for p, (_, typical, _, usage) in self.proxies.items()}
        newcomers = {p for p, (_, _, since, _) in self.proxies.items() if not self.demand.proxies[p][4]}
        reported, unreported = self.demand.by_route()
        assert_close(self.demand.total_rate(), sum(rates.values()))
        assert_close(self.demand.newcomer_rate(), sum(rates[p] for p in newcomers))
        for zone in range(ZONES):
            in_zone = {p: proxy for p, proxy in self.proxies.items() if proxy[0] == zone}
            assert_close(self.demand.zone_rate(zone), sum(rates[p] for p in in_zone))
            assert_close(self.demand.typical_rate(zone), sum(proxy[1] for proxy in in_zone.values()))
        for route in range(ROUTES):
            assert_close(reported[route], sum(proxy[3].get(route, 0.0) for proxy in self.proxies.values()))
            assert_close(
                unreported[route],
                sum(
                    proxy[1]
                    for p, proxy in self.proxies.items()
                    if route not in proxy[3] and (p in newcomers or not proxy[3])
                ),
            )
        assert len(self.demand.order) <= 2 * len(self.proxies) + 65


def assert_close(value, expected):
    assert abs(value - expected) <= 1e-9 * max(abs(expected), 1.0), (value, expected)


DemandComparison.TestCase.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)
TestDemand = DemandComparison.TestCase


@given(st.lists(st.tuples(st.integers(0, 30), st.integers(-5, 40)), max_size=30))
def test_newcomers_follow_the_time_forward_and_back(steps):
    demand, now, joined_at = Demand(1), 0, {}
    for i, (later, back) in enumerate(steps):
        now += later
        demand.join(i, 0, 1.0, now)
        joined_at[i] = now
        demand.update_settled(now - back)
        assert {p for p, record in demand.proxies.items() if not record[4]} == {
            p for p, since in joined_at.items() if since > now - back
        }


def test_sums_are_zero_once_all_proxies_have_left():
    demand = Demand(2)
    for i in range(2000):
        demand.join(i % 7, 0, 0.1 * i, i)
        demand.report_rate(i % 7, i % 2, 1e4 / (i + 3))
    for p in range(7):
        demand.leave(p)
    assert (demand.total_rate(), demand.zone_rate(0), demand.by_route(), demand.typical_rate()) == (
        0.0,
        0.0,
        ([0, 0], [0, 0]),
        0.0,
    )


@settings(max_examples=60, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["join", "leave", "list", "demand", "second", "ack"]), st.integers(0, 11), st.integers(0, 3)
        ),
        min_size=5,
        max_size=40,
    )
)
def test_the_planners_queue_and_indexes_match_a_walk_over_all_proxies(steps):
    """The queue is the sum of the unacknowledged lines; users of tables and waiting proxies match what proxies hold."""
    harness = PlannerHarness(decisions=(), acknowledge=False, zones=2)
    planner: Planner = harness.planner
    harness.list_backends(*((b, "running", None) for b in range(4)))
    for step, p, b in steps:
        if step == "join":
            harness.play_round(("proxy_joined", p, p % 2, 5.0 + p, p % 3 > 0, p % 2), after=0.3)
        elif step == "leave":
            harness.play_round(("proxy_left", p), after=0.1)
        elif step == "list":
            harness.list_backends((b, ("running", "draining", "gone")[p % 3], None), scope="changes", after=0.2)
        elif step == "demand":
            harness.play_round(("demand_reported", p, b % 2, p, SECOND), after=0.2)
        elif step == "second":
            harness.play_second(range(4), calls=40 + p)
        else:
            harness.play_round(
                *(("acknowledged", q, number) for number in harness.ack_numbers for q in list(planner.proxies))
            )
        unacknowledged = sum(sum(lines.values()) for _, lines, _ in planner.channel.unacknowledged)
        assert abs(planner.channel.queued_lines - unacknowledged) < 1e-6
        proxies = planner.proxies
        assert set(planner.users.waiting) == {
            q for q, proxy in proxies.items() if len(proxy.bound_tables) < len(BOOTSTRAP.routes)
        }
        assert planner.users.unbound == {q for q, proxy in proxies.items() if not proxy.bound_tables}
        for table in planner.tables:
            assert set(planner.users.proxies_by_table.get(table, ())) == {
                q for q, proxy in proxies.items() if table in proxy.bound_tables
            }
        assert_close(planner.demand.total_rate(), sum(proxy.call_rate() for proxy in proxies.values()))
        assert not planner.channel.charged_proxies and not planner.channel.table_lines
        assert not any(proxy.message_cost for proxy in proxies.values())
