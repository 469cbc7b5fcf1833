"""Peers that send messages of very many fields, send at full speed, or leave with much unread: what it costs others."""

import contextlib
import socket
import tracemalloc

import pytest

from cranecleat.protocol import lines
from cranecleat.protocol.limits import MAX_FIELDS, MAX_MESSAGE_BYTES, MAX_MESSAGES_PER_TURN
from cranecleat.protocol.reasons import InvalidMessageError, Reason
from service_harness import ServiceHarness

PARSE_BYTES = 6 * MAX_MESSAGE_BYTES  # memory that parsing one message may take; a decoded copy and its parts fit


def fill(prefix, make_part):
    """A message of the greatest size: the prefix, and then parts that differ from each other."""
    parts, size, number = [prefix], len(prefix), 0
    while size < MAX_MESSAGE_BYTES - 40:
        parts.append(make_part(number))
        size += len(parts[-1])
        number += 1
    return b"".join(parts)


@pytest.mark.parametrize(
    "message",
    [
        fill(b"client_stats", lambda number: b" %x=1" % number),
        fill(b"done", lambda number: b" x"),
        fill(b"upstream_stats node=1 metrics=", lambda number: b"%x:1," % number),
    ],
    ids=["fields", "equal fields", "pairs"],
)
def test_a_message_of_very_many_short_parts_takes_little_memory(message):
    """Guards against a process that outgrows its memory limit because one message is taken apart."""
    tracemalloc.start()
    try:
        with pytest.raises(InvalidMessageError) as error:
            lines.Message(*lines.parse_line(message)).load("metrics")
        assert tracemalloc.get_traced_memory()[1] < PARSE_BYTES
    finally:
        tracemalloc.stop()
    assert error.value.reason == Reason.TOO_LONG and str(error.value).isprintable()


def test_a_message_may_have_as_many_fields_and_pairs_as_the_limit():
    fields = b"".join(b" f%d=1" % number for number in range(MAX_FIELDS - 1))
    pairs = b",".join(b"p%d:1" % number for number in range(MAX_FIELDS - 2)) + b",util:0.5,qps:3"
    kind, values = lines.parse_line(b"client_stats" + fields + b" metrics=" + pairs)
    assert len(values) == MAX_FIELDS and lines.Message(kind, values).load("metrics") == (0.5, 3.0)


@pytest.fixture
def harness(tmp_path, monkeypatch):
    with ServiceHarness(tmp_path, monkeypatch) as harness:
        yield harness


def attach(proxy):
    return f"attach node={proxy} locality=a w=6.5 cold=1"


def connection_of(harness, who, proxy=None):
    """The coordinator's side of the one connection of this kind."""
    return next(
        connection
        for connection in harness.coordinator.connections
        if connection.log_identity() == {"who": who, **({} if proxy is None else {"proxy": proxy})}
    )


def test_messages_of_one_connection_do_not_hold_up_another_one(harness):
    """Guards against late answers while one client sends small messages at full speed: a read holds thousands."""
    flooding, other = harness.connect("telemetry locality=a"), harness.connect(attach(3))
    harness.settle()
    collector = connection_of(harness, "collector")
    flooding.sendall(b"\r\n" * 8000)
    other.sendall(b"hb\r\n")
    harness.step_until(lambda: "hb_ok" in (harness.received(other) or ""))
    assert collector.invalid_messages <= 4 * MAX_MESSAGES_PER_TURN
    harness.step_until(lambda: collector.invalid_messages == 8000)
    flooding.sendall(b"hb\r\n")
    harness.step_until(lambda: harness.received(flooding) == "hb_ok\r\n")


def test_the_heartbeats_of_a_turn_are_answered_with_one_write(harness):
    """Guards against a system call for each heartbeat, of which one read may hold thousands."""
    client = harness.connect(attach(3))
    harness.settle()
    stream, writes = connection_of(harness, "proxy", 3), []
    write = stream.write
    stream.write = lambda message: (writes.append(message), write(message))
    client.sendall(b"hb\r\n" * 4000 + b"done node=3\r\n" + b"hb\r\n")
    answers = []
    harness.step_until(lambda: answers.append(harness.received(client)) or "".join(answers).count("hb_ok") == 4001)
    assert len(writes) <= 4001 / MAX_MESSAGES_PER_TURN + 2


def test_messages_that_wait_for_their_turn_are_dropped_once_the_proxy_has_joined_anew(harness):
    """Guards against reports of an earlier stream that count after the proxy has come again: those that wait when the
    new stream joins are never handled, and a mark that both streams answer is taken once."""
    rounds, run = [], harness.coordinator.planner.round
    harness.coordinator.planner.round = lambda now, events, writer: (rounds.extend(events), run(now, events, writer))
    first = harness.connect(attach(3))
    harness.settle()
    first.sendall(b"client_stats node=3 route=read total=1 errors=0 interval=1000.0\r\n" * 9000)
    first.close()
    harness.loop.step()
    second = harness.connect(attach(3))
    harness.step_until(lambda: len(harness.log.events("joined")) == 2)
    harness.advance(1.0)
    kinds = [event[0] for event in rounds if event[0] in ("proxy_joined", "demand_reported", "proxy_left")]
    joins = [place for place, kind in enumerate(kinds) if kind == "proxy_joined"]
    assert len(joins) == 2 and "demand_reported" not in kinds[joins[1] :] and kinds.count("demand_reported") < 9000
    assert [fields["code"] for fields in harness.log.events("connection_ended") if fields.get("proxy") == 3] == [
        "replaced"
    ]
    second.sendall(b"hb\r\n")
    harness.step_until(lambda: "hb_ok" in (harness.received(second) or ""))


def test_a_mark_that_is_answered_twice_frees_its_lines_once(harness):
    """Guards against a channel that counts as emptier than it is, as an acknowledgement came again on a new stream."""
    first, _ = harness.connect(attach(3)), harness.connect(attach(4))
    harness.advance(0.1)
    mark = harness.received(first).split("stamp=")[1].split("\r")[0]
    channel = harness.coordinator.planner.channel
    first.close()
    harness.settle()
    before = channel.queued_lines
    again = harness.connect(attach(3), f"done node=3 nonce={mark} latency=1", f"done node=3 nonce={mark} latency=1")
    harness.step_until(lambda: len(harness.log.events("joined")) == 3)
    harness.advance(0.1)
    counted = sum(sum(written.values()) for _, written, _ in channel.unacknowledged)
    assert channel.queued_lines == pytest.approx(counted) and channel.queued_lines >= before > 0
    assert again.fileno() >= 0


def test_what_many_peers_leave_unread_is_limited_in_all(tmp_path, monkeypatch):
    """Guards against a process that outgrows its memory limit, as hundreds of peers leave a little less unread than
    each of them may. The one that leaves the most is ended, and the others stay."""
    limits = {"cores": 1.0, "memory_mb": 4, "sockets": 1024}
    limit_for_all = 4 * 2**20 // 8
    with ServiceHarness(tmp_path, monkeypatch, limits=limits) as harness:
        reading = harness.connect(attach(0))
        stalled = [harness.connect(attach(proxy)) for proxy in range(1, 8)]
        harness.settle()
        for proxy in range(1, 8):
            harness.coordinator.streams.joined[proxy].connection.transport.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_SNDBUF, 4096
            )
        most, ended = 0, []
        for _ in range(3000):
            for connection in stalled:
                with contextlib.suppress(OSError):  # the buffers are full, or the coordinator has ended it
                    connection.send(b"hb\r\n" * 200)
            harness.settle()
            sizes = [one.transport.get_write_buffer_size() for one in harness.coordinator.connections]
            most = max(most, sum(sizes))
            ended = [fields for fields in harness.log.events("connection_ended") if fields["code"] == "unread"]
            if ended:
                break
        assert most <= limit_for_all
        assert len(ended) == 1 and "for all peers" in ended[0]["detail"]
        reading.sendall(b"hb\r\n")
        harness.step_until(lambda: "hb_ok" in (harness.received(reading) or ""))
        assert harness.coordinator.unread.total == sum(harness.coordinator.unread.by_connection.values())
