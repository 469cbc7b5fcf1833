"""The configuration of a coordinator, read from its file and from environment variables."""

import json
from dataclasses import dataclass, fields

from cranecleat.decoding import MalformedError, decode_bootstrap, to_microseconds
from cranecleat.interface import Bootstrap
from cranecleat.protocol.reasons import ProtocolError
from cranecleat.protocol.registry import decode_list


@dataclass(frozen=True, slots=True)
class Configuration:
    """What one coordinator is started with: its name, addresses and limits, and the deployment that it serves. The
    names of the fields appear in the log (`kept=`)."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: str
    memory: int  # bytes
    descriptors: int  # file descriptors that the process may use
    round: int  # minimum time from one round of the planner to the next, in microseconds; not the report interval
    routes: tuple[str, ...]
    zones: dict[str, int]  # name -> index
    kinds: dict[str, int]  # name -> index
    proxies: int  # their number
    patience: int  # the longest time after which a client gives up a call, over all routes, in microseconds
    bootstrap: Bootstrap
    known: tuple[int, list, dict]  # the last known list of backends: version, entries, errors of unusable entries

    def ignored_changes(self, other):
        """The names of the fields that differ in `other` and cannot change while the coordinator runs. The seed and
        the known list differ at each start and are not counted."""
        names = {field.name for field in fields(self)} - {"discovery", "seed", "known"}
        return sorted(name for name in names if getattr(self, name) != getattr(other, name))


def parse_address(text):
    """(host, port) of `host:port`; an IPv6 host may stand in brackets."""
    host, colon, port = str(text).rpartition(":")
    if not (host and colon and port.isdigit() and 0 < int(port) < 65536):
        raise MalformedError(f"{text!r} is not address:port")
    return host.strip("[]"), int(port)


def read_configuration(variables):
    """The configuration that the environment variables name. Raises MalformedError with a message of one line."""
    path = variables.get("BALANCER_CONFIG")
    if not path:
        raise MalformedError("BALANCER_CONFIG is not set")
    try:
        with open(path, encoding="utf-8") as file:
            document = json.load(file)
    except OSError as failure:
        raise MalformedError(f"{path}: {failure.strerror}") from None
    except (ValueError, RecursionError) as error:
        raise MalformedError(f"{path}: not JSON ({error})") from None
    if not isinstance(document, dict):
        raise MalformedError(f"{path}: not an object")
    for key in ("name", "listen", "discovery"):
        document[key] = variables.get(f"BALANCER_{key.upper()}") or document.get(key)
        if not document[key]:
            raise MalformedError(f"{path}: {key!r} is missing")
    for key in ("settings", "limits", "known"):
        if not isinstance(document.get(key), dict):
            raise MalformedError(f"{path}: {key!r} is missing or not an object")
    try:
        settings, limits = document["settings"], document["limits"]
        bootstrap = decode_bootstrap(settings)
        zones = {name: index for index, name in enumerate(settings["localities"])}
        kinds = {name: index for index, name in enumerate(settings.get("skus", []))}
        version, _, *entries_and_errors = decode_list(document["known"], zones, kinds)
        return Configuration(
            name=str(document["name"]),
            listen=parse_address(document["listen"]),
            discovery=parse_address(document["discovery"]),
            seed=str(document["seed"]),
            memory=int(limits["memory_mb"] * 2**20),
            descriptors=int(limits["sockets"]),
            round=to_microseconds(settings["round"]),
            routes=tuple(route["name"] for route in settings["requestClasses"]),
            zones=zones,
            kinds=kinds,
            proxies=int(settings["specifics"]["proxyCount"]),
            patience=to_microseconds(max(route["giveUp"] for route in settings["requestClasses"])),
            bootstrap=bootstrap,
            known=(version, *entries_and_errors),
        )
    except KeyError as missing:
        raise MalformedError(f"{path}: {missing.args[0]!r} is missing") from None
    except ProtocolError as error:
        raise MalformedError(f"{path}: known: {error}") from None
    except MalformedError as error:
        raise MalformedError(f"{path}: {error}") from None
    except (TypeError, ValueError, OverflowError, AttributeError) as error:
        raise MalformedError(f"{path}: {error}") from None


def reread_configuration(variables):
    """The configuration as the file describes it now. `BALANCER_DISCOVERY` counts only at the start: on a reload, the
    address of discovery comes from the file, as a variable of a running process cannot be changed from outside."""
    return read_configuration({name: value for name, value in variables.items() if name != "BALANCER_DISCOVERY"})


def load_operator_file(variables, coordinator_name):
    """The contents of the operator's file, which switches on optional features, or None where `CRANECLEAT_OPERATOR` is
    not set. In that case the modules that read it are not imported. Raises MalformedError with one line per mistake."""
    path = variables.get("CRANECLEAT_OPERATOR")
    if not path:
        return None
    from cranecleat.operator.document import DocumentError
    from cranecleat.operator.file import read_operator_file

    try:
        return read_operator_file(path, coordinator_name)
    except DocumentError as error:
        raise MalformedError("\n".join(map(str, error.mistakes))) from None
