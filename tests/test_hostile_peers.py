"""Peers that send messages of very many fields, send at full speed, or leave with much unread: what it costs others."""

import tracemalloc

import pytest

from cranecleat.protocol import lines
from cranecleat.protocol.limits import MAX_FIELDS, MAX_MESSAGE_BYTES
from cranecleat.protocol.reasons import InvalidMessageError, Reason

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
