"""What a coordinator is told at its start, from its configuration and its variables."""

import json
from dataclasses import dataclass, fields

from cranecleat.decoding import MalformedError, decode_bootstrap, to_microseconds
from cranecleat.interface import Bootstrap
from cranecleat.protocol.reasons import ProtocolError
from cranecleat.protocol.registry import decode_list


@dataclass(frozen=True, slots=True)
class Configuration:
    """One coordinator's place: its name, its addresses, its limits and the deployment that it serves."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: str
    memory: int  # bytes
    descriptors: int
    round: int  # the least time from one round to the next
    routes: tuple[str, ...]
    zones: dict[str, int]
    kinds: dict[str, int]
    proxies: int
    patience: int  # the longest time limit of a call
    bootstrap: Bootstrap
    known: tuple[int, list, dict]  # the list as last had: its version, its entries, what is wrong with others

    def kept(self, other):
        """What `other` says differently and cannot change while running; each start has its own seed and list."""
        names = {field.name for field in fields(self)} - {"discovery", "seed", "known"}
        return sorted(name for name in names if getattr(self, name) != getattr(other, name))


def address(text):
    host, colon, port = str(text).rpartition(":")
    if not (host and colon and port.isdigit() and 0 < int(port) < 65536):
        raise MalformedError(f"{text!r} is no address:port")
    return host.strip("[]"), int(port)


def read(variables):
    """The station that the environment describes; what is wrong is named in one line."""
    path = variables.get("BALANCER_CONFIG")
    if not path:
        raise MalformedError("BALANCER_CONFIG is not set")
    try:
        with open(path, encoding="utf-8") as file:
            told = json.load(file)
    except OSError as failure:
        raise MalformedError(f"{path}: {failure.strerror}") from None
    except (ValueError, RecursionError) as wrong:
        raise MalformedError(f"{path}: not JSON ({wrong})") from None
    if not isinstance(told, dict):
        raise MalformedError(f"{path}: not an object")
    for key in ("name", "listen", "discovery"):
        told[key] = variables.get(f"BALANCER_{key.upper()}") or told.get(key)
        if not told[key]:
            raise MalformedError(f"{path}: {key!r} is missing")
    for key in ("settings", "limits", "known"):
        if not isinstance(told.get(key), dict):
            raise MalformedError(f"{path}: {key!r} is missing or no object")
    try:
        info, limits = told["settings"], told["limits"]
        boot = decode_bootstrap(info)
        zones = {name: index for index, name in enumerate(info["localities"])}
        kinds = {name: index for index, name in enumerate(info.get("skus", []))}
        version, _, *listed = decode_list(told["known"], zones, kinds)
        return Configuration(
            name=str(told["name"]),
            listen=address(told["listen"]),
            discovery=address(told["discovery"]),
            seed=str(told["seed"]),
            memory=int(limits["memory_mb"] * 2**20),
            descriptors=int(limits["sockets"]),
            round=to_microseconds(info["round"]),
            routes=tuple(route["name"] for route in info["requestClasses"]),
            zones=zones,
            kinds=kinds,
            proxies=int(info["specifics"]["proxyCount"]),
            patience=to_microseconds(max(route["giveUp"] for route in info["requestClasses"])),
            bootstrap=boot,
            known=(version, *listed),
        )
    except KeyError as missing:
        raise MalformedError(f"{path}: {missing.args[0]!r} is missing") from None
    except ProtocolError as wrong:
        raise MalformedError(f"{path}: known: {wrong}") from None
    except MalformedError as wrong:
        raise MalformedError(f"{path}: {wrong}") from None
    except (TypeError, ValueError, OverflowError, AttributeError) as wrong:
        raise MalformedError(f"{path}: {wrong}") from None


def reread(variables):
    """The station that the file describes now. A variable cannot be changed from outside while running: where one
    named discovery at the start, the file does from now on."""
    return read({name: value for name, value in variables.items() if name != "BALANCER_DISCOVERY"})


def operator(variables, me):
    """What the operator's file switches on, if `CRANECLEAT_OPERATOR` names one; None without. Its mistakes are told one
    a line. Nothing of it is imported where the variable is not set."""
    path = variables.get("CRANECLEAT_OPERATOR")
    if not path:
        return None
    from cranecleat.operator.document import DocumentError
    from cranecleat.operator.file import read_operator_file as read_file

    try:
        return read_file(path, me)
    except DocumentError as wrong:
        raise MalformedError("\n".join(map(str, wrong.mistakes))) from None
