"""The adapter for the simulator: batches in, decisions out."""

import io
import json

from cranecleat.wirehost.host import serve
from planner_harness import SETTINGS, assert_matches_trace

ENTRY = {"backend": "10.0.0.1:80", "state": "Running", "failureDomain": 1, "type": 0, "share": 1}


def event(kind, to="coordinator/0", **fields):
    return {"kind": kind, "coordinator": to, **fields}


def serve_lines(*lines):
    """Serves lines, given as text or as (time, events); returns replies, error output and the exit code."""
    source = io.BytesIO(
        "".join(
            (line if isinstance(line, str) else json.dumps({"wall": line[0], "inbox": line[1]})) + "\n"
            for line in lines
        ).encode()
    )
    sink, errors = io.BytesIO(), io.StringIO()
    code = serve(source, sink, errors)
    return [*sink.getvalue().decode().splitlines(), *errors.getvalue().splitlines(), f"exit {code}"]


def start(to="coordinator/0", info=SETTINGS):
    return [event("spawn", to, salt=1, info=info), event("rosterChange", to, scope="stale_copy", records=[ENTRY])]


def test_a_coordinator_starts_and_ends_and_ignores_unknown_events():
    assert_matches_trace(
        "wire_life",
        serve_lines(
            (5.0, []),
            (5.0, start()),
            (
                5.1,
                [
                    event("connected", sidecar=3, failureDomain=0, share=6.5, set=True),
                    event("somethingNew", what=1),
                    event("tally", backend="10.9.9.9:1", many=3, covers=1.0, costTime=0.1, extra=True),
                    event("leased", routeTable=1, set=True),
                    event("recorded", routeTable=1, backend="10.0.0.1:80", share=1),
                ],
            ),
            (6.5, [event("killed")]),
            (7.0, [event("timeoutFired", mark=0)]),
        ),
    )


def test_coordinators_share_nothing_and_a_fault_concerns_one_of_them_only():
    incomplete = {**SETTINGS, "specifics": {"admission": "fraction", "cycle": 1.0}}
    assert_matches_trace(
        "wire_faults",
        serve_lines(
            (5.0, start("coordinator/1", incomplete) + start("coordinator/2")),
            (5.5, [event("connected", "coordinator/2", sidecar=1, set=True)]),
        ),
    )


def test_lines_that_are_not_a_batch():
    errors = []
    for invalid in (
        "{",
        "[]",
        '{"wall":true,"inbox":[]}',
        '{"wall":1}',
        '{"wall":1,"inbox":[3]}',
        '{"wall":1,"inbox":[{"kind":"killed"}]}',
        '{"wall":NaN,"inbox":[]}',
        "\u00e9\x00",
    ):
        errors += serve_lines((1.0, []), invalid)[1:]
    assert_matches_trace("wire_malformed", errors)
