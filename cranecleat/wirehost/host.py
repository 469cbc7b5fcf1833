"""Reads batches, runs one round of each coordinator that a batch names, and writes the replies."""

import json
from math import isfinite

from cranecleat.decoding import IndexMap, MalformedError, decode_bootstrap, to_microseconds
from cranecleat.policy import Planner
from cranecleat.wirehost.codec import ActionWriter, decode


class Coordinator:
    """A coordinator of the simulated deployment: one planner with its backend ids and its writer.

    `spawn` is its start event; an invalid one raises an error.
    """

    def __init__(self, spawn, name):
        self.names = IndexMap()
        self.writer = ActionWriter(name, self.names, [])
        self.planner = Planner(decode_bootstrap(spawn.get("info") or {}), int(spawn.get("salt", 0)))


def group_by_coordinator(inbox):
    """The events of a batch by coordinator, in the order in which the coordinators appear."""
    groups = {}
    for event in inbox:
        if not isinstance(event, dict) or not isinstance(event.get("kind"), str):
            raise MalformedError("an event is not an object with a 'kind'")
        if not isinstance(event.get("coordinator"), str):
            raise MalformedError(f"an event of kind {event['kind']!r} names no coordinator")
        groups.setdefault(event["coordinator"], []).append(event)
    return groups


def run_round(coordinators, name, events, now, actions):
    """Passes the events of one coordinator to its planner; a failure becomes a fault of that coordinator alone.

    A failure ends the coordinator's part of this batch. It stays and gets the next batch, unless its start has failed.
    """
    faults = ActionWriter(name, None, actions)
    try:
        decoded_events = []
        for event in events:
            if event["kind"] == "spawn":
                coordinators.pop(name, None)
                decoded_events.clear()
                coordinators[name] = Coordinator(event, name)
            elif event["kind"] == "killed":
                coordinators.pop(name, None)
                decoded_events.clear()
            elif name in coordinators:
                decoded = decode(event, coordinators[name].names)
                if decoded:
                    decoded_events.append(decoded)
        if name in coordinators:
            coordinator = coordinators[name]
            coordinator.writer.actions = actions
            coordinator.planner.round(now, decoded_events, coordinator.writer)
    except MalformedError as wrong:
        faults.fault(str(wrong))
    except KeyError as missing:
        faults.fault(f"missing key {missing.args[0]!r}")
    except Exception as failure:  # an error in this round; the simulator gets the reason
        faults.fault(f"{type(failure).__name__}: {failure}")


def read_batch(line):
    """Decodes one line as the time and the events of each coordinator."""
    try:
        batch = json.loads(line)
    except (ValueError, RecursionError) as wrong:
        raise MalformedError(f"not JSON ({wrong})") from None
    if not isinstance(batch, dict):
        raise MalformedError("a batch must be an object")
    clock, inbox = batch.get("wall"), batch.get("inbox")
    if isinstance(clock, bool) or not isinstance(clock, int | float) or not isfinite(clock):
        raise MalformedError("'wall' must be a number")
    if not isinstance(inbox, list):
        raise MalformedError("'inbox' must be an array")
    return to_microseconds(clock), group_by_coordinator(inbox)


def serve(source, sink, errors):
    """Replies to one batch after another until the input ends; returns the exit code."""
    coordinators = {}  # name -> Coordinator
    for number, line in enumerate(source, 1):
        try:
            now, groups = read_batch(line)
        except MalformedError as wrong:
            print(f"cranecleat.wirehost: line {number}: {wrong}", file=errors)
            return 2
        actions = []
        for name, events in groups.items():
            run_round(coordinators, name, events, now, actions)
        sink.write(json.dumps({"out": actions}, separators=(",", ":")).encode() + b"\n")
        sink.flush()
    return 0
