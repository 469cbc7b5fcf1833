"""Reads batches, calls the planner of each instance concerned once, and writes the replies."""

import json
from math import isfinite

from cranecleat.decoding import IndexMap, MalformedError, decode_bootstrap, to_microseconds
from cranecleat.policy import Planner
from cranecleat.wirehost.codec import Actions, decode


class Instance:
    """One planner with its names. A start message that cannot be used leaves it without a planner."""

    def __init__(self, spawn, instance):
        self.names = IndexMap()
        self.writer = Actions(instance, self.names, [])
        self.planner = Planner(decode_bootstrap(spawn.get("info") or {}), int(spawn.get("salt", 0)))


def by_instance(inbox):
    """The events of a batch by instance, in the order in which the instances appear."""
    groups = {}
    for event in inbox:
        if not isinstance(event, dict) or not isinstance(event.get("kind"), str):
            raise MalformedError("an event is not an object with a 'kind'")
        if not isinstance(event.get("coordinator"), str):
            raise MalformedError(f"an event of kind {event['kind']!r} names no coordinator")
        groups.setdefault(event["coordinator"], []).append(event)
    return groups


def play(instances, name, events, now, out):
    """Hands the events of one instance to its planner; a failure becomes a fault of that instance alone."""
    faults = Actions(name, None, out)
    try:
        calls = []
        for event in events:
            if event["kind"] == "spawn":
                instances.pop(name, None)
                calls.clear()
                instances[name] = Instance(event, name)
            elif event["kind"] == "killed":
                instances.pop(name, None)
                calls.clear()
            elif name in instances:
                call = decode(event, instances[name].names)
                if call:
                    calls.append(call)
        if name in instances:
            instance = instances[name]
            instance.writer.out = out
            instance.planner.round(now, calls, instance.writer)
    except MalformedError as wrong:
        faults.fault(str(wrong))
    except KeyError as missing:
        faults.fault(f"missing key {missing.args[0]!r}")
    except Exception as failure:  # the instance has failed; the front is told why in plain words
        faults.fault(f"{type(failure).__name__}: {failure}")


def read_batch(line):
    """One line as clock and events."""
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
    return to_microseconds(clock), by_instance(inbox)


def serve(source, sink, errors):
    """Answers batch after batch until input ends; returns the exit code."""
    instances = {}
    for number, line in enumerate(source, 1):
        try:
            now, groups = read_batch(line)
        except MalformedError as wrong:
            print(f"cranecleat.wirehost: line {number}: {wrong}", file=errors)
            return 2
        out = []
        for name, events in groups.items():
            play(instances, name, events, now, out)
        sink.write(json.dumps({"out": out}, separators=(",", ":")).encode() + b"\n")
        sink.flush()
    return 0
