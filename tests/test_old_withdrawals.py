"""Rule 3 where one message is left out, or waits, for another one: proxies that join with tables that name backends
which went long ago, and withdrawals that wait for room. Timers fire when they are due, and messages take a while."""

from dataclasses import replace

import pytest

from cranecleat.policy import FORGET_GRACES, RECENT_GRACES
from planner_harness import BOOTSTRAP, SECOND
from timed_harness import ALLOWANCE, TABLES, TimedCoordinator


@pytest.mark.parametrize("graces_gone", [1, RECENT_GRACES - 0.5, RECENT_GRACES + 0.5, 12, FORGET_GRACES + 2, 60])
@pytest.mark.parametrize("grace", [1, 2, 10])
@pytest.mark.parametrize("tables", TABLES)
def test_a_proxy_that_was_cut_off_stops_sending_to_a_backend_that_went_meanwhile(tables, grace, graces_gone):
    """Guards against a withdrawal that is not repeated because a binding is to replace the table, and a binding that
    waits: a coordinator without reports kept proxies on their tables for three seconds, whatever these named."""
    coordinator = TimedCoordinator(16 if tables == "full" else 80, grace=grace * SECOND, **TABLES[tables])
    coordinator.list_states({3: "draining"})
    coordinator.run_until(coordinator.now + SECOND)
    coordinator.list_states({3: "gone"})
    coordinator.run_until(coordinator.now + round(graces_gone * grace * SECOND))
    forgotten = 3 not in coordinator.planner.backends
    assert forgotten == (graces_gone > FORGET_GRACES)
    coordinator.join(1, range(2, 6), uses_initial_table=False)
    coordinator.run_until(coordinator.now + SECOND // 2)
    coordinator.join(2, range(2, 6), uses_initial_table=False)  # before the deadline of the first one
    coordinator.run_until(coordinator.joined_at[1] + grace * SECOND + ALLOWANCE)
    assert not coordinator.holds(1, 3)
    coordinator.run_until(coordinator.joined_at[2] + grace * SECOND + ALLOWANCE)
    assert not coordinator.holds(2, 3)


@pytest.mark.parametrize("grace, cycle", [(2, 1), (1, 4)])
def test_a_proxy_without_a_binding_in_sight_is_told_of_old_withdrawals_with_subsets(grace, cycle):
    """Guards against repeated withdrawals that are dropped because bindings are expected: here no table of the proxy's
    zone has any entry, so that the binding never comes. Nor may they wait for a cycle that is longer than the grace."""
    in_zone = tuple(replace(route, own_zone=True) for route in BOOTSTRAP.routes)
    coordinator = TimedCoordinator(80, grace=grace * SECOND, cycle=cycle * SECOND, routes=in_zone, **TABLES["subsets"])
    for b in range(1, 80, 2):
        coordinator.list_states({b: "gone"})
    coordinator.run_until(coordinator.now + 12 * SECOND)
    assert coordinator.planner.subset_count
    coordinator.join(1, (1, 3, 5), uses_initial_table=True)
    coordinator.run_until(coordinator.now + grace * SECOND + ALLOWANCE)
    assert 1 in coordinator.planner.users.waiting
    assert not any(coordinator.holds(1, b) for b in (1, 3, 5))


def test_proxies_that_are_bound_at_once_are_told_of_no_old_withdrawals():
    """The repeats cost a line for each backend and proxy, which the channel needs for bindings."""
    coordinator = TimedCoordinator(16, grace=SECOND)
    for b in range(4):
        coordinator.list_states({b: "gone"})
    coordinator.run_until(coordinator.now + 8 * SECOND)
    for p in range(3):
        coordinator.join(p, range(4, 10), uses_initial_table=True)
    coordinator.run_until(coordinator.now + 4 * SECOND)
    assert not coordinator.planner.users.waiting
    assert all(not proxy.withdrawn for proxy in coordinator.proxies.values())


@pytest.mark.parametrize("graces_gone", [1, 7])
@pytest.mark.parametrize("backlog", [300, 1500])
def test_bindings_that_wait_for_room_are_not_held_up_by_withdrawals(backlog, graces_gone):
    """Guards against bindings that wait for withdrawals which never fit into the channel, as all waiting proxies get
    them at once, and against old withdrawals for proxies of which each is bound in its turn: with 150 proxies and 18 of
    them the last binding came after 18.6 s instead of 5.2 s."""
    coordinator = TimedCoordinator(16, grace=2 * SECOND, backlog=backlog, channel_lines_per_second=float(backlog))
    coordinator.list_states(dict.fromkeys(range(6), "gone"))
    coordinator.run_until(coordinator.now + 2 * graces_gone * SECOND)
    for p in range(40):
        coordinator.join(p, range(6, 12), uses_initial_table=True)
    coordinator.run_until(coordinator.now + SECOND)
    assert coordinator.planner.users.waiting  # until the deadline
    coordinator.run_until(coordinator.now + 20 * SECOND)
    assert not coordinator.planner.users.waiting
    if graces_gone > RECENT_GRACES:
        assert not any(proxy.withdrawn for proxy in coordinator.proxies.values())


@pytest.mark.parametrize("proxies", [150, 200, 400])
def test_a_drain_is_within_the_grace_however_many_proxies_a_coordinator_serves(proxies):
    """Guards against a withdrawal that is never written, as a message to each proxy does not fit into the backlog at
    once: such a coordinator has to divide the fleet, so that the entry of the backend is removed table by table."""
    grace = 2 * SECOND
    coordinator = TimedCoordinator(30, grace=grace, backlog=2400, channel_lines_per_second=2400.0, proxies=proxies)
    for p in range(proxies):
        coordinator.join(p, range(10), uses_initial_table=True)
    coordinator.run_until(coordinator.now + 15 * SECOND)
    assert not coordinator.planner.users.waiting
    coordinator.list_states({3: "draining"})
    coordinator.run_until(coordinator.now + grace + ALLOWANCE)
    assert not any(coordinator.holds(p, 3) for p in range(proxies))
    assert coordinator.planner.channel.queued_lines <= 2400
