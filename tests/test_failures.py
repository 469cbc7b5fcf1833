"""A scenario for each failure of the planner that has occurred. docs/incidents describes them."""

from cranecleat.policy import FORGET_GRACES
from planner_harness import SECOND, PlannerHarness, assert_matches_trace

BACKENDS = [0, 1, 2, 3]


def warmed_up(*decisions, **settings):
    """Four backends and four proxies after three seconds of calls."""
    harness = PlannerHarness(decisions=decisions, **settings)
    harness.list_backends(*((b, "running", None) for b in BACKENDS))
    harness.join(1, 2, 3, 4)
    for _ in range(3):
        harness.play_second(BACKENDS, calls=80)
    return harness


def test_a_silent_backend_is_ejected_and_one_answer_brings_it_back():
    harness = warmed_up("set_weight", "log")
    harness.comment("backend 3 answers nothing, and nobody reports tries at it")
    for _ in range(4):
        harness.play_second(BACKENDS[:3], calls=60)
    harness.comment("a trickle of calls went on; it answers")
    for _ in range(3):
        harness.play_second(BACKENDS, calls=80)
    assert_matches_trace("silent_backend", harness)


def test_a_cold_backend_whose_first_try_fails_is_not_starved():
    harness = warmed_up("set_weight")
    harness.list_backends((9, "running", 0.5), scope="changes", after=0.1)
    harness.comment("one try, without an answer")
    harness.play_round(("attempts_reported", 9, 0, 1, 1, 0, 1_000_000, None), after=0.9)
    harness.comment("it keeps the share of its age, and answers the next tries")
    for _ in range(3):
        harness.play_second([*BACKENDS, 9], calls=100)
    assert_matches_trace("cold_first_try", harness)


def test_late_reports_eject_no_backend():
    harness = warmed_up("set_weight", "log", "set_admission")
    harness.comment("four seconds without reports; then three of four lines arrive at once")
    for _ in range(4):
        harness.play_round(after=1.0)
    harness.play_second(BACKENDS[:3], calls=240)
    assert_matches_trace("late_reports", harness)


def test_no_backend_is_ejected_where_all_of_a_full_fleet_lose_answers_alike():
    harness = warmed_up("log")
    for _ in range(5):
        harness.play_second(BACKENDS, calls=80, unanswered=18, answer_time=2.0)
    assert_matches_trace("full_fleet", harness)


def test_overload_refuses_the_least_important_calls_lowers_capacity_once_and_returns_half_way():
    harness = warmed_up("set_admission")
    for answer_time in (0.6, 0.9, 1.2, 0.8, 0.2, 0.2, 0.2):
        harness.play_second(BACKENDS, calls=80, answer_time=answer_time, demand=(14, 14))
    assert_matches_trace("overload", harness)


def test_lost_answers_refuse_no_calls_and_move_weight_to_backends_that_lose_less():
    harness = warmed_up("set_admission", "set_weight")
    harness.comment("two of four backends lose a third of their answers; the others come quickly")
    for _ in range(5):
        harness.play_round(
            *(("attempts_reported", b, 0, 20, 7 * (b < 2), 100_000, 1_000_000, None) for b in BACKENDS),
            *(("demand_reported", p, r, 10, 1_000_000) for p in (1, 2, 3, 4) for r in (0, 1)),
            after=1.0,
        )
    assert_matches_trace("lost_answers", harness)


def test_levels_by_rate_are_the_same_for_every_proxy():
    harness = warmed_up("set_admission", admission="per_second")
    for answer_time in (0.6, 0.9):
        harness.play_second(BACKENDS, calls=80, answer_time=answer_time, demand=(14, 14))
    assert_matches_trace("overload_by_rate", harness)


def test_proxies_of_a_dead_coordinator_do_not_count_as_overload():
    harness = warmed_up("set_admission")
    harness.comment("four more proxies join; reports do not cover them yet")
    harness.join(5, 6, 7, 8, after=0.1)
    for _ in range(2):
        harness.play_second(BACKENDS, calls=80)
    harness.play_second(BACKENDS, calls=160)
    assert_matches_trace("arrivals", harness)


def test_proxies_that_leave_take_their_share_of_the_capacity_along():
    harness = warmed_up("set_admission", "set_weight")
    harness.play_round(("proxy_left", 1), ("proxy_left", 2), after=0.1)
    for _ in range(3):
        harness.play_second(BACKENDS, calls=40)
    harness.join(1, 2, after=0.1)
    harness.play_second(BACKENDS, calls=40)
    assert_matches_trace("departures", harness)


def test_the_first_load_reports_do_not_count_for_the_whole_fleet():
    harness = PlannerHarness(decisions=("set_admission", "set_weight"))
    harness.list_backends(*((b, "running", None) for b in BACKENDS))
    harness.join(1, 2, 3, 4)
    harness.comment("one backend of four reports its load")
    harness.play_second(BACKENDS[:1], calls=10, load=(0.4, 10.0))
    harness.play_second(BACKENDS[:1], calls=10, load=(0.4, 10.0))
    harness.comment("all do; one has half of the capacity")
    for _ in range(4):
        harness.play_round(
            *(("attempts_reported", b, 0, 20, 0, 100_000, 1_000_000, (0.8 if b == 3 else 0.4, 20.0)) for b in BACKENDS),
            after=1.0,
        )
    assert_matches_trace("load_reports", harness)


def test_meaningless_events_change_nothing_and_raise_nothing():
    harness = warmed_up("set_weight", "bind", "withdraw", "set_admission", "log")
    harness.play_round(
        ("attempts_reported", 99, 0, 5, 0, 100_000, 1_000_000, None),
        ("attempts_reported", 0, 0, 0, 0, 0, 1_000_000, None),
        ("attempts_reported", 0, 0, 5, 0, 100_000, 0, None),
        ("demand_reported", 77, 0, 5, 1_000_000),
        ("demand_reported", 1, 9, 5, 1_000_000),
        ("demand_reported", 1, 0, 5, 0),
        ("acknowledged", 77, 1),
        ("acknowledged", 1, 60_000),
        ("timer_fired", 5),
        ("timer_fired", 5),
        ("proxy_left", 77),
        ("probe_answered", 0, True, 5),
        ("peer_message_received", 1, "x"),
        ("slice_given", 0, True),
        ("slice_line", 0, 0, 1.0),
        ("slice_calls", 0, 0, 1, 1_000_000),
        after=0.1,
    )
    harness.comment("a proxy that joins a second time is bound anew; an entry lists a backend that has gone already")
    harness.join(1, after=0.1)
    harness.list_backends((50, "gone", None), scope="changes", after=0.1)
    assert_matches_trace("meaningless_events", harness)


def test_reports_that_take_several_cycles_to_come_round_eject_no_healthy_backend():
    harness = PlannerHarness(decisions=("log", "set_admission"))
    fleet = list(range(30))
    harness.list_backends(*((b, "running", None) for b in fleet))
    harness.join(*range(40), typical=10.0)
    harness.comment("each cycle a third of the lines is reported, each for three seconds; backend 29 answers nothing")
    for cycle in range(16):
        period = 1_000_000 * min(cycle + 1, 3)
        harness.play_round(
            *(("attempts_reported", b, 0, 40, 0, 100_000, period, None) for b in fleet[cycle % 3 :: 3] if b != 29),
            *(("demand_reported", p, r, 15, period) for p in range(cycle % 3, 40, 3) for r in (0, 1)),
            after=1.0,
        )
    harness.comment(f"a report interval is {harness.planner.report_interval:.1f} cycles")
    assert_matches_trace("several_cycles", harness)


def test_proxies_that_wait_get_a_fallback_table_where_much_of_the_fleet_has_gone():
    harness = PlannerHarness(decisions=(), backlog=700, message_overhead=1.0, acknowledge=False)
    harness.list_backends(*((b, "running", None) for b in range(6)))
    harness.join(*range(20), typical=10.0)
    harness.decisions = ("bind", "withdraw", "set_weight")
    harness.comment("two of six backends have gone; eleven of twenty proxies are bound, nothing is acknowledged")
    harness.list_backends(*((b, "running", None) for b in range(4)), after=0.3)
    harness.play_round(after=0.4)
    assert_matches_trace("release", harness)


def test_after_a_crash_proxies_keep_their_tables_until_most_backends_are_known():
    harness = PlannerHarness(decisions=("bind", "set_weight"))
    harness.list_backends(*((b, "running", None) for b in range(4)))
    harness.play_round(*(("proxy_joined", p, 0, 20.0, False) for p in (1, 2)), after=0.1)
    harness.comment("one of four backends is known: its report alone would make the tables")
    harness.play_second([0], load=(0.5, 40.0))
    harness.comment("all are known, and they differ")
    harness.play_round(
        *(("attempts_reported", b, 0, 10, 0, SECOND // 10, SECOND, (0.5, 40.0 * (1 + b))) for b in range(4)), after=0.9
    )
    harness.play_round(after=0.1)
    assert_matches_trace("crash_unknown_fleet", harness)


def many_proxies(backends, *decisions):
    """45 proxies: the overhead of a message to each takes half of the backlog."""
    harness = PlannerHarness(decisions=decisions, backlog=1000, channel_lines_per_second=1000.0, message_overhead=10.0)
    harness.list_backends(*((b, "running", None) for b in range(backends)))
    for first in range(0, 45, 5):
        harness.join(*range(first, first + 5), after=0.2)
        harness.play_round(after=0.1)
    harness.trace.clear()
    return harness


def test_weights_and_levels_are_written_where_message_overheads_fill_their_share_of_the_backlog():
    harness = many_proxies(4, "set_weight", "set_admission")
    for _ in range(3):
        harness.play_round(
            *(("attempts_reported", b, 0, 40, 0, SECOND // 10, SECOND, (0.5, 40.0 * (1 + 4 * b))) for b in range(4)),
            *(("demand_reported", p, r, 2, SECOND) for p in range(45) for r in (0, 1)),
            after=1.0,
        )
    assert_matches_trace("many_proxies", harness)


def test_a_backend_that_has_been_gone_for_long_is_forgotten_once_no_table_names_it():
    harness = PlannerHarness(decisions=("set_weight", "withdraw", "forget"))
    harness.list_backends((0, "running", None), (1, "running", None))
    harness.join(1)
    harness.play_round(after=0.1)
    harness.list_backends((0, "running", None), (2, "running", 0), after=1.0)
    for _ in range(FORGET_GRACES * 2 + 2):
        harness.play_second([0, 2])
        harness.join(1)  # its stream breaks again and again
    harness.comment("it is a new backend when it comes back")
    harness.list_backends((1, "running", 0), scope="changes")
    harness.play_round(after=1.0)
    assert set(harness.planner.backends) == {0, 1, 2} and not harness.planner.pending_withdrawals
    assert_matches_trace("forgotten", harness)


def test_proxies_that_join_during_a_release_do_not_delay_entries_of_its_new_backends():
    harness = many_proxies(8, "set_weight", "withdraw")
    harness.comment("four of eight backends are replaced; a stream breaks and comes back again and again")
    harness.list_backends(*((b, "running", None) for b in range(4, 12)), after=0.1)
    for _ in range(12):
        for _ in range(4):
            harness.play_round(after=0.25)
            harness.join(1)
    assert set(range(8, 12)) <= set(harness.planner.tables[0]) and harness.planner.channel.queued_lines <= 1000
    assert_matches_trace("many_proxies_release", harness)


def test_levels_are_lowered_in_overload_although_weights_fill_their_share_of_the_backlog():
    """While proxies wait for bindings, weights may fill half of the backlog. Levels have room beyond that."""
    harness = warmed_up("set_admission")
    harness.comment("0.55 of the backlog waits, and answers get slow")
    harness.planner.channel.queued_lines += 0.55 * harness.planner.bootstrap.backlog
    for _ in range(3):
        harness.play_second(BACKENDS, calls=80, answer_time=0.9)
    assert_matches_trace("levels_behind_weights", harness)
