"""One scene for the guard of each rule."""

from dataclasses import replace

from scene import BOOT, Scene, same

RUNNING = [(b, "running", None) for b in range(3)]


def test_rule_1_lines_before_bindings_and_a_bare_table_is_filled_at_once():
    scene = Scene(verbs=("line", "bind", "withdraw"))
    scene.say("nothing listed: a proxy is not bound to an empty table")
    scene.list()
    scene.join(1)
    scene.list((0, "running", None), after=0.1)
    scene.say("the only backend drains; the next one, cold as it is, goes in without waiting for the turn")
    scene.list((0, "draining", None), how="changes", after=0.3)
    scene.list((1, "running", 1.0), how="changes", after=0.3)
    same("rule_1", scene)


def test_rule_2_further_tries_only_on_proof():
    scene = Scene(verbs=("admit",), admission="silent")
    scene.list(*RUNNING)
    scene.join(1)
    for took in (0.1, 0.1, 0.1, 0.9, 0.9):
        scene.second([0, 1, 2], took=took)
    same("rule_2", scene)


def test_rule_3_drains_are_out_at_once_for_all_and_for_those_that_come_later():
    scene = Scene(verbs=("line", "withdraw", "bind"))
    scene.list(*RUNNING)
    scene.join(1)
    scene.say("one drains, one is dropped from the list")
    scene.list((0, "running", None), (1, "draining", None), after=0.2)
    scene.join(2, after=0.1)
    scene.say("removal from the tables waits for the turn")
    scene.tell(after=0.8)
    same("rule_3", scene)


def test_rule_3_a_failed_subscription_is_asked_for_again():
    scene = Scene(verbs=("watch", "wake"), must_ask=True)
    scene.list(*RUNNING)
    for _ in range(3):
        scene.tell(("listed", "failed", []), after=0.01)
        scene.tell(after=2.0)
    same("rule_3_watch", scene)


def test_rule_4_a_restarted_backend_climbs_from_its_cold_part():
    scene = Scene(verbs=("line", "withdraw"))
    scene.list(*RUNNING)
    scene.join(1, 2)
    for _ in range(3):
        scene.second([0, 1, 2], calls=42)
    scene.list((2, "gone", None), how="changes", after=0.1)
    scene.say("back: its line goes down to the cold part before it is let in")
    scene.list((2, "running", 0.5), how="changes", after=0.2)
    for _ in range(6):
        scene.second([0, 1, 2], calls=42)
    same("rule_4", scene)


def test_rule_4_in_a_full_fleet_cold_successors_mean_fewer_calls():
    scene = Scene(verbs=("admit",))
    scene.list(*RUNNING)
    scene.join(1, 2)
    for took in (0.1, 0.1, 0.1, 0.7, 0.7, 0.7, 0.7, 0.1, 0.1, 0.1):
        scene.second([0, 1, 2], calls=42, took=took, came=(12, 12))
    scene.say("two of three are replaced by cold ones")
    scene.list((0, "running", None), (3, "running", 0.5), (4, "running", 0.5), after=0.1)
    scene.tell(after=0.9)
    same("rule_4_release", scene)


def test_rule_5_orders_wait_for_those_that_are_not_acknowledged():
    scene = Scene(verbs=("bind",), backlog=100, acknowledge=False)
    scene.list(*RUNNING)
    scene.say("eight proxies at once, 16 lines a table and message: two fit")
    scene.join(*range(8))
    scene.tell(after=0.1)
    scene.say("the first has its table")
    scene.tell(("applied", 0, scene.planner.channel.owed[0][0]), after=0.1)
    same("rule_5", scene)


def test_rule_5_counted_messages_leave_half_for_what_cannot_wait():
    scene = Scene(verbs=("mark", "withdraw"), messages_most=4)
    scene.list(*RUNNING)
    scene.join(1)
    for took in (0.1, 0.3, 0.1, 0.4, 0.1, 0.4, 0.1):
        scene.second([0], took=took, calls=30)
        scene.second([1, 2], took=0.2, calls=30)
    scene.list((0, "draining", None), how="changes", after=0.1)
    scene.say("it may wait a little for others to share its messages")
    scene.tell(after=0.3)
    same("rule_5_messages", scene)


def test_own_zone_routes_have_a_table_for_each_zone():
    own = replace(BOOT.routes[1], own_zone=True)
    scene = Scene(verbs=("line", "bind"), routes=(BOOT.routes[0], own))
    scene.tell(("listed", "whole", [(b, "running", b % 2, 0, 1.0, 0) for b in range(3)]))
    scene.tell(("joined", 1, 0, 5.0, True), ("joined", 2, 1, 5.0, True))
    same("own_zone", scene)


def test_stale_list_and_old_tables_after_a_crash():
    scene = Scene(verbs=("line", "bind", "withdraw", "admit"))
    scene.tell(("listed", "held", [(b, "running", 0, 0, 1.0, 0) for b in range(3)]))
    scene.say("it comes with tables of a coordinator that knew more: they stay until something is learned")
    scene.tell(("joined", 5, 0, 20.0, False), after=0.2)
    scene.say("the list as it is now: one has gone, one came seconds ago")
    scene.list((0, "running", None), (1, "running", None), (3, "running", 4.0), after=0.5)
    scene.say("a proxy that comes after the withdrawal is told of it, too")
    scene.tell(("joined", 6, 0, 20.0, False), after=0.1)
    for _ in range(4):
        scene.second([0, 1], calls=20, came=(20, 20))
    same("after_a_crash", scene)


def test_rule_3_what_is_said_again_waits_for_room_for_those_who_came_since():
    scene = Scene(verbs=("withdraw",), backlog=620, acknowledge=False)
    scene.list(*((b, "running", None) for b in range(12)))
    scene.say("twenty proxies, of which hardly any can be bound; four backends go")
    scene.join(*range(20))
    scene.list(*((b, "gone", None) for b in range(4)), how="changes", after=0.1)
    scene.tell(after=0.3)
    scene.say("one more comes while the channel is full: four lines to one, not to all who wait, have to fit")
    scene.join(20, after=0.1)
    scene.tell(after=0.3)
    scene.tell(after=0.7)
    scene.say(f"behind: {scene.planner.behind}, lines that wait: {scene.planner.channel.queue:.0f}")
    same("rule_3_again", scene)
