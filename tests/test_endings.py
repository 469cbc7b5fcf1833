"""What must still happen when a connection, a process or a wait ends: the real `serve` on real connections, with each
unfavourable order of events forced (see service_harness.py). docs/endings.md has a row for each test."""

import errno
import os
import signal
import socket
import time

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
from planner_harness import SETTINGS, CoordinatorProcess, http_chunk
from service_harness import ServiceHarness
from test_stream_messages import SimulatedProxy

RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
HEARTBEAT = b"1\r\n\n\r\n"
ATTACH = "attach node=3 locality=a w=6.5 cold=1"
REDIAL_SECONDS = 4 * FIRST_REDIAL_DELAY_US / 1e6  # the first dial after a failure comes within this


@pytest.fixture
def harness(tmp_path, monkeypatch):
    with ServiceHarness(tmp_path, monkeypatch) as harness:
        yield harness


def listed_backends(harness):
    return [(fields["uid"], fields["state"]) for fields in harness.log.events("listed") if fields["scope"] != "held"]


def end_codes(harness, who="discovery"):
    return [fields["code"] for fields in harness.log.events("connection_ended") if fields["who"] == who]


# The watch of the list: after any failure, exactly one next dial is scheduled


@pytest.mark.parametrize(
    "received, timeout",
    [
        (b"", FIRST_RESPONSE_TIMEOUT_US),
        (RESPONSE_HEAD, HEARTBEAT_TIMEOUT_US),
        (RESPONSE_HEAD + b'5\r\n{"re', HEARTBEAT_TIMEOUT_US),
        (RESPONSE_HEAD + HEARTBEAT, HEARTBEAT_TIMEOUT_US),
    ],
    ids=["nothing received", "only the head", "part of a line", "heartbeats that stop"],
)
def test_a_watch_that_falls_silent_is_dialled_again_once_wherever_it_stopped(harness, received, timeout):
    watch, _ = harness.accept_watch()
    watch.sendall(received)
    harness.settle()
    assert harness.accept_watches_within(timeout / 1e6 - 0.1) == [] and end_codes(harness) == []
    assert len(harness.accept_watches_within(0.1 + REDIAL_SECONDS)) == 1 and end_codes(harness) == ["silent"]


def test_bytes_that_complete_no_line_are_not_a_heartbeat(harness):
    watch, _ = harness.accept_watch()
    watch.sendall(RESPONSE_HEAD + b"fffff\r\n")
    redials = []
    for _ in range(int((MAX_AGENT_LAG_US + MAX_REDIAL_DELAY_US) / 1e6) + 1):
        try:
            watch.sendall(b" ")
        except OSError as failure:
            assert failure.errno in (errno.EPIPE, errno.ECONNRESET)
        redials += harness.accept_watches_within(1.0)
    assert end_codes(harness)[:1] == ["silent"] and redials[0][1].endswith("from=41 HTTP/1.1")


def test_a_list_that_takes_longer_than_the_heartbeat_timeout_gets_through_at_the_next_try(harness):
    """With a fixed time limit per line, a long list on a slow machine would never get through."""
    body = http_chunk(harness.service.list_backends(42, s_1="active", s_8="active"))
    piece = len(body) // 12
    for attempt in (1, 2):
        ((watch, _),) = harness.accept_watches_within(REDIAL_SECONDS)
        watch.sendall(RESPONSE_HEAD)
        for start in range(0, len(body), piece):
            if len(end_codes(harness)) < attempt:
                watch.sendall(body[start : start + piece])
                harness.advance(0.3)
    assert end_codes(harness) == ["silent"]
    assert listed_backends(harness) == [("s-1", "running"), ("s-8", "running")]


def test_a_watch_that_ends_within_a_chunk_sets_no_version_and_the_next_one_asks_from_the_last_complete_entry(harness):
    watch, _ = harness.accept_watch()
    whole = http_chunk(harness.service.list_backends(42, full=False, s_2="active"))
    watch.sendall(RESPONSE_HEAD + whole + http_chunk(harness.service.list_backends(43, full=False, s_3="active"))[:-8])
    harness.settle()
    watch.close()
    ((_, request),) = harness.accept_watches_within(REDIAL_SECONDS)
    assert (
        request.endswith("from=42 HTTP/1.1")
        and listed_backends(harness) == [("s-2", "running")]
        and end_codes(harness) == ["closed"]
    )


@pytest.mark.parametrize(
    "failure",
    [UnicodeError("label too long"), ValueError("odd"), OSError(errno.EPERM, "no")],
    ids=["a name that cannot be resolved", "any other error", "not permitted"],
)
def test_after_any_exception_of_a_dial_another_one_is_scheduled(tmp_path, monkeypatch, failure):
    with ServiceHarness(tmp_path, monkeypatch) as harness:
        (watch, _), create_connection = harness.accept_watch(), harness.loop.create_connection
        watch.sendall(RESPONSE_HEAD + HEARTBEAT)
        harness.settle()

        async def fails(*_, **__):
            harness.loop.create_connection = create_connection
            raise failure

        harness.loop.create_connection = fails
        watch.close()
        assert len(harness.accept_watches_within(2 * REDIAL_SECONDS)) == 1
        assert end_codes(harness) == ["closed", "refused"]


def test_after_an_unresolvable_address_of_discovery_dials_go_on_and_a_later_address_is_used(harness):
    harness.accept_watch()
    harness.reload(discovery="a..b:80")
    harness.advance(2 * MAX_REDIAL_DELAY_US / 1e6)
    assert end_codes(harness).count("refused") >= 2 and not harness.log.events("internal")
    harness.reload(discovery=harness.service.format_address(harness.service.registry))
    harness.accept_watch()


def test_a_watch_whose_request_cannot_be_sent_is_ended_as_silent(harness, monkeypatch):
    watch, _ = harness.accept_watch()
    build_get = http.build_get

    def fails(*_):
        monkeypatch.setattr(http, "build_get", build_get)
        raise ValueError("a request that cannot be built")

    monkeypatch.setattr(http, "build_get", fails)
    watch.close()
    harness.advance(REDIAL_SECONDS)
    silent, _ = harness.service.registry.accept()  # no request comes on it
    harness.service.sockets.append(silent)
    harness.advance(FIRST_RESPONSE_TIMEOUT_US / 1e6 + REDIAL_SECONDS)
    assert end_codes(harness) == ["closed", "silent"]
    harness.accept_watch()


def test_an_entry_that_fails_to_be_applied_sets_no_version(harness):
    """An exception while the coordinator applies an entry ends the watch, and the next watch gets the entry again."""
    watch, _ = harness.accept_watch()
    backends_listed, scopes = harness.coordinator.streams.backends_listed, []

    def fails_once(scope, entries):
        scopes.append(scope)
        if len(scopes) == 1:
            raise RuntimeError("while an entry is applied")
        backends_listed(scope, entries)

    harness.coordinator.streams.backends_listed = fails_once
    watch.sendall(RESPONSE_HEAD + http_chunk(harness.service.list_backends(42, full=False, s_1="leaving")))
    harness.settle()
    ((next_watch, request),) = harness.accept_watches_within(REDIAL_SECONDS)
    assert request.endswith("from=41 HTTP/1.1")
    next_watch.sendall(RESPONSE_HEAD + http_chunk(harness.service.list_backends(42, full=False, s_1="leaving")))
    harness.settle()
    assert scopes == ["changes", "changes"] and harness.coordinator.discovery.version == 42


def test_versions_that_start_again_are_noticed_and_the_whole_list_is_requested(harness):
    watch, _ = harness.accept_watch()
    watch.sendall(RESPONSE_HEAD + http_chunk(harness.service.list_backends(42, full=False, s_2="active")))
    harness.settle()
    # The agent may be behind: its older version is not taken.
    watch.sendall(http_chunk(harness.service.list_backends(7, full=False, s_3="active")))
    harness.advance(1.0)
    for _ in range(3):
        watch.sendall(HEARTBEAT)
        harness.advance(MAX_AGENT_LAG_US / 3e6)
    assert listed_backends(harness) == [("s-2", "running")] and end_codes(harness) == []
    watch.sendall(http_chunk(harness.service.list_backends(8, full=False, s_4="active")))
    ((next_watch, request),) = harness.accept_watches_within(REDIAL_SECONDS)
    assert request.endswith("from=0 HTTP/1.1") and end_codes(harness) == ["bad_list"]
    next_watch.sendall(
        RESPONSE_HEAD + http_chunk(harness.service.list_backends(8, s_1="active", s_3="active", s_4="active"))
    )
    harness.settle()
    assert listed_backends(harness)[1:] == [("s-1", "running"), ("s-3", "running"), ("s-4", "running")]
    assert harness.coordinator.discovery.version == 8


def test_a_change_of_address_and_back_during_a_dial_leaves_one_watch(harness):
    first = harness.service.configuration["discovery"]
    harness.accept_watch()
    with socket.create_server(("127.0.0.1", 0)) as second:
        second.setblocking(False)
        harness.write_configuration(
            {**harness.service.configuration, "discovery": harness.service.format_address(second)}
        )
        signal.raise_signal(signal.SIGHUP)
        harness.step_until(lambda: harness.log.events("reloaded"))  # the dial has begun and is not connected
        harness.reload(discovery=first)
        ((watch, _),) = harness.accept_watches_within(REDIAL_SECONDS)
        watch.sendall(RESPONSE_HEAD + HEARTBEAT)
        harness.settle()
        assert end_codes(harness).count("replaced") == 1
        assert (
            harness.accept_watches_within(HEARTBEAT_TIMEOUT_US / 1e6 - 0.1) == []
            and not harness.coordinator.discovery.dial_scheduled
        )


def test_an_old_watch_that_ends_after_a_change_of_address_and_before_the_new_one_sends_starts_no_dial(harness):
    old, _ = harness.accept_watch()
    old.sendall(RESPONSE_HEAD + HEARTBEAT)
    with socket.create_server(("127.0.0.1", 0)) as second:
        second.setblocking(False)
        harness.reload(discovery=harness.service.format_address(second))
        new, _ = harness.accept_watch(second)
        old.close()
        assert harness.accept_watches_within(FIRST_RESPONSE_TIMEOUT_US / 1e6 - 0.1) == []
        new.sendall(RESPONSE_HEAD + HEARTBEAT)
        assert harness.accept_watches_within(HEARTBEAT_TIMEOUT_US / 1e6 - 0.1) == [] and end_codes(harness) == [
            "closed"
        ]
        new.close()
        assert len(harness.accept_watches_within(REDIAL_SECONDS, second)) == 1


# A list with a name that no message can carry


@pytest.mark.parametrize("name", ["s-\ud800", "s-\x00", "s-\x7f"], ids=ascii)
def test_a_name_that_no_message_can_carry_affects_its_entry_only(harness, name):
    proxy = harness.connect(ATTACH)
    watch, _ = harness.accept_watch()
    entry = harness.service.list_backends(42, full=False, s_2="active", x="active")
    entry["targets"][1]["uid"] = name
    watch.sendall(RESPONSE_HEAD + http_chunk(entry))
    harness.advance(5.0)
    assert not harness.log.events("planner_failed") and "s-2:" in harness.received(proxy)
    assert [fields["count"] for fields in harness.log.events("bad_entry")] == [1]


# Stop: each connection logs its end before `stopped`, and later signals change nothing


def test_connections_accepted_during_the_stop_are_ended_and_logged_before_stopped(harness):
    harness.connect("telemetry locality=a", "hb")
    harness.settle()
    late = []

    def accept_more():
        late.extend(harness.connect(ATTACH) for _ in range(3))
        harness.listener.accept_connections()

    harness.log.on("stopping", accept_more)
    harness.signal(signal.SIGTERM)
    harness.step_until(harness.task.done)
    assert harness.task.result() == 0 and harness.log.lines[-1][0] == "stopped"
    assert end_codes(harness, "stranger") == ["stopping"] * 3 and end_codes(harness, "collector") == ["stopping"]
    assert not harness.log.events("joined") and [harness.received(connection) for connection in late] == [None] * 3


def test_a_watch_opened_during_the_stop_is_ended_and_logged(harness):
    harness.accept_watch()
    with socket.create_server(("127.0.0.1", 0)) as second:
        second.setblocking(False)
        harness.log.on("stopping", lambda: harness.coordinator.discovery.change_address(second.getsockname()))
        harness.signal(signal.SIGTERM)
        harness.step_until(harness.task.done)
        assert harness.log.lines[-1][0] == "stopped" and set(end_codes(harness)) == {"stopping"}
        assert harness.coordinator.connections == set()


SIGNAL_AFTER_LOOP = """
import asyncio.runners as r, os, signal
close = r.Runner.close
def closed(self):
    close(self)
    os.kill(os.getpid(), signal.{})
r.Runner.close = closed
"""


@pytest.mark.parametrize("second", ["SIGTERM", "SIGINT", "SIGHUP"])
def test_a_second_signal_after_the_loop_has_closed_changes_nothing(tmp_path, second):
    with CoordinatorProcess(tmp_path).start(SIGNAL_AFTER_LOOP.format(second)) as service:
        service.wait_for_log("serving")
        service.process.send_signal(signal.SIGTERM)
        assert service.wait_for_exit() == (0, "")


@pytest.mark.parametrize("first", ["SIGTERM", "SIGINT"])
def test_a_signal_before_the_loop_runs_stops_the_coordinator_as_soon_as_it_serves(tmp_path, first):
    signal_early = (
        f"import cranecleat.service.run as r, os, signal; read = r.read_configuration\n"
        f"r.read_configuration = lambda *v: (os.kill(os.getpid(), signal.{first}), read(*v))[1]"
    )
    with CoordinatorProcess(tmp_path).start(signal_early) as service:
        assert "code=0" in service.wait_for_log("stopped")
        assert service.wait_for_exit() == (0, "")


def test_sighup_during_the_stop_starts_no_dial(harness):
    harness.accept_watch()
    with socket.create_server(("127.0.0.1", 0)) as second:
        second.setblocking(False)
        harness.write_configuration(
            {**harness.service.configuration, "discovery": harness.service.format_address(second)}
        )
        harness.log.on("stopping", lambda: os.kill(os.getpid(), signal.SIGHUP))
        harness.signal(signal.SIGTERM)
        harness.step_until(harness.task.done)
        assert harness.task.result() == 0 and harness.try_accept_watch(second) is None


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
def test_an_infinite_number_is_one_error_line_at_the_start_and_at_sighup(tmp_path, change):
    with CoordinatorProcess(tmp_path).start() as service:
        service.wait_for_log("serving")
        changed = {
            **service.configuration,
            **{key: {**service.configuration[key], **more} for key, more in change.items()},
        }
        if "specifics" in change.get("settings", {}):
            changed["settings"]["specifics"] = {**service.configuration["settings"]["specifics"], "cycle": 1e999}
        before, service.configuration = service.configuration, changed
        service.reload()
        assert "infinity" in service.wait_for_log("reload_failed|internal|Error") and service.responds()
        service.configuration = {**changed, "listen": before["listen"]}
        code, errors = CoordinatorProcess.start(service).wait_for_exit()
        assert code == 2 and errors.count("\n") == 1 and errors.startswith("cranecleat: ")


# The end of a stream


def test_a_proxy_that_closes_its_side_with_unread_messages_has_left(harness):
    """Otherwise the stream would stay half-closed for as long as the proxy reads nothing, and count as joined."""
    proxy = harness.connect(ATTACH)
    harness.step_until(lambda: harness.coordinator.streams.joined)
    stream = harness.coordinator.streams.joined[3].connection
    stream.transport.write(b"x" * (16 << 20))  # more than the socket buffers take
    harness.settle()
    assert stream.transport.get_write_buffer_size()
    proxy.shutdown(socket.SHUT_WR)
    harness.settle()
    assert harness.coordinator.streams.joined == {} and end_codes(harness, "proxy") == ["closed"]


def test_messages_received_before_the_end_count(harness):
    collector = harness.connect(
        "telemetry locality=a", "upstream_stats locality=a endpoint=s-1 total=9 errors=0 rtt=50 interval=1000"
    )
    collector.shutdown(socket.SHUT_WR)
    harness.advance(0.1)
    assert end_codes(harness, "collector") == ["closed"] and harness.coordinator.planner.backends[0].answer_count == 9


def test_the_end_of_a_replaced_stream_after_the_new_one_has_joined_has_no_effect(harness):
    old = harness.connect(ATTACH)
    harness.step_until(lambda: harness.coordinator.streams.joined)
    new = harness.connect(ATTACH)
    old.close()
    harness.advance(2.0)
    assert harness.coordinator.streams.joined[3].connection.reason is None and 3 in harness.coordinator.planner.proxies
    assert "stamp=" in harness.received(new) and len(harness.coordinator.planner.users.waiting) == 0


def test_a_stream_that_ends_in_the_round_that_writes_to_it_does_not_affect_the_others(harness):
    proxies = [harness.connect(ATTACH.replace("3", str(number))) for number in (1, 2, 3)]
    harness.step_until(lambda: len(harness.coordinator.streams.joined) == 3)
    streams = harness.coordinator.streams.joined
    messages = harness.coordinator.streams.messages

    def messages_and_an_ended_stream():
        found = messages()
        if found:
            harness.coordinator.streams.messages = messages
            streams[1].connection.end(Reason.UNREAD)  # as the first write of this round may do
        return found

    harness.coordinator.streams.messages = messages_and_an_ended_stream
    harness.advance(1.0)
    assert [bool(harness.received(proxy)) for proxy in proxies] == [
        False,
        True,
        True,
    ] and 1 not in harness.coordinator.planner.proxies
    assert 1 not in {p for _, lines, _ in harness.coordinator.planner.channel.unacknowledged for p in lines}


def test_acknowledgements_that_never_come_do_not_delay_other_proxies(tmp_path, monkeypatch):
    """A stream that has fallen silent counts as left, whatever event shows it. Lines that wait for such streams fill
    the channel's account. Where no other proxy acknowledged anything, the account stayed full, and a proxy that
    joined later was never bound."""
    names = {f"s_{n}": "active" for n in range(40)}
    with ServiceHarness(
        tmp_path, monkeypatch, known=CoordinatorProcess(tmp_path).list_backends(41, **names)
    ) as harness:
        for number in range(7):
            harness.connect(ATTACH.replace("3", str(number)))
        harness.advance(2.0)
        planner, late = harness.coordinator.planner, harness.connect(ATTACH.replace("3", "7"))
        harness.advance(2.0)
        assert list(planner.users.waiting) == [7] and planner.channel.queued_lines > planner.bootstrap.backlog / 4
        harness.advance(6 * planner.bootstrap.grace / 1e6)
        assert "replace=1" in harness.received(late) and not planner.users.waiting
        assert planner.channel.queued_lines <= planner.bootstrap.backlog / 2


# Start


def test_a_heartbeat_after_hundreds_of_joins_is_answered_in_the_order_of_arrival(tmp_path, monkeypatch):
    settings = {**CoordinatorProcess(tmp_path).configuration["settings"]}
    settings["specifics"] = {**settings["specifics"], "proxyCount": 600}
    with ServiceHarness(tmp_path, monkeypatch, settings=settings) as harness:
        joins = [harness.connect(f"attach node={n} locality=a w=1 cold=1") for n in range(400)]
        asking = harness.connect("hb")
        harness.step_until(lambda: harness.received(asking))
        assert harness.loop.seconds == 1000.0  # it is answered without waiting for any timer
        harness.step_until(lambda: len(harness.coordinator.streams.joined) == 400)
        assert len(joins) == 400 and not end_codes(harness, "stranger")


# Forgotten backends


def test_a_name_that_returns_as_it_is_forgotten_is_a_new_backend(harness):
    """Its index goes to another name at the same time, while reports on the old backend are still to come."""
    watch, _ = harness.accept_watch()
    watch.sendall(RESPONSE_HEAD + http_chunk(harness.service.list_backends(42, full=False, s_1="left", s_2="active")))
    collector = harness.connect("telemetry locality=a")
    proxy = harness.connect(ATTACH)
    coordinator = harness.coordinator
    report = "upstream_stats locality=a endpoint=s-1 total=9 errors=0 rtt=50 interval=1000\r\n"
    harness.settle()
    index = coordinator.names.index["s-1"]
    while "s-1" in coordinator.names.index:
        watch.sendall(HEARTBEAT)
        harness.advance(1.0)
    assert coordinator.names.ids[index] is None
    collector.sendall(report.encode())  # on the old backend, late
    watch.sendall(
        http_chunk(harness.service.list_backends(43, full=False, s_9="active"))
        + http_chunk(harness.service.list_backends(44, full=False, s_1="active"))
    )
    collector.sendall(report.encode())
    harness.received(proxy)
    harness.advance(3.0)
    assert coordinator.names.index["s-9"] == index != coordinator.names.index["s-1"]
    added, returned = (coordinator.planner.backends[coordinator.names.index[name]] for name in ("s-9", "s-1"))
    assert added.answer_count == 0 and returned.answer_count in (0, 9) and not coordinator.streams.withdrawn
    messages = harness.received(proxy)
    assert "s-9:" in messages and "s-1:" in messages


def test_a_backend_that_leaves_and_returns_in_one_line_of_the_watch_is_not_withdrawn(harness):
    proxy = harness.connect(ATTACH)
    watch, _ = harness.accept_watch()
    watch.sendall(RESPONSE_HEAD + http_chunk(harness.service.list_backends(42, full=False, s_2="active")))
    harness.advance(2.0)
    harness.received(proxy)
    entry = harness.service.list_backends(43, full=False, s_2="left")
    entry["targets"] += harness.service.list_backends(43, full=False, s_2="active")["targets"]
    watch.sendall(http_chunk(entry))
    for _ in range(4):
        watch.sendall(HEARTBEAT)
        harness.advance(1.0)
    assert "drop=" not in harness.received(proxy) and not harness.coordinator.streams.withdrawn


# Withdrawals that outlast streams and runs: what a proxy was told to shut out it keeps until it is told otherwise


class ConnectedProxy(SimulatedProxy):
    """A proxy that keeps what it holds when its stream ends, and applies what it is sent on the next one."""

    def attach(self, harness, number=3):
        self.harness = harness
        self.connection = harness.connect(f"attach node={number} locality=a w=6.5 cold={int(not self.is_bound())}")
        harness.settle()
        return self

    def is_bound(self):
        return any(self.tables.values())

    def read(self):
        """Applies the messages that have come, and acknowledges them."""
        message = []
        for line in self.harness.received(self.connection).splitlines(keepends=True):
            message.append(line)
            if not line.endswith("part=1\r\n"):
                self.apply("".join(message))
                number = line.rpartition("stamp=")[2].strip()
                self.connection.sendall(f"done node=3 nonce={number} latency=1\r\n".encode())
                message = []

    def uses(self, name):
        """Whether each of its tables names the backend, and it does not hold it as withdrawn."""
        return all(name in weights for weights in self.tables.values()) and name not in self.withdrawn


def pass_time(harness, watch, *proxies, seconds):
    """Moves the time on while discovery sends heartbeats and the proxies apply what they are sent."""
    for _ in range(seconds):
        watch.sendall(HEARTBEAT)
        harness.advance(1.0)
        for proxy in proxies:
            proxy.read()


def list_entries(harness, rev, full=False, restarted=(), **states):
    """A line of the watch; the backends in `restarted` have a recent start time."""
    document = harness.service.list_backends(rev, full, **states)
    for entry in document["targets"]:
        entry["boot_ms"] = int(time.time() * 1000) if entry["uid"] in restarted else 0
    return http_chunk(document)


def withdraw_in_an_earlier_run(tmp_path, monkeypatch):
    """A proxy that an earlier run bound to s-1 and s-2 and then told to withdraw s-2, which had left."""
    folder = tmp_path / "earlier"
    folder.mkdir()
    known = CoordinatorProcess(folder).list_backends(41, s_1="active", s_2="active")
    with ServiceHarness(folder, monkeypatch, known=known) as harness:
        watch, _ = harness.accept_watch()
        watch.sendall(RESPONSE_HEAD)
        proxy = ConnectedProxy().attach(harness)
        pass_time(harness, watch, proxy, seconds=2)
        assert proxy.uses("s-1") and proxy.uses("s-2")
        watch.sendall(list_entries(harness, 42, s_2="left"))
        pass_time(harness, watch, proxy, seconds=2)
        assert proxy.withdrawn == {"s-2"}
    return proxy


@pytest.mark.parametrize("joins", ["before", "after"])
@pytest.mark.parametrize(
    "known, later",
    [
        ({"s_1": "active"}, {"restarted": ("s-2",), "s_2": "active"}),
        ({"s_1": "active"}, {"s_2": "active"}),
        ({"s_1": "active"}, {"full": True, "restarted": ("s-2",), "s_1": "active", "s_2": "active"}),
        ({"s_1": "active", "s_2": "active"}, {"restarted": ("s-2",), "s_2": "active"}),
        (
            {"s_1": "active", "s_2": "active"},
            {"full": True, "restarted": ("s-2",), "s_1": "active", "s_2": "active"},
        ),
    ],
    ids=[
        "not in the known list",
        "not in the known list, without a start time",
        "not in the known list, in a whole list later",
        "in an older known list",
        "in an older known list, in a whole list later",
    ],
)
def test_a_backend_that_returns_after_a_restart_is_reinstated(tmp_path, monkeypatch, known, later, joins):
    """Guards against proxies that shut a backend out for good, as an earlier run told them, although it runs again."""
    proxy = withdraw_in_an_earlier_run(tmp_path, monkeypatch)
    known = CoordinatorProcess(tmp_path).list_backends(43, **known)
    with ServiceHarness(tmp_path, monkeypatch, known=known) as harness:
        watch, _ = harness.accept_watch()
        watch.sendall(RESPONSE_HEAD)
        if joins == "before":
            proxy.attach(harness)
            pass_time(harness, watch, proxy, seconds=5)
        watch.sendall(list_entries(harness, 44, **later))
        harness.settle()
        if joins == "after":
            proxy.attach(harness)
        pass_time(harness, watch, proxy, seconds=5)
        assert proxy.uses("s-2") and proxy.uses("s-1"), proxy.withdrawn
        watch.sendall(list_entries(harness, 45, s_2="left"))
        pass_time(harness, watch, proxy, seconds=2)
        assert proxy.withdrawn == {"s-2"}, "it is withdrawn again when it leaves again"


@pytest.mark.parametrize("cold_from", [0.2, 1.0], ids=["its weight changes", "its weight stays"])
def test_a_backend_whose_absence_only_another_coordinator_saw_is_reinstated(tmp_path, monkeypatch, cold_from):
    """Guards against proxies that shut a backend out for good where this run's list shows its new start time alone."""
    settings = {**SETTINGS, "rules": {**SETTINGS["rules"], "coldFrom": cold_from}}
    known = CoordinatorProcess(tmp_path).list_backends(41, s_1="active", s_2="active")
    with ServiceHarness(tmp_path, monkeypatch, settings=settings, known=known) as harness:
        watch, _ = harness.accept_watch()
        watch.sendall(RESPONSE_HEAD)
        proxy = ConnectedProxy()
        proxy.tables = {"read": {"s-1": 1.0, "s-2": 1.0}, "find": {"s-1": 1.0, "s-2": 1.0}}
        proxy.withdrawn = {"s-2"}
        proxy.attach(harness)
        pass_time(harness, watch, proxy, seconds=5)
        watch.sendall(list_entries(harness, 42, restarted=("s-2",), s_2="active"))
        pass_time(harness, watch, proxy, seconds=5)
        assert proxy.uses("s-2"), proxy.withdrawn


def test_a_backend_withdrawn_from_a_proxy_that_still_waits_is_reinstated_on_its_next_stream(harness):
    """Guards against new proxies that shut a backend out for good because they were told so before they were bound."""
    watch, _ = harness.accept_watch()
    watch.sendall(RESPONSE_HEAD + list_entries(harness, 42, s_2="active"))
    harness.settle()
    watch.sendall(list_entries(harness, 43, s_2="left"))
    pass_time(harness, watch, seconds=2)
    watch.sendall(list_entries(harness, 44, restarted=("s-2",), s_2="active"))
    pass_time(harness, watch, seconds=2)
    proxy = ConnectedProxy()
    proxy.withdrawn = {"s-2"}  # by another coordinator, which did not bind it
    proxy.attach(harness)
    pass_time(harness, watch, proxy, seconds=3)
    assert proxy.uses("s-2"), proxy.withdrawn


def test_a_backend_that_returns_long_after_it_was_forgotten_is_reinstated(harness):
    """Guards against proxies that shut a backend out for good because it was away for longer than it is remembered."""
    watch, _ = harness.accept_watch()
    watch.sendall(RESPONSE_HEAD + list_entries(harness, 42, s_2="active"))
    harness.settle()
    proxy = ConnectedProxy().attach(harness)
    pass_time(harness, watch, proxy, seconds=2)
    watch.sendall(list_entries(harness, 43, s_2="left"))
    pass_time(harness, watch, proxy, seconds=3)
    assert proxy.withdrawn == {"s-2"}
    while "s-2" in harness.coordinator.names.index:
        pass_time(harness, watch, proxy, seconds=1)
    watch.sendall(list_entries(harness, 44, restarted=("s-2",), s_2="active"))
    pass_time(harness, watch, proxy, seconds=5)
    assert proxy.uses("s-2"), proxy.withdrawn


def test_what_files_withdrew_is_reinstated_on_a_stream_that_was_opened_before(harness):
    """Guards against proxies that bring a withdrawal from files to a stream that they opened without any tables."""
    watch, _ = harness.accept_watch()
    watch.sendall(RESPONSE_HEAD + list_entries(harness, 42, s_2="active"))
    harness.settle()
    watch.sendall(list_entries(harness, 43, s_2="left"))
    proxy = ConnectedProxy()
    files = WaitingFiles()
    harness.coordinator.use_files_transport(files, harness.coordinator.writer)
    proxy.attach(harness)  # the stream waits, as files serve the proxy
    pass_time(harness, watch, seconds=2)
    proxy.withdrawn = {"s-2"}  # through files, which also bind it
    watch.sendall(list_entries(harness, 44, restarted=("s-2",), s_2="active"))
    pass_time(harness, watch, seconds=2)
    harness.coordinator.join_stream(*files.waiting_streams.pop(3))
    pass_time(harness, watch, proxy, seconds=3)
    assert proxy.uses("s-2"), proxy.withdrawn


class WaitingFiles:
    """The files transport as the coordinator sees it while files serve each proxy: all streams wait."""

    def __init__(self):
        self.waiting_streams = {}

    def stream_opened(self, connection, zone, typical_rate, uses_initial_table):
        self.waiting_streams[connection.proxy] = connection, zone, typical_rate, uses_initial_table
        return False

    def publish(self):
        pass

    def stream_closed(self, connection, served):
        pass


# Draining


def test_a_withdrawal_reaches_a_proxy_that_joins_between_the_decision_and_the_message(harness):
    first = harness.connect(ATTACH)
    watch, _ = harness.accept_watch()
    watch.sendall(RESPONSE_HEAD + http_chunk(harness.service.list_backends(42, full=False, s_2="active")))
    harness.advance(2.0)
    nonce = harness.received(first).rpartition("stamp=")[2].split()[0]
    first.sendall(f"done node=3 nonce={nonce} latency=1\r\n".encode())
    late, write_changes = [], harness.coordinator.planner.write_changes

    def write_and_join(periodic):
        write_changes(periodic)
        if harness.coordinator.streams.withdrawn and not late:  # the decision is made, and nothing is sent yet
            late.append(harness.connect(ATTACH.replace("3", "4")))

    harness.coordinator.planner.write_changes = write_and_join
    watch.sendall(http_chunk(harness.service.list_backends(43, full=False, s_2="leaving")))
    for _ in range(3):
        harness.advance(1.0)
        watch.sendall(HEARTBEAT)
    assert "drop=s-2" in harness.received(first)
    messages = harness.received(late[0])
    assert "replace=1" in messages and "s-2:" not in messages.replace("s-2:0", "")


def test_a_table_inherited_from_another_coordinator_loses_backends_that_leave(harness):
    watch, _ = harness.accept_watch()
    watch.sendall(
        RESPONSE_HEAD + http_chunk(harness.service.list_backends(42, full=False, s_1="leaving", s_2="active"))
    )
    harness.advance(1.0)
    watch.sendall(HEARTBEAT)
    moved = harness.connect(ATTACH.replace("cold=1", "cold=0"))
    for _ in range(4):
        harness.advance(1.0)
        watch.sendall(HEARTBEAT)
    messages = harness.received(moved)
    assert "drop=s-1" in messages or "replace=1" in messages and "s-1:" not in messages


# Aggregated log lines, and scheduled calls


def test_aggregated_counts_are_logged_before_stopped(harness):
    harness.connect("telemetry locality=a", "done node=3 nonce=1 latency=1", "done node=3 nonce=1 latency=1")
    harness.settle()
    harness.signal(signal.SIGTERM)
    harness.step_until(harness.task.done)
    assert [fields["count"] for fields in harness.log.events("spoilt")] == [2]
    assert harness.log.lines[-1][0] == "stopped"


def test_a_scheduled_call_that_fails_does_not_stop_others(harness):
    """All scheduled calls share one timer of the loop."""
    done = []

    def fails():
        raise RuntimeError("in a scheduled call")

    now = harness.coordinator.clock.now()
    for callback in (fails, lambda: done.append(1), fails, lambda: done.append(2)):
        harness.coordinator.clock.call_at(now + 1000, callback)
    harness.advance(0.01)
    assert done == [1, 2] and len(harness.log.events("internal")) == 2
