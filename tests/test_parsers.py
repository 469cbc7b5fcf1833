"""Parsers of the wire: valid input split at every byte, and invalid input."""

import json

import pytest

from cranecleat.decoding import IndexMap
from cranecleat.memory.pool import BufferPool, PoolExhaustedError, ReceiveBuffer
from cranecleat.protocol import http, lines, registry
from cranecleat.protocol.limits import MAX_HTTP_HEAD_BYTES
from cranecleat.protocol.reasons import ProtocolError
from planner_harness import assert_matches_trace

ZONES, KINDS = {"a": 0, "b": 1}, {"big": 0, "small": 1}
LINES = (
    b"hb\r\nattach node=3 locality=a w=21.5 cold=1\r\ndone node=3 nonce=905 latency=310.4\r\n"
    b"client_stats node=3 route=read total=19 errors=0 interval=1000.0 more=x\r\n"
    b"upstream_stats locality=b endpoint=s-1 total=212 errors=3 rtt=41.7 interval=1000.0 "
    b"metrics=util:0.61,qps:140\r\n"
    b"upstream_stats locality=a endpoint=s-1 total=2 errors=0 rtt=9 interval=1 "
    b"metrics=throughput:9,utilization:0.5\r\n"
    b"upstream_stats locality=b endpoint=s-9 total=1 errors=0 rtt=0 interval=5e2\r\n"
)
ENTRY = {
    "uid": "s-1",
    "endpoint": "10.1.0.18:5000",
    "az": "a",
    "model": "big",
    "pod_group": 3,
    "state": "leaving",
    "capacity_hint": 1.5,
    "boot_ms": 1700000000123,
}
BODY = json.dumps({"rev": 43, "all": False, "targets": [ENTRY]}).encode() + b"\n"
CHUNKED = b"".join(
    (
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n",
        b"%x;note=1\r\n" % len(BODY[:50]),
        BODY[:50],
        b"\r\n1\r\n",
        BODY[50:51],
        b"\r\n",
        b"%X\r\n" % (len(BODY) - 50),
        BODY[51:],
        b"\n\r\n0\r\nTrail: er\r\n\r\n",
    )
)
FIXED = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\nServer:x\r\n\r\n" % (len(BODY) - 1) + BODY[:-1]


def new_decoder():
    backends = IndexMap()
    backends("s-1")
    decoder = lines.MessageDecoder(ZONES, {"read": 0, "find": 1}, 8, backends, 1_000_000, 5_000_000)
    decoder.typical_rate = 20.0
    return decoder


def decode(line):
    """The kind of a message and what its decoder makes of it, as text."""
    message = lines.Message(*lines.parse_line(line))
    return f"{message.kind} {getattr(new_decoder(), message.kind)(message) if message.kind != 'hb' else ''}".strip()


def feed_pieces(pieces, feed, pool):
    """Feeds pieces through a receive buffer as a connection does; returns the parsed items and the buffer."""
    buffer, items = ReceiveBuffer(pool), []
    for piece in pieces:
        while piece:
            writable = buffer.writable()
            fits = piece[: len(writable)]
            writable[: len(fits)] = fits
            buffer.filled += len(fits)
            piece = piece[len(fits) :]
            data = buffer.unread()
            found, used = feed(data)
            items += found
            buffer.retain(data[used:])
    return items, buffer


def splits(data):
    """The data byte by byte, and cut in two at each position."""
    yield [data[i : i + 1] for i in range(len(data))]
    yield from ([data[:i], data[i:]] for i in range(len(data) + 1))


def test_lines_do_not_depend_on_how_the_data_is_split():
    pool = BufferPool(16, 40)
    for pieces in splits(LINES):
        found, buffer = feed_pieces(pieces, lines.split_lines, pool)
        assert found == LINES.split(b"\r\n")[:-1] and buffer.buffers == [] and pool.in_use == 0
    assert_matches_trace("lines", [decode(line) for line in found])


def test_a_heartbeat_cut_at_any_byte_can_still_be_completed():
    """A read may end anywhere in a message. The beginning that has come must not end the connection."""
    heartbeat = b"hb" + lines.CRLF
    for end in range(1, len(heartbeat)):
        lines.check_prefix(heartbeat[:end])


def test_every_kind_of_message_cut_at_any_byte_can_still_be_completed():
    """Guards against the end of a connection whose reads stop at one byte of a message, with or without fields."""
    for kind in ("", *lines.KINDS):
        for fields in ("", " node=1"):
            message = f"{kind}{fields}".encode() + lines.CRLF if kind else lines.CRLF
            for end in range(1, len(message)):
                lines.check_prefix(message[:end][: lines.PREFIX_BYTES])


def test_invalid_lines_are_rejected_with_a_reason():
    invalid = [
        b"",
        b" ",
        b"\xff\xfe",
        b"hb=1",
        b"owner set=1",
        b"done\xff node=1",
        b"done \xff=1",
        b"done node=1 node=1 nonce=1 latency=1",
        b"done node=1 nonce",
        b"done  node=1",
        b"done nonce=1 latency=1",
        b"done node=1 nonce=1",
        b"done node=8 nonce=1 latency=1",
        b"done latency=1 nonce=1 node=-1",
        b"done latency=1 nonce=1 node=1.5",
        b"done latency=1 node=1 nonce=nan",
        b"done latency=1 node=1 nonce=99999999999",
        "done latency=1 nonce=1 node=\u0663".encode(),
        b"attach node=1 locality=c w=1 cold=1",
        b"attach node=1 locality=a w=inf cold=1",
        b"attach node=1 locality=a w=1e99 cold=1",
        b"attach node=1 locality=a w=1 cold=yes",
        b"client_stats node=1 route=none total=1 errors=0 interval=1",
        b"client_stats node=1 route=read total=-1 errors=0 interval=1",
        b"upstream_stats locality=a endpoint=s-1 total=1 errors=0 rtt=1 interval=1 metrics=util",
        b"upstream_stats locality=a endpoint=s-9 total=x errors=0 rtt=1 interval=1",
        b"telemetry locality=",
        *(
            b"upstream_stats locality=a endpoint=s-1 " + values
            for values in (
                b"total=2 errors=3 rtt=1 interval=1000",
                b"total=2 errors=0 rtt=1 interval=0",
                b"total=2 errors=0 rtt=1 interval=3600000",
                b"total=2 errors=0 rtt=60000 interval=1000",
                b"total=90000 errors=0 rtt=1 interval=1000",
                b"total=2 errors=0 rtt=1 interval=1000 metrics=util:90,qps:3",
            )
        ),
        b"client_stats node=1 route=read total=90000 errors=0 interval=1000",
    ]
    text = []
    for line in invalid:
        with pytest.raises(ProtocolError) as error:
            decode(line)
        text.append(f"{type(error.value).__name__:10} {error.value.reason.value:13} {error.value}")
    assert_matches_trace("lines_malformed", text)


def test_the_start_of_a_message_shows_whether_it_can_become_valid():
    for start in (b"", b"u", b"upstream_stat", b"upstream_stats", b"hb", b"hb ", b"done nod", b"hb\r", b"\r"):
        lines.check_prefix(start)
    for start in (
        *(b"\x93", b"GET", b"hbx", b"upstream_statz", b" hb", b"done="),
        *(b"hb\n", b"hb\rx", b"hb\r\r", b"h\r", b"\rx", b"\r\r", b"upstream_stats\rx"),
    ):
        with pytest.raises(ProtocolError):
            lines.check_prefix(start)


def test_responses_do_not_depend_on_how_the_data_is_split():
    pool = BufferPool(16, 40)
    for response, expected in ((CHUNKED, [BODY[:-1], b"", b""]), (FIXED, [BODY[:-1]])):
        for pieces in splits(response):
            parser, body = http.ResponseParser(), registry.LineSplitter()
            found, _ = feed_pieces(pieces, parser.feed, pool)
            assert parser.complete and pool.in_use == 0
            assert [line for piece in found for line in body.feed(piece)] + body.flush() == expected
    assert_matches_trace("list", [str(registry.decode_list(json.loads(BODY), ZONES, KINDS))])


def test_invalid_responses_and_lists_are_rejected_with_a_reason():
    ok = b"HTTP/1.1 200 OK\r\n"
    invalid = [
        b"HTTP/2 200 OK\r\n\r\n",
        b"SSH-2.0\r\n\r\n",
        b"HTTP/1.1 503 Busy\r\n\r\n",
        ok + b"No header\r\n\r\n",
        ok + b"Content-Length: -1\r\n\r\n",
        ok + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\n",
        ok + b"Transfer-Encoding: gzip\r\n\r\n",
        ok + b"Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n",
        ok + b"Transfer-Encoding: chunked\r\n\r\nxyz\r\n",
        ok + b"Transfer-Encoding: chunked\r\n\r\n123456789\r\n",
        ok + b"Transfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n",
        ok + b"X: " + b"y" * MAX_HTTP_HEAD_BYTES,
    ]
    text = []
    for response in invalid:
        with pytest.raises(ProtocolError) as error:
            http.ResponseParser().feed(response)
        text.append(f"{error.value.reason.value:13} {error.value}")
    changes = (
        {"uid": None},
        {"uid": "a b"},
        {"uid": "a,b"},
        {"az": "z"},
        {"model": "x"},
        {"state": "up"},
        {"boot_ms": -1},
        {"boot_ms": "x"},
        {"capacity_hint": float("nan")},
        {"boot_ms": 10**400},
        {"az": []},
    )
    for change in changes:
        entries = {"rev": 1, "all": True, "targets": [{**ENTRY, **change}, ENTRY]}
        _, _, valid, invalid_entries = registry.decode_list(entries, ZONES, KINDS)
        assert len(valid) == 1
        text.append(f"entry         {invalid_entries}")
    for entry in ([], None, {}, {"rev": True, "all": True, "targets": []}, {"rev": 1, "all": True, "targets": 5}):
        with pytest.raises(ProtocolError) as error:
            registry.decode_list(entry, ZONES, KINDS)
        text.append(f"{error.value.reason.value:13} {error.value}")
    assert_matches_trace("answers_malformed", text)


def test_unprocessed_bytes_of_all_connections_are_limited():
    pool = BufferPool(16, 3)
    buffers = [ReceiveBuffer(pool) for _ in range(3)]
    for buffer in buffers:
        buffer.writable()
        buffer.filled = 16
    with pytest.raises(PoolExhaustedError):
        buffers[0].writable()
    buffers[1].retain(b"")
    assert len(buffers[0].writable()) == 16 and pool.in_use == 3
