"""Algorithm 2 of the paper by itself: its worked example and edge cases."""

from dataclasses import replace

from cranecleat.policy import waterfill
from planner_harness import BOOTSTRAP, PlannerHarness, assert_matches_trace


def format_rates(rates):
    return "  ".join(f"{k}.{e}={rate:.3f}" for k, path in enumerate(rates) for e, rate in path.items())


def test_multipliers_converge_to_the_fair_split():
    """The paper's Fig. 7: a demand with two paths shares one of them with a demand that has no other."""
    thetas = [{"a": 0.5, "b": 0.5}, {"b": 1.0}]
    lines = []
    for iteration in range(8):
        rates = waterfill([9.0, 9.0], [1.0, 1.0], thetas, {"a": 0.5, "b": 1.0})
        lines.append(f"{iteration}: {format_rates(rates)}")
        thetas = [{e: f / sum(rate.values()) for e, f in rate.items()} for rate in rates]
    assert_matches_trace("waterfill_fig7", lines)


def test_small_demands_get_their_own_size_and_greater_weights_get_more():
    even = {"a": 0.5, "b": 0.5}
    lines = []
    for title, wants, weights in (
        ("both fit", [2.0, 3.0], [2.0, 3.0]),
        ("too much, even", [8.0, 8.0], [8.0, 8.0]),
        ("too much, the first of more weight", [8.0, 8.0], [64.0, 8.0]),
        ("one wants nothing", [0.0, 4.0], [0.0, 4.0]),
        ("a path of no capacity", [4.0, 4.0], [4.0, 4.0]),
    ):
        capacity = {"a": 5.0, "b": 0.0 if title.startswith("a path") else 5.0}
        lines.append(f"{title}: {format_rates(waterfill(wants, weights, [even, even], capacity))}")
    assert_matches_trace("waterfill_cases", lines)


def test_a_route_with_few_backends_moves_other_routes_away_from_them():
    """Only backend 0 serves route 1; route 0 leaves it room there, also under light load."""
    restricted = replace(BOOTSTRAP.routes[1], kinds=frozenset({1}))
    harness = PlannerHarness(decisions=("set_weight", "set_admission"), routes=(BOOTSTRAP.routes[0], restricted))
    harness.play_round(("backends_listed", "whole", [(b, "running", 0, int(b == 0), 1.0, 0) for b in range(3)]))
    harness.join(1, 2)
    for _ in range(7):
        harness.play_second([0, 1, 2], calls=42, demand=(10, 10))
    assert_matches_trace("few_backends", harness)
