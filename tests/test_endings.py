"""What is owed where something ends: the real `serve` on real connections, each bad order forced (see stage.py).
docs/endings.md has a row for each; the wording there and here is the same."""

import errno
import signal
import socket

import pytest

from cranecleat.protocol import http
from cranecleat.protocol.limits import FIRST_WAIT, LAG, LONGEST_WAIT, PROMPT, QUIET
from scene import chunk
from stage import Stage

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
PULSE = b"1\r\n\n\r\n"
ATTACH = "attach node=3 locality=a w=6.5 cold=1"
SOON = 4 * FIRST_WAIT / 1e6  # a dial after a first failure falls due within that


@pytest.fixture
def stage(tmp_path, monkeypatch):
    with Stage(tmp_path, monkeypatch) as stage:
        yield stage


def listed(stage):
    return [(fields["uid"], fields["state"]) for fields in stage.log.events("listed") if fields["scope"] != "held"]


def ends(stage, who="discovery"):
    return [fields["code"] for fields in stage.log.events("connection_ended") if fields["who"] == who]


# Watch of the list: whatever fails, exactly one next dial is due


@pytest.mark.parametrize("said, after", [
    (b"", PROMPT), (HEAD, QUIET), (HEAD + b"5\r\n{\"re", QUIET), (HEAD + PULSE, QUIET),
], ids=["quiet from the first byte", "quiet after the head", "half a line", "pulses that stop"])
def test_a_watch_that_goes_quiet_is_dialled_anew_once_wherever_it_stopped(stage, said, after):
    watch, _ = stage.watch()
    watch.sendall(said)
    stage.still()
    assert stage.dials(after / 1e6 - 0.1) == [] and ends(stage) == []
    assert len(stage.dials(0.1 + SOON)) == 1 and ends(stage) == ["silent"]


def test_bytes_that_trickle_without_a_line_are_no_pulse(stage):
    watch, _ = stage.watch()
    watch.sendall(HEAD + b"fffff\r\n")
    dialled = []
    for _ in range(int((LAG + LONGEST_WAIT) / 1e6) + 1):
        try:
            watch.sendall(b" ")
        except OSError as failure:
            assert failure.errno in (errno.EPIPE, errno.ECONNRESET)
        dialled += stage.dials(1.0)
    assert ends(stage)[:1] == ["silent"] and dialled[0][1].endswith("from=41 HTTP/1.1")


def test_a_list_that_takes_longer_than_a_pulse_to_come_gets_in_at_the_next_try(stage):
    """Cut for ever at the same time, a long list on a slow machine would never be heard."""
    body = chunk(stage.service.list(42, s_1="active", s_8="active"))
    piece = len(body) // 12
    for tries in (1, 2):
        (watch, _), = stage.dials(SOON)
        watch.sendall(HEAD)
        for at in range(0, len(body), piece):
            if len(ends(stage)) < tries:
                watch.sendall(body[at:at + piece])
                stage.pass_by(0.3)
    assert ends(stage) == ["silent"]
    assert listed(stage) == [("s-1", "running"), ("s-8", "running")]


def test_an_end_in_mid_chunk_takes_no_version_and_the_next_watch_asks_from_the_last_whole_one(stage):
    watch, _ = stage.watch()
    whole = chunk(stage.service.list(42, full=False, s_2="active"))
    watch.sendall(HEAD + whole + chunk(stage.service.list(43, full=False, s_3="active"))[:-8])
    stage.still()
    watch.close()
    (_, asked), = stage.dials(SOON)
    assert asked.endswith("from=42 HTTP/1.1") and listed(stage) == [("s-2", "running")] and ends(stage) == ["closed"]


@pytest.mark.parametrize("failure", [UnicodeError("label too long"), ValueError("odd"), OSError(errno.EPERM, "no")],
                         ids=["a name that cannot be looked up", "anything else", "not permitted"])
def test_whatever_a_dial_raises_another_one_is_due(tmp_path, monkeypatch, failure):
    with Stage(tmp_path, monkeypatch) as stage:
        (watch, _), dial = stage.watch(), stage.loop.create_connection
        watch.sendall(HEAD + PULSE)
        stage.still()

        async def fails(*_, **__):
            stage.loop.create_connection = dial
            raise failure

        stage.loop.create_connection = fails
        watch.close()
        assert len(stage.dials(2 * SOON)) == 1
        assert ends(stage) == ["closed", "refused"]


def test_a_name_of_discovery_that_no_look_up_takes_leaves_one_dial_due_and_a_later_move_is_followed(stage):
    stage.watch()
    stage.reload(discovery="a..b:80")
    stage.pass_by(2 * LONGEST_WAIT / 1e6)
    assert ends(stage).count("refused") >= 2 and not stage.log.events("internal")
    stage.reload(discovery=stage.service.where(stage.service.registry))
    stage.watch()


def test_a_watch_whose_question_cannot_be_sent_is_found_silent(stage, monkeypatch):
    watch, _ = stage.watch()
    ask = http.get

    def fails(*_):
        monkeypatch.setattr(http, "get", ask)
        raise ValueError("a question that cannot be put")

    monkeypatch.setattr(http, "get", fails)
    watch.close()
    stage.pass_by(SOON)
    mute, _ = stage.service.registry.accept()  # it was never asked anything
    stage.service.open.append(mute)
    stage.pass_by(PROMPT / 1e6 + SOON)
    assert ends(stage) == ["closed", "silent"]
    stage.watch()


def test_what_cannot_be_taken_in_takes_no_version(stage):
    """A fault of ours amid an entry: the watch ends with it, and the next one brings the entry again."""
    watch, _ = stage.watch()
    known, calls = stage.hub.streams.listed, []

    def fails_once(scope, entries):
        calls.append(scope)
        if len(calls) == 1:
            raise RuntimeError("amid an entry")
        known(scope, entries)

    stage.hub.streams.listed = fails_once
    watch.sendall(HEAD + chunk(stage.service.list(42, full=False, s_1="leaving")))
    stage.still()
    (again, asked), = stage.dials(SOON)
    assert asked.endswith("from=41 HTTP/1.1")
    again.sendall(HEAD + chunk(stage.service.list(42, full=False, s_1="leaving")))
    stage.still()
    assert calls == ["changes", "changes"] and stage.hub.registry.version == 42


def test_versions_counted_anew_are_noticed_and_the_whole_list_is_asked_for(stage):
    watch, _ = stage.watch()
    watch.sendall(HEAD + chunk(stage.service.list(42, full=False, s_2="active")))
    stage.still()
    watch.sendall(chunk(stage.service.list(7, full=False, s_3="active")))  # an agent may lag: not believed
    stage.pass_by(1.0)
    for _ in range(3):
        watch.sendall(PULSE)
        stage.pass_by(LAG / 3e6)
    assert listed(stage) == [("s-2", "running")] and ends(stage) == []
    watch.sendall(chunk(stage.service.list(8, full=False, s_4="active")))
    (again, asked), = stage.dials(SOON)
    assert asked.endswith("from=0 HTTP/1.1") and ends(stage) == ["bad_list"]
    again.sendall(HEAD + chunk(stage.service.list(8, s_1="active", s_3="active", s_4="active")))
    stage.still()
    assert listed(stage)[1:] == [("s-1", "running"), ("s-3", "running"), ("s-4", "running")]
    assert stage.hub.registry.version == 8


def test_a_move_and_a_move_back_while_a_dial_is_under_way_leave_one_watch(stage):
    first = stage.service.told["discovery"]
    stage.watch()
    with socket.create_server(("127.0.0.1", 0)) as second:
        second.setblocking(False)
        stage.write({**stage.service.told, "discovery": stage.service.where(second)})
        signal.raise_signal(signal.SIGHUP)
        stage.until(lambda: stage.log.events("reloaded"))  # the dial has begun and not come through
        stage.reload(discovery=first)
        (watch, _), = stage.dials(SOON)
        watch.sendall(HEAD + PULSE)
        stage.still()
        assert ends(stage).count("replaced") == 1
        assert stage.dials(QUIET / 1e6 - 0.1) == [] and not stage.hub.registry.due


def test_an_old_watch_that_dies_after_the_move_and_before_the_new_one_speaks_starts_nothing(stage):
    old, _ = stage.watch()
    old.sendall(HEAD + PULSE)
    with socket.create_server(("127.0.0.1", 0)) as second:
        second.setblocking(False)
        stage.reload(discovery=stage.service.where(second))
        new, _ = stage.watch(second)
        old.close()
        assert stage.dials(PROMPT / 1e6 - 0.1) == []
        new.sendall(HEAD + PULSE)
        assert stage.dials(QUIET / 1e6 - 0.1) == [] and ends(stage) == ["closed"]
        new.close()
        assert len(stage.dials(SOON, second)) == 1


# A list that names what no order can hold


@pytest.mark.parametrize("name", ["s-\ud800", "s-\x00", "s-\x7f"], ids=ascii)
def test_a_name_that_no_order_can_hold_costs_itself_only(stage, name):
    proxy = stage.dial(ATTACH)
    watch, _ = stage.watch()
    entry = stage.service.list(42, full=False, s_2="active", x="active")
    entry["targets"][1]["uid"] = name
    watch.sendall(HEAD + chunk(entry))
    stage.pass_by(5.0)
    assert not stage.log.events("planner_failed") and "s-2:" in stage.got(proxy)
    assert [fields["count"] for fields in stage.log.events("bad_entry")] == [1]


# Forgetting


def test_a_name_that_comes_back_as_it_is_forgotten_is_a_backend_of_its_own(stage):
    """Its index goes to another name in the same instant, with reports of the old one still on their way."""
    watch, _ = stage.watch()
    watch.sendall(HEAD + chunk(stage.service.list(42, full=False, s_1="left", s_2="active")))
    collector = stage.dial("telemetry locality=a")
    proxy = stage.dial(ATTACH)
    hub, met = stage.hub, "upstream_stats locality=a endpoint=s-1 total=9 errors=0 rtt=50 interval=1000\r\n"
    stage.still()
    index = hub.names.index["s-1"]
    while "s-1" in hub.names.index:
        watch.sendall(PULSE)
        stage.pass_by(1.0)
    assert hub.names.ids[index] is None
    collector.sendall(met.encode())  # of the old one, late
    watch.sendall(chunk(stage.service.list(43, full=False, s_9="active")) +
                  chunk(stage.service.list(44, full=False, s_1="active")))
    collector.sendall(met.encode())
    stage.got(proxy)
    stage.pass_by(3.0)
    assert hub.names.index["s-9"] == index != hub.names.index["s-1"]
    fresh, back = (hub.planner.backends[hub.names.index[name]] for name in ("s-9", "s-1"))
    assert fresh.calls == 0 and back.calls in (0, 9) and not hub.streams.out
    orders = stage.got(proxy)
    assert "s-9:" in orders and "s-1:" in orders


def test_a_backend_that_leaves_and_is_back_in_one_entry_is_not_withdrawn(stage):
    proxy = stage.dial(ATTACH)
    watch, _ = stage.watch()
    watch.sendall(HEAD + chunk(stage.service.list(42, full=False, s_2="active")))
    stage.pass_by(2.0)
    stage.got(proxy)
    entry = stage.service.list(43, full=False, s_2="left")
    entry["targets"] += stage.service.list(43, full=False, s_2="active")["targets"]
    watch.sendall(chunk(entry))
    for _ in range(4):
        watch.sendall(PULSE)
        stage.pass_by(1.0)
    assert "drop=" not in stage.got(proxy) and not stage.hub.streams.out


# Draining


def test_a_withdrawal_is_told_to_who_joins_or_is_bound_between_the_decision_and_the_message(stage):
    first = stage.dial(ATTACH)
    watch, _ = stage.watch()
    watch.sendall(HEAD + chunk(stage.service.list(42, full=False, s_2="active")))
    stage.pass_by(2.0)
    nonce = stage.got(first).rpartition("stamp=")[2].split()[0]
    first.sendall(f"done node=3 nonce={nonce} latency=1\r\n".encode())
    late, decide = [], stage.hub.planner.push

    def push(turn):
        decide(turn)
        if stage.hub.streams.out and not late:  # decided, and not a byte written yet
            late.append(stage.dial(ATTACH.replace("3", "4")))

    stage.hub.planner.push = push
    watch.sendall(chunk(stage.service.list(43, full=False, s_2="leaving")))
    for _ in range(3):
        stage.pass_by(1.0)
        watch.sendall(PULSE)
    assert "drop=s-2" in stage.got(first)
    orders = stage.got(late[0])
    assert "replace=1" in orders and "s-2:" not in orders.replace("s-2:0", "")


def test_a_table_brought_from_another_coordinator_loses_what_has_left(stage):
    watch, _ = stage.watch()
    watch.sendall(HEAD + chunk(stage.service.list(42, full=False, s_1="leaving", s_2="active")))
    stage.pass_by(1.0)
    watch.sendall(PULSE)
    moved = stage.dial(ATTACH.replace("cold=1", "cold=0"))
    for _ in range(4):
        stage.pass_by(1.0)
        watch.sendall(PULSE)
    orders = stage.got(moved)
    assert "drop=s-1" in orders or "replace=1" in orders and "s-1:" not in orders
