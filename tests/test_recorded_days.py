"""Recorded days: the planner makes the same decisions as before, event for event. Accept an intended change with
ACCEPT_TRACES=1; to see what changed, compare `python -m cranecleat rehearse decisions NAME` of both versions."""

import pytest

from cranecleat import policy
from cranecleat.rehearsal.recording import DAYS, Recorder, digests, format_lines, play
from planner_harness import assert_matches_trace


@pytest.fixture(scope="module")
def played():
    return {name: play(day()) for name, day in DAYS.items()}


@pytest.mark.parametrize("name", DAYS)
def test_a_recorded_day_leads_to_the_same_decisions(played, name):
    assert_matches_trace(f"recorded_{name}", list(digests(played[name])))


def test_the_days_contain_the_situations_that_they_are_for(played):
    """Subsets in one of them only; running, draining and gone backends in both; refused calls in the small fleet."""
    tables = {
        name: {line.split()[4] for line in format_lines(rounds) if " -> set_weight " in line}
        for name, rounds in played.items()
    }
    assert len(tables["small_fleet"]) == 2 and len(tables["parted_fleet"]) > 5
    for rounds in played.values():
        listed = [call for one in rounds for call in one.events if call.startswith("backends_listed")]
        assert all(any(f"'{state}'" in call for call in listed) for state in ("running", "draining", "gone"))
    levels = [line for line in format_lines(played["small_fleet"]) if " -> set_admission " in line]
    assert any(float(line.split()[-2]) < 1.0 for line in levels)


@pytest.mark.parametrize(
    "constant, value",
    [("ASSUMED_LOAD", 0.66), ("WEIGHT_TOLERANCE", 0.11), ("EJECT_MISSING_ANSWERS", 9), ("MIN_TABLE_SHARE", 0.6)],
)
def test_a_changed_constant_is_caught(played, monkeypatch, constant, value):
    monkeypatch.setattr(policy, constant, value)
    assert any(list(digests(play(day()))) != list(digests(played[name])) for name, day in DAYS.items())


def test_a_swapped_order_of_two_decisions_is_caught(played):
    rounds = played["small_fleet"]
    changed = next(one for one in rounds if len(set(one.decisions)) > 1)
    before = list(digests(rounds))
    changed.decisions.reverse()
    after = list(digests(rounds))
    changed.decisions.reverse()
    assert before != after and list(digests(rounds)) == before


def test_a_recorder_passes_on_the_decisions_that_it_records():
    class Writer:
        def request_ack(self, number):
            return {number}

    rounds = []
    recorder = Recorder(rounds, 3)
    writer = recorder.wrap_writer(Writer())
    recorder.begin_round(1_500_000, [("proxy_left", 7)])
    assert writer.request_ack(5) == {5}
    assert list(format_lines(rounds)) == ["1.500000 n3 <- proxy_left 7", "1.500000 n3 -> request_ack 5"]
