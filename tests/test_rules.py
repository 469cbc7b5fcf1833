"""One or more scenarios for each of the five rules that are listed at the head of cranecleat/policy.py, as traces of
the planner's decisions."""

from dataclasses import replace

from planner_harness import BOOTSTRAP, PlannerHarness, assert_matches_trace

RUNNING = [(b, "running", None) for b in range(3)]


def test_rule_1_entries_come_before_bindings_and_an_empty_table_is_filled_at_once():
    harness = PlannerHarness(decisions=("set_weight", "bind", "withdraw"))
    harness.comment("no backend is listed: a proxy is not bound to an empty table")
    harness.list_backends()
    harness.join(1)
    harness.list_backends((0, "running", None), after=0.1)
    harness.comment(
        "the only backend drains; the next one is added at once, although it is cold and no periodic round is due"
    )
    harness.list_backends((0, "draining", None), scope="changes", after=0.3)
    harness.list_backends((1, "running", 1.0), scope="changes", after=0.3)
    assert_matches_trace("rule_1", harness)


def test_rule_2_calls_are_retried_only_on_proof():
    harness = PlannerHarness(decisions=("set_admission",), admission="silent")
    harness.list_backends(*RUNNING)
    harness.join(1)
    for answer_time in (0.1, 0.1, 0.1, 0.9, 0.9):
        harness.play_second([0, 1, 2], answer_time=answer_time)
    assert_matches_trace("rule_2", harness)


def test_rule_3_draining_backends_are_withdrawn_at_once_for_all_and_for_proxies_that_join_later():
    harness = PlannerHarness(decisions=("set_weight", "withdraw", "bind"))
    harness.list_backends(*RUNNING)
    harness.join(1)
    harness.comment("one backend drains, one is missing from the list")
    harness.list_backends((0, "running", None), (1, "draining", None), after=0.2)
    harness.join(2, after=0.1)
    harness.comment("removal from the tables waits for the periodic round")
    harness.play_round(after=0.8)
    assert_matches_trace("rule_3", harness)


def test_rule_3_a_failed_watch_is_started_again():
    harness = PlannerHarness(decisions=("watch", "set_timer"), must_watch=True)
    harness.list_backends(*RUNNING)
    for _ in range(3):
        harness.play_round(("backends_listed", "failed", []), after=0.01)
        harness.play_round(after=2.0)
    assert_matches_trace("rule_3_watch", harness)


def test_rule_4_the_weight_of_a_restarted_backend_rises_from_its_cold_share():
    harness = PlannerHarness(decisions=("set_weight", "withdraw"))
    harness.list_backends(*RUNNING)
    harness.join(1, 2)
    for _ in range(3):
        harness.play_second([0, 1, 2], calls=42)
    harness.list_backends((2, "gone", None), scope="changes", after=0.1)
    harness.comment("it is back: its weight is lowered to its cold share before it is let back in")
    harness.list_backends((2, "running", 0.5), scope="changes", after=0.2)
    for _ in range(6):
        harness.play_second([0, 1, 2], calls=42)
    assert_matches_trace("rule_4", harness)


def test_rule_4_in_a_full_fleet_fewer_calls_are_admitted_while_successors_are_cold():
    harness = PlannerHarness(decisions=("set_admission",))
    harness.list_backends(*RUNNING)
    harness.join(1, 2)
    for answer_time in (0.1, 0.1, 0.1, 0.7, 0.7, 0.7, 0.7, 0.1, 0.1, 0.1):
        harness.play_second([0, 1, 2], calls=42, answer_time=answer_time, demand=(12, 12))
    harness.comment("two of three backends are replaced by cold ones")
    harness.list_backends((0, "running", None), (3, "running", 0.5), (4, "running", 0.5), after=0.1)
    harness.play_round(after=0.9)
    assert_matches_trace("rule_4_release", harness)


def test_rule_5_bindings_wait_while_messages_are_not_acknowledged():
    harness = PlannerHarness(decisions=("bind",), backlog=100, acknowledge=False)
    harness.list_backends(*RUNNING)
    harness.comment("eight proxies join at once; a table and its message take 16 lines: two fit")
    harness.join(*range(8))
    harness.play_round(after=0.1)
    harness.comment("the first proxy acknowledges its table")
    harness.play_round(("acknowledged", 0, harness.planner.channel.unacknowledged[0][0]), after=0.1)
    assert_matches_trace("rule_5", harness)


def test_rule_5_half_of_the_message_limit_is_left_for_what_cannot_wait():
    harness = PlannerHarness(decisions=("request_ack", "withdraw"), message_limit=4)
    harness.list_backends(*RUNNING)
    harness.join(1)
    for answer_time in (0.1, 0.3, 0.1, 0.4, 0.1, 0.4, 0.1):
        harness.play_second([0], answer_time=answer_time, calls=30)
        harness.play_second([1, 2], answer_time=0.2, calls=30)
    harness.list_backends((0, "draining", None), scope="changes", after=0.1)
    harness.comment("the withdrawal may wait a little for others that share its messages")
    harness.play_round(after=0.3)
    assert_matches_trace("rule_5_messages", harness)


def test_own_zone_routes_have_a_table_for_each_zone():
    own_zone_route = replace(BOOTSTRAP.routes[1], own_zone=True)
    harness = PlannerHarness(decisions=("set_weight", "bind"), routes=(BOOTSTRAP.routes[0], own_zone_route))
    harness.play_round(("backends_listed", "whole", [(b, "running", b % 2, 0, 1.0, 0) for b in range(3)]))
    harness.play_round(("proxy_joined", 1, 0, 5.0, True), ("proxy_joined", 2, 1, 5.0, True))
    assert_matches_trace("own_zone", harness)


def test_a_restarted_coordinator_corrects_a_stale_list_and_replaces_old_tables():
    harness = PlannerHarness(decisions=("set_weight", "bind", "withdraw", "set_admission"))
    harness.play_round(("backends_listed", "held", [(b, "running", 0, 0, 1.0, 0) for b in range(3)]))
    harness.comment("a proxy joins with tables of a coordinator that knew more: they stay until something is learned")
    harness.play_round(("proxy_joined", 5, 0, 20.0, False), after=0.2)
    harness.comment("the present list: one backend has gone, one started seconds ago")
    harness.list_backends((0, "running", None), (1, "running", None), (3, "running", 4.0), after=0.5)
    harness.comment("a proxy that joins after the withdrawal is told of it, too")
    harness.play_round(("proxy_joined", 6, 0, 20.0, False), after=0.1)
    for _ in range(4):
        harness.play_second([0, 1], calls=20, demand=(20, 20))
    assert_matches_trace("after_a_crash", harness)


def test_rule_3_repeated_withdrawals_need_room_only_for_proxies_that_joined_since():
    harness = PlannerHarness(decisions=("withdraw",), backlog=620, acknowledge=False)
    harness.list_backends(*((b, "running", None) for b in range(12)))
    harness.comment("twenty proxies join, of which hardly any can be bound; four backends go")
    harness.join(*range(20))
    harness.list_backends(*((b, "gone", None) for b in range(4)), scope="changes", after=0.1)
    harness.play_round(after=0.3)
    harness.comment("one more joins while the channel is full: four lines to it, not to all that wait, have to fit")
    harness.join(20, after=0.1)
    harness.play_round(after=0.3)
    harness.play_round(after=0.7)
    overdue = harness.planner.withdrawals_overdue
    lines = harness.planner.channel.queued_lines
    harness.comment(f"withdrawals overdue: {overdue}, lines that wait: {lines:.0f}")
    assert_matches_trace("rule_3_again", harness)
