"""Messages that arrive in two pieces, cut at every byte, on each kind of connection: the real `serve` on loopback
connections, with an event loop that the test steps (see service_harness.py)."""

import pytest

from service_harness import ServiceHarness

ATTACH = "attach node=3 locality=a w=6.5 cold=1"
TELEMETRY = "telemetry locality=b"
CLIENT_STATS = "client_stats node=3 route=read total=4 errors=0 interval=1000.0"
MESSAGES = {  # kind of connection -> (its first message, messages to cut)
    "unidentified": (None, ("hb", ATTACH, TELEMETRY)),
    "stream": (ATTACH, ("hb", CLIENT_STATS, "done node=3 nonce=9 latency=1.5", "")),
    "collector": (
        TELEMETRY,
        ("hb", TELEMETRY, "upstream_stats locality=b endpoint=s-1 total=1 errors=0 rtt=1 interval=1", ""),
    ),
}


@pytest.fixture
def harness(tmp_path, monkeypatch):
    with ServiceHarness(tmp_path, monkeypatch) as harness:
        yield harness


@pytest.mark.parametrize("kind", MESSAGES)
def test_a_message_cut_at_any_byte_is_taken_as_one_that_came_whole(harness, kind):
    """Guards against connections that end because a read stopped between two bytes, such as CR and LF."""
    first, messages = MESSAGES[kind]
    for message in messages:
        data = message.encode() + b"\r\n"
        for cut in range(1, len(data)):
            connection = harness.connect(*filter(None, [first]))
            harness.settle()
            harness.received(connection)
            connection.sendall(data[:cut])
            harness.settle()
            assert harness.received(connection) == "", (message, cut)
            connection.sendall(data[cut:] + b"hb\r\n")
            harness.settle()
            answers = harness.received(connection)
            assert answers.count("hb_ok") == (2 if message == "hb" else 1), (message, cut)
            connection.close()
            harness.settle()
    assert {fields["code"] for fields in harness.log.events("connection_ended")} == {"closed"}
    harness.advance(6)
    spoilt = sum(fields["count"] for fields in harness.log.events("spoilt"))
    assert spoilt == ("" in messages)  # an empty message has one cut, and is one invalid message
