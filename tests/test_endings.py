"""What is owed where something ends: the real `serve` on real connections, each bad order forced (see stage.py).
docs/endings.md has a row for each; the wording there and here is the same."""

import errno
import os
import signal
import socket

import pytest

from cranecleat.protocol import http
from cranecleat.protocol.limits import (
    FIRST_REDIAL_DELAY_US,
    FIRST_RESPONSE_TIMEOUT_US,
    HEARTBEAT_TIMEOUT_US,
    MAX_AGENT_LAG_US,
    MAX_REDIAL_DELAY_US,
)
from cranecleat.protocol.reasons import Reason
from planner_harness import CoordinatorProcess, http_chunk
from service_harness import ServiceHarness

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
PULSE = b"1\r\n\n\r\n"
ATTACH = "attach node=3 locality=a w=6.5 cold=1"
SOON = 4 * FIRST_REDIAL_DELAY_US / 1e6  # a dial after a first failure falls due within that


@pytest.fixture
def stage(tmp_path, monkeypatch):
    with ServiceHarness(tmp_path, monkeypatch) as stage:
        yield stage


def listed(stage):
    return [(fields["uid"], fields["state"]) for fields in stage.log.events("listed") if fields["scope"] != "held"]


def ends(stage, who="discovery"):
    return [fields["code"] for fields in stage.log.events("connection_ended") if fields["who"] == who]


# Watch of the list: whatever fails, exactly one next dial is due


@pytest.mark.parametrize(
    "said, after",
    [
        (b"", FIRST_RESPONSE_TIMEOUT_US),
        (HEAD, HEARTBEAT_TIMEOUT_US),
        (HEAD + b'5\r\n{"re', HEARTBEAT_TIMEOUT_US),
        (HEAD + PULSE, HEARTBEAT_TIMEOUT_US),
    ],
    ids=["quiet from the first byte", "quiet after the head", "half a line", "pulses that stop"],
)
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
    for _ in range(int((MAX_AGENT_LAG_US + MAX_REDIAL_DELAY_US) / 1e6) + 1):
        try:
            watch.sendall(b" ")
        except OSError as failure:
            assert failure.errno in (errno.EPIPE, errno.ECONNRESET)
        dialled += stage.dials(1.0)
    assert ends(stage)[:1] == ["silent"] and dialled[0][1].endswith("from=41 HTTP/1.1")


def test_a_list_that_takes_longer_than_a_pulse_to_come_gets_in_at_the_next_try(stage):
    """Cut for ever at the same time, a long list on a slow machine would never be heard."""
    body = http_chunk(stage.service.list_backends(42, s_1="active", s_8="active"))
    piece = len(body) // 12
    for tries in (1, 2):
        ((watch, _),) = stage.dials(SOON)
        watch.sendall(HEAD)
        for at in range(0, len(body), piece):
            if len(ends(stage)) < tries:
                watch.sendall(body[at : at + piece])
                stage.pass_by(0.3)
    assert ends(stage) == ["silent"]
    assert listed(stage) == [("s-1", "running"), ("s-8", "running")]


def test_an_end_in_mid_chunk_takes_no_version_and_the_next_watch_asks_from_the_last_whole_one(stage):
    watch, _ = stage.watch()
    whole = http_chunk(stage.service.list_backends(42, full=False, s_2="active"))
    watch.sendall(HEAD + whole + http_chunk(stage.service.list_backends(43, full=False, s_3="active"))[:-8])
    stage.still()
    watch.close()
    ((_, asked),) = stage.dials(SOON)
    assert asked.endswith("from=42 HTTP/1.1") and listed(stage) == [("s-2", "running")] and ends(stage) == ["closed"]


@pytest.mark.parametrize(
    "failure",
    [UnicodeError("label too long"), ValueError("odd"), OSError(errno.EPERM, "no")],
    ids=["a name that cannot be looked up", "anything else", "not permitted"],
)
def test_whatever_a_dial_raises_another_one_is_due(tmp_path, monkeypatch, failure):
    with ServiceHarness(tmp_path, monkeypatch) as stage:
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
    stage.pass_by(2 * MAX_REDIAL_DELAY_US / 1e6)
    assert ends(stage).count("refused") >= 2 and not stage.log.events("internal")
    stage.reload(discovery=stage.service.format_address(stage.service.registry))
    stage.watch()


def test_a_watch_whose_question_cannot_be_sent_is_found_silent(stage, monkeypatch):
    watch, _ = stage.watch()
    ask = http.build_get

    def fails(*_):
        monkeypatch.setattr(http, "build_get", ask)
        raise ValueError("a question that cannot be put")

    monkeypatch.setattr(http, "build_get", fails)
    watch.close()
    stage.pass_by(SOON)
    mute, _ = stage.service.registry.accept()  # it was never asked anything
    stage.service.sockets.append(mute)
    stage.pass_by(FIRST_RESPONSE_TIMEOUT_US / 1e6 + SOON)
    assert ends(stage) == ["closed", "silent"]
    stage.watch()


def test_what_cannot_be_taken_in_takes_no_version(stage):
    """A fault of ours amid an entry: the watch ends with it, and the next one brings the entry again."""
    watch, _ = stage.watch()
    known, calls = stage.coordinator.streams.backends_listed, []

    def fails_once(scope, entries):
        calls.append(scope)
        if len(calls) == 1:
            raise RuntimeError("amid an entry")
        known(scope, entries)

    stage.coordinator.streams.backends_listed = fails_once
    watch.sendall(HEAD + http_chunk(stage.service.list_backends(42, full=False, s_1="leaving")))
    stage.still()
    ((again, asked),) = stage.dials(SOON)
    assert asked.endswith("from=41 HTTP/1.1")
    again.sendall(HEAD + http_chunk(stage.service.list_backends(42, full=False, s_1="leaving")))
    stage.still()
    assert calls == ["changes", "changes"] and stage.coordinator.discovery.version == 42


def test_versions_counted_anew_are_noticed_and_the_whole_list_is_asked_for(stage):
    watch, _ = stage.watch()
    watch.sendall(HEAD + http_chunk(stage.service.list_backends(42, full=False, s_2="active")))
    stage.still()
    watch.sendall(
        http_chunk(stage.service.list_backends(7, full=False, s_3="active"))
    )  # an agent may lag: not believed
    stage.pass_by(1.0)
    for _ in range(3):
        watch.sendall(PULSE)
        stage.pass_by(MAX_AGENT_LAG_US / 3e6)
    assert listed(stage) == [("s-2", "running")] and ends(stage) == []
    watch.sendall(http_chunk(stage.service.list_backends(8, full=False, s_4="active")))
    ((again, asked),) = stage.dials(SOON)
    assert asked.endswith("from=0 HTTP/1.1") and ends(stage) == ["bad_list"]
    again.sendall(HEAD + http_chunk(stage.service.list_backends(8, s_1="active", s_3="active", s_4="active")))
    stage.still()
    assert listed(stage)[1:] == [("s-1", "running"), ("s-3", "running"), ("s-4", "running")]
    assert stage.coordinator.discovery.version == 8


def test_a_move_and_a_move_back_while_a_dial_is_under_way_leave_one_watch(stage):
    first = stage.service.configuration["discovery"]
    stage.watch()
    with socket.create_server(("127.0.0.1", 0)) as second:
        second.setblocking(False)
        stage.write({**stage.service.configuration, "discovery": stage.service.format_address(second)})
        signal.raise_signal(signal.SIGHUP)
        stage.until(lambda: stage.log.events("reloaded"))  # the dial has begun and not come through
        stage.reload(discovery=first)
        ((watch, _),) = stage.dials(SOON)
        watch.sendall(HEAD + PULSE)
        stage.still()
        assert ends(stage).count("replaced") == 1
        assert stage.dials(HEARTBEAT_TIMEOUT_US / 1e6 - 0.1) == [] and not stage.coordinator.discovery.dial_scheduled


def test_an_old_watch_that_dies_after_the_move_and_before_the_new_one_speaks_starts_nothing(stage):
    old, _ = stage.watch()
    old.sendall(HEAD + PULSE)
    with socket.create_server(("127.0.0.1", 0)) as second:
        second.setblocking(False)
        stage.reload(discovery=stage.service.format_address(second))
        new, _ = stage.watch(second)
        old.close()
        assert stage.dials(FIRST_RESPONSE_TIMEOUT_US / 1e6 - 0.1) == []
        new.sendall(HEAD + PULSE)
        assert stage.dials(HEARTBEAT_TIMEOUT_US / 1e6 - 0.1) == [] and ends(stage) == ["closed"]
        new.close()
        assert len(stage.dials(SOON, second)) == 1


# A list that names what no order can hold


@pytest.mark.parametrize("name", ["s-\ud800", "s-\x00", "s-\x7f"], ids=ascii)
def test_a_name_that_no_order_can_hold_costs_itself_only(stage, name):
    proxy = stage.dial(ATTACH)
    watch, _ = stage.watch()
    entry = stage.service.list_backends(42, full=False, s_2="active", x="active")
    entry["targets"][1]["uid"] = name
    watch.sendall(HEAD + http_chunk(entry))
    stage.pass_by(5.0)
    assert not stage.log.events("planner_failed") and "s-2:" in stage.got(proxy)
    assert [fields["count"] for fields in stage.log.events("bad_entry")] == [1]


# Stop: each connection has its line before `stopped`, and later signals change nothing


def test_who_was_taken_as_the_end_came_is_ended_and_told_before_stopped(stage):
    stage.dial("telemetry locality=a", "hb")
    stage.still()
    late = []

    def as_it_ends():
        late.extend(stage.dial(ATTACH) for _ in range(3))
        stage.listener.accept_connections()

    stage.log.on("stopping", as_it_ends)
    stage.signal(signal.SIGTERM)
    stage.until(stage.task.done)
    assert stage.task.result() == 0 and stage.log.lines[-1][0] == "stopped"
    assert ends(stage, "stranger") == ["stopping"] * 3 and ends(stage, "collector") == ["stopping"]
    assert not stage.log.events("joined") and [stage.got(one) for one in late] == [None] * 3


def test_a_watch_that_comes_up_as_the_end_comes_is_ended_and_told(stage):
    stage.watch()
    with socket.create_server(("127.0.0.1", 0)) as second:
        second.setblocking(False)
        stage.log.on("stopping", lambda: stage.coordinator.discovery.change_address(second.getsockname()))
        stage.signal(signal.SIGTERM)
        stage.until(stage.task.done)
        assert stage.log.lines[-1][0] == "stopped" and set(ends(stage)) == {"stopping"}
        assert stage.coordinator.connections == set()


LATER = """
import asyncio.runners as r, os, signal
close = r.Runner.close
def closed(self):
    close(self)
    os.kill(os.getpid(), signal.{})
r.Runner.close = closed
"""


@pytest.mark.parametrize("second", ["SIGTERM", "SIGINT", "SIGHUP"])
def test_a_second_signal_after_the_loop_has_closed_changes_nothing(tmp_path, second):
    with CoordinatorProcess(tmp_path).start(LATER.format(second)) as service:
        service.wait_for_log("serving")
        service.process.send_signal(signal.SIGTERM)
        assert service.wait_for_exit() == (0, "")


@pytest.mark.parametrize("first", ["SIGTERM", "SIGINT"])
def test_a_signal_that_comes_before_the_loop_stops_it_as_soon_as_it_serves(tmp_path, first):
    early = (
        f"import cranecleat.service.run as r, os, signal; read = r.read_configuration\n"
        f"r.read_configuration = lambda *v: (os.kill(os.getpid(), signal.{first}), read(*v))[1]"
    )
    with CoordinatorProcess(tmp_path).start(early) as service:
        assert "code=0" in service.wait_for_log("stopped")
        assert service.wait_for_exit() == (0, "")


def test_sighup_amid_the_stop_dials_nothing(stage):
    stage.watch()
    with socket.create_server(("127.0.0.1", 0)) as second:
        second.setblocking(False)
        stage.write({**stage.service.configuration, "discovery": stage.service.format_address(second)})
        stage.log.on("stopping", lambda: os.kill(os.getpid(), signal.SIGHUP))
        stage.signal(signal.SIGTERM)
        stage.until(stage.task.done)
        assert stage.task.result() == 0 and stage.taken(second) is None


# Configuration


@pytest.mark.parametrize(
    "change",
    [
        {"limits": {"memory_mb": 1e999, "sockets": 64}},
        {"settings": {"round": 1e999}},
        {"settings": {"specifics": {"cycle": 1e999}}},
    ],
    ids=str,
)
def test_a_figure_without_end_is_one_line_at_the_start_and_at_sighup(tmp_path, change):
    with CoordinatorProcess(tmp_path).start() as service:
        service.wait_for_log("serving")
        told = {
            **service.configuration,
            **{key: {**service.configuration[key], **more} for key, more in change.items()},
        }
        if "specifics" in change.get("settings", {}):
            told["settings"]["specifics"] = {**service.configuration["settings"]["specifics"], "cycle": 1e999}
        before, service.configuration = service.configuration, told
        service.reload()
        assert "infinity" in service.wait_for_log("reload_failed|internal|Error") and service.responds()
        service.configuration = {**told, "listen": before["listen"]}
        code, errors = CoordinatorProcess.start(service).wait_for_exit()
        assert code == 2 and errors.count("\n") == 1 and errors.startswith("cranecleat: ")


# Streams: the end of one


def test_a_proxy_that_ends_its_side_with_orders_unread_has_left(stage):
    """Its stream could stay in its last throes for as long as it reads nothing, and count as joined meanwhile."""
    proxy = stage.dial(ATTACH)
    stage.until(lambda: stage.coordinator.streams.joined)
    stream = stage.coordinator.streams.joined[3].connection
    stream.transport.write(b"x" * (16 << 20))  # beyond what the system takes for it
    stage.still()
    assert stream.transport.get_write_buffer_size()
    proxy.shutdown(socket.SHUT_WR)
    stage.still()
    assert stage.coordinator.streams.joined == {} and ends(stage, "proxy") == ["closed"]


def test_what_came_ahead_of_the_end_counts(stage):
    collector = stage.dial(
        "telemetry locality=a", "upstream_stats locality=a endpoint=s-1 total=9 errors=0 rtt=50 interval=1000"
    )
    collector.shutdown(socket.SHUT_WR)
    stage.pass_by(0.1)
    assert ends(stage, "collector") == ["closed"] and stage.coordinator.planner.backends[0].answer_count == 9


def test_the_end_of_a_replaced_stream_seen_after_the_join_of_the_new_one_means_nothing(stage):
    old = stage.dial(ATTACH)
    stage.until(lambda: stage.coordinator.streams.joined)
    new = stage.dial(ATTACH)
    old.close()
    stage.pass_by(2.0)
    assert stage.coordinator.streams.joined[3].connection.reason is None and 3 in stage.coordinator.planner.proxies
    assert "stamp=" in stage.got(new) and len(stage.coordinator.planner.users.waiting) == 0


def test_a_stream_given_up_in_the_round_that_writes_to_it_leaves_the_others_theirs(stage):
    proxies = [stage.dial(ATTACH.replace("3", str(number))) for number in (1, 2, 3)]
    stage.until(lambda: len(stage.coordinator.streams.joined) == 3)
    streams = stage.coordinator.streams.joined
    messages = stage.coordinator.streams.messages

    def with_one_too_many():
        found = messages()
        if found:
            stage.coordinator.streams.messages = messages
            streams[1].connection.end(Reason.UNREAD)  # as the first write of this round may
        return found

    stage.coordinator.streams.messages = with_one_too_many
    stage.pass_by(1.0)
    assert [bool(stage.got(one)) for one in proxies] == [
        False,
        True,
        True,
    ] and 1 not in stage.coordinator.planner.proxies
    assert 1 not in {p for _, lines, _ in stage.coordinator.planner.channel.unacknowledged for p in lines}


def test_marks_that_are_never_answered_hold_up_no_others(tmp_path, monkeypatch):
    """Streams that have gone silent count as left, whoever notices. What waits for them fills the channel's account,
    and with nobody else to answer it stayed full: who came later was never bound."""
    names = {f"s_{n}": "active" for n in range(40)}
    with ServiceHarness(tmp_path, monkeypatch, known=CoordinatorProcess(tmp_path).list_backends(41, **names)) as stage:
        for number in range(7):
            stage.dial(ATTACH.replace("3", str(number)))
        stage.pass_by(2.0)
        planner, late = stage.coordinator.planner, stage.dial(ATTACH.replace("3", "7"))
        stage.pass_by(2.0)
        assert list(planner.users.waiting) == [7] and planner.channel.queued_lines > planner.bootstrap.backlog / 4
        stage.pass_by(6 * planner.bootstrap.grace / 1e6)
        assert "replace=1" in stage.got(late) and not planner.users.waiting
        assert planner.channel.queued_lines <= planner.bootstrap.backlog / 2


# Start


def test_a_sign_of_life_behind_hundreds_of_joins_is_answered_in_the_order_of_coming(tmp_path, monkeypatch):
    settings = {**CoordinatorProcess(tmp_path).configuration["settings"]}
    settings["specifics"] = {**settings["specifics"], "proxyCount": 600}
    with ServiceHarness(tmp_path, monkeypatch, settings=settings) as stage:
        joins = [stage.dial(f"attach node={n} locality=a w=1 cold=1") for n in range(400)]
        asking = stage.dial("hb")
        stage.until(lambda: stage.got(asking))
        assert stage.loop.seconds == 1000.0  # no due time had to pass for it
        stage.until(lambda: len(stage.coordinator.streams.joined) == 400)
        assert len(joins) == 400 and not ends(stage, "stranger")


# Forgetting


def test_a_name_that_comes_back_as_it_is_forgotten_is_a_backend_of_its_own(stage):
    """Its index goes to another name in the same instant, with reports of the old one still on their way."""
    watch, _ = stage.watch()
    watch.sendall(HEAD + http_chunk(stage.service.list_backends(42, full=False, s_1="left", s_2="active")))
    collector = stage.dial("telemetry locality=a")
    proxy = stage.dial(ATTACH)
    coordinator, met = (
        stage.coordinator,
        "upstream_stats locality=a endpoint=s-1 total=9 errors=0 rtt=50 interval=1000\r\n",
    )
    stage.still()
    index = coordinator.names.index["s-1"]
    while "s-1" in coordinator.names.index:
        watch.sendall(PULSE)
        stage.pass_by(1.0)
    assert coordinator.names.ids[index] is None
    collector.sendall(met.encode())  # of the old one, late
    watch.sendall(
        http_chunk(stage.service.list_backends(43, full=False, s_9="active"))
        + http_chunk(stage.service.list_backends(44, full=False, s_1="active"))
    )
    collector.sendall(met.encode())
    stage.got(proxy)
    stage.pass_by(3.0)
    assert coordinator.names.index["s-9"] == index != coordinator.names.index["s-1"]
    fresh, back = (coordinator.planner.backends[coordinator.names.index[name]] for name in ("s-9", "s-1"))
    assert fresh.answer_count == 0 and back.answer_count in (0, 9) and not coordinator.streams.withdrawn
    orders = stage.got(proxy)
    assert "s-9:" in orders and "s-1:" in orders


def test_a_backend_that_leaves_and_is_back_in_one_entry_is_not_withdrawn(stage):
    proxy = stage.dial(ATTACH)
    watch, _ = stage.watch()
    watch.sendall(HEAD + http_chunk(stage.service.list_backends(42, full=False, s_2="active")))
    stage.pass_by(2.0)
    stage.got(proxy)
    entry = stage.service.list_backends(43, full=False, s_2="left")
    entry["targets"] += stage.service.list_backends(43, full=False, s_2="active")["targets"]
    watch.sendall(http_chunk(entry))
    for _ in range(4):
        watch.sendall(PULSE)
        stage.pass_by(1.0)
    assert "drop=" not in stage.got(proxy) and not stage.coordinator.streams.withdrawn


# Draining


def test_a_withdrawal_is_told_to_who_joins_or_is_bound_between_the_decision_and_the_message(stage):
    first = stage.dial(ATTACH)
    watch, _ = stage.watch()
    watch.sendall(HEAD + http_chunk(stage.service.list_backends(42, full=False, s_2="active")))
    stage.pass_by(2.0)
    nonce = stage.got(first).rpartition("stamp=")[2].split()[0]
    first.sendall(f"done node=3 nonce={nonce} latency=1\r\n".encode())
    late, decide = [], stage.coordinator.planner.write_changes

    def push(turn):
        decide(turn)
        if stage.coordinator.streams.withdrawn and not late:  # decided, and not a byte written yet
            late.append(stage.dial(ATTACH.replace("3", "4")))

    stage.coordinator.planner.write_changes = push
    watch.sendall(http_chunk(stage.service.list_backends(43, full=False, s_2="leaving")))
    for _ in range(3):
        stage.pass_by(1.0)
        watch.sendall(PULSE)
    assert "drop=s-2" in stage.got(first)
    orders = stage.got(late[0])
    assert "replace=1" in orders and "s-2:" not in orders.replace("s-2:0", "")


def test_a_table_brought_from_another_coordinator_loses_what_has_left(stage):
    watch, _ = stage.watch()
    watch.sendall(HEAD + http_chunk(stage.service.list_backends(42, full=False, s_1="leaving", s_2="active")))
    stage.pass_by(1.0)
    watch.sendall(PULSE)
    moved = stage.dial(ATTACH.replace("cold=1", "cold=0"))
    for _ in range(4):
        stage.pass_by(1.0)
        watch.sendall(PULSE)
    orders = stage.got(moved)
    assert "drop=s-1" in orders or "replace=1" in orders and "s-1:" not in orders


# What is kept for a while is told before the end


def test_sums_that_are_not_told_yet_are_told_before_stopped(stage):
    stage.dial("telemetry locality=a", "done node=3 nonce=1 latency=1", "done node=3 nonce=1 latency=1")
    stage.still()
    stage.signal(signal.SIGTERM)
    stage.until(stage.task.done)
    assert [fields["count"] for fields in stage.log.events("spoilt")] == [2]
    assert stage.log.lines[-1][0] == "stopped"


def test_a_due_act_that_fails_stops_no_other(stage):
    """Due times share one timer of the loop."""
    done = []

    def fails():
        raise RuntimeError("amid an act")

    now = stage.coordinator.clock.now()
    for act in (fails, lambda: done.append(1), fails, lambda: done.append(2)):
        stage.coordinator.clock.call_at(now + 1000, act)
    stage.pass_by(0.01)
    assert done == [1, 2] and len(stage.log.events("internal")) == 2
