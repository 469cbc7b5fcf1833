"""One scene for each failure that was met; see docs/incidents and the history."""

from cranecleat.policy import FORGET_GRACES
from planner_harness import SECOND, PlannerHarness, assert_matches_trace

ALL = [0, 1, 2, 3]


def stage(*verbs, **figures):
    harness = PlannerHarness(decisions=verbs, **figures)
    harness.list_backends(*((b, "running", None) for b in ALL))
    harness.join(1, 2, 3, 4)
    for _ in range(3):
        harness.play_second(ALL, calls=80)
    return harness


def test_a_silent_backend_is_shut_out_and_one_answer_brings_it_back():
    harness = stage("set_weight", "log")
    harness.comment("backend 3 answers nothing and no try of it is heard of")
    for _ in range(4):
        harness.play_second(ALL[:3], calls=60)
    harness.comment("a trickle went on; it answers")
    for _ in range(3):
        harness.play_second(ALL, calls=80)
    assert_matches_trace("silent_backend", harness)


def test_a_cold_backend_whose_first_try_fails_is_not_starved():
    harness = stage("set_weight")
    harness.list_backends((9, "running", 0.5), scope="changes", after=0.1)
    harness.comment("one try, dropped")
    harness.play_round(("attempts_reported", 9, 0, 1, 1, 0, 1_000_000, None), after=0.9)
    harness.comment("it keeps the part of its age, and answers the next")
    for _ in range(3):
        harness.play_second([*ALL, 9], calls=100)
    assert_matches_trace("cold_first_try", harness)


def test_late_reports_shut_nobody_out():
    harness = stage("set_weight", "log", "set_admission")
    harness.comment("four seconds without reports, then all at once, three lines of four")
    for _ in range(4):
        harness.play_round(after=1.0)
    harness.play_second(ALL[:3], calls=240)
    assert_matches_trace("late_reports", harness)


def test_a_full_fleet_that_drops_alike_is_not_shut_out():
    harness = stage("log")
    for _ in range(5):
        harness.play_second(ALL, calls=80, unanswered=18, answer_time=2.0)
    assert_matches_trace("full_fleet", harness)


def test_overload_turns_the_least_important_away_drops_once_and_comes_back_half_way():
    harness = stage("set_admission")
    for took in (0.6, 0.9, 1.2, 0.8, 0.2, 0.2, 0.2):
        harness.play_second(ALL, calls=80, answer_time=took, demand=(14, 14))
    assert_matches_trace("overload", harness)


def test_lost_answers_turn_nobody_away_and_move_weight_to_backends_that_lose_less():
    harness = stage("set_admission", "set_weight")
    harness.comment("two of four lose a third of their answers; those that come are quick")
    for _ in range(5):
        harness.play_round(
            *(("attempts_reported", b, 0, 20, 7 * (b < 2), 100_000, 1_000_000, None) for b in ALL),
            *(("demand_reported", p, r, 10, 1_000_000) for p in (1, 2, 3, 4) for r in (0, 1)),
            after=1.0,
        )
    assert_matches_trace("lost_answers", harness)


def test_levels_by_rate_are_the_same_for_every_proxy():
    harness = stage("set_admission", admission="per_second")
    for took in (0.6, 0.9):
        harness.play_second(ALL, calls=80, answer_time=took, demand=(14, 14))
    assert_matches_trace("overload_by_rate", harness)


def test_a_dead_coordinators_proxies_are_no_surge():
    harness = stage("set_admission")
    harness.comment("four more proxies; the reports do not hold them yet")
    harness.join(5, 6, 7, 8, after=0.1)
    for _ in range(2):
        harness.play_second(ALL, calls=80)
    harness.play_second(ALL, calls=160)
    assert_matches_trace("arrivals", harness)


def test_proxies_that_leave_take_their_part_along():
    harness = stage("set_admission", "set_weight")
    harness.play_round(("proxy_left", 1), ("proxy_left", 2), after=0.1)
    for _ in range(3):
        harness.play_second(ALL, calls=40)
    harness.join(1, 2, after=0.1)
    harness.play_second(ALL, calls=40)
    assert_matches_trace("departures", harness)


def test_first_load_reports_do_not_stand_for_the_fleet():
    harness = PlannerHarness(decisions=("set_admission", "set_weight"))
    harness.list_backends(*((b, "running", None) for b in ALL))
    harness.join(1, 2, 3, 4)
    harness.comment("one backend of four is heard")
    harness.play_second(ALL[:1], calls=10, load=(0.4, 10.0))
    harness.play_second(ALL[:1], calls=10, load=(0.4, 10.0))
    harness.comment("all are; one is half as able")
    for _ in range(4):
        harness.play_round(
            *(("attempts_reported", b, 0, 20, 0, 100_000, 1_000_000, (0.8 if b == 3 else 0.4, 20.0)) for b in ALL),
            after=1.0,
        )
    assert_matches_trace("load_reports", harness)


def test_nonsense_changes_nothing_and_raises_nothing():
    harness = stage("set_weight", "bind", "withdraw", "set_admission", "log")
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
    harness.comment("a second 'joined' binds anew; an entry for a backend that is gone already")
    harness.join(1, after=0.1)
    harness.list_backends((50, "gone", None), scope="changes", after=0.1)
    assert_matches_trace("nonsense", harness)


def test_lines_that_take_several_turns_to_come_round_shut_nobody_out():
    harness = PlannerHarness(decisions=("log", "set_admission"))
    fleet = list(range(30))
    harness.list_backends(*((b, "running", None) for b in fleet))
    harness.join(*range(40), typical=10.0)
    harness.comment("a third of the lines a turn, each of three seconds; backend 29 answers nothing")
    for turn in range(16):
        covers = 1_000_000 * min(turn + 1, 3)
        harness.play_round(
            *(("attempts_reported", b, 0, 40, 0, 100_000, covers, None) for b in fleet[turn % 3 :: 3] if b != 29),
            *(("demand_reported", p, r, 15, covers) for p in range(turn % 3, 40, 3) for r in (0, 1)),
            after=1.0,
        )
    harness.comment(f"a spell is {harness.planner.report_interval:.1f} cycles")
    assert_matches_trace("several_turns", harness)


def test_where_much_has_gone_proxies_that_wait_get_a_small_table():
    harness = PlannerHarness(decisions=(), backlog=700, message_overhead=1.0, acknowledge=False)
    harness.list_backends(*((b, "running", None) for b in range(6)))
    harness.join(*range(20), typical=10.0)
    harness.decisions = ("bind", "withdraw", "set_weight")
    harness.comment("two of six are gone; eleven of twenty proxies are bound, nothing is acknowledged")
    harness.list_backends(*((b, "running", None) for b in range(4)), after=0.3)
    harness.play_round(after=0.4)
    assert_matches_trace("release", harness)


def test_after_a_crash_proxies_keep_their_tables_until_the_fleet_has_been_heard():
    harness = PlannerHarness(decisions=("bind", "set_weight"))
    harness.list_backends(*((b, "running", None) for b in range(4)))
    harness.play_round(*(("proxy_joined", p, 0, 20.0, False) for p in (1, 2)), after=0.1)
    harness.comment("one of four backends has been heard: its report alone would make the tables")
    harness.play_second([0], load=(0.5, 40.0))
    harness.comment("all have, and they differ")
    harness.play_round(
        *(("attempts_reported", b, 0, 10, 0, SECOND // 10, SECOND, (0.5, 40.0 * (1 + b))) for b in range(4)), after=0.9
    )
    harness.play_round(after=0.1)
    assert_matches_trace("crash_unheard", harness)


def crowd(backends, *verbs):
    """45 proxies, whose heads alone take half of the backlog."""
    harness = PlannerHarness(decisions=verbs, backlog=1000, channel_lines_per_second=1000.0, message_overhead=10.0)
    harness.list_backends(*((b, "running", None) for b in range(backends)))
    for first in range(0, 45, 5):
        harness.join(*range(first, first + 5), after=0.2)
        harness.play_round(after=0.1)
    harness.trace.clear()
    return harness


def test_where_the_heads_of_many_proxies_fill_the_parts_weights_and_levels_still_go_out():
    harness = crowd(4, "set_weight", "set_admission")
    for _ in range(3):
        harness.play_round(
            *(("attempts_reported", b, 0, 40, 0, SECOND // 10, SECOND, (0.5, 40.0 * (1 + 4 * b))) for b in range(4)),
            *(("demand_reported", p, r, 2, SECOND) for p in range(45) for r in (0, 1)),
            after=1.0,
        )
    assert_matches_trace("crowd", harness)


def test_what_has_been_gone_for_long_is_forgotten_once_no_table_names_it():
    harness = PlannerHarness(decisions=("set_weight", "withdraw", "forget"))
    harness.list_backends((0, "running", None), (1, "running", None))
    harness.join(1)
    harness.play_round(after=0.1)
    harness.list_backends((0, "running", None), (2, "running", 0), after=1.0)
    for _ in range(FORGET_GRACES * 2 + 2):
        harness.play_second([0, 2])
        harness.join(1)  # its stream breaks all the time
    harness.comment("and is a new one when it comes back")
    harness.list_backends((1, "running", 0), scope="changes")
    harness.play_round(after=1.0)
    assert set(harness.planner.backends) == {0, 1, 2} and not harness.planner.pending_withdrawals
    assert_matches_trace("forgotten", harness)


def test_among_many_proxies_those_who_come_during_a_release_do_not_hold_its_new_lines_up():
    harness = crowd(8, "set_weight", "withdraw")
    harness.comment("four of eight are replaced; a stream breaks and comes again all the time")
    harness.list_backends(*((b, "running", None) for b in range(4, 12)), after=0.1)
    for _ in range(12):
        for _ in range(4):
            harness.play_round(after=0.25)
            harness.join(1)
    assert set(range(8, 12)) <= set(harness.planner.tables[0]) and harness.planner.channel.queued_lines <= 1000
    assert_matches_trace("crowd_release", harness)


def test_a_jam_lowers_levels_though_weights_have_filled_all_that_they_may():
    """Weights may fill half of the backlog while proxies wait for bindings; levels have room beyond that."""
    harness = stage("set_admission")
    harness.comment("0.55 of the backlog waits, and answers get slow")
    harness.planner.channel.queued_lines += 0.55 * harness.planner.bootstrap.backlog
    for _ in range(3):
        harness.play_second(ALL, calls=80, answer_time=0.9)
    assert_matches_trace("jam_behind_weights", harness)
