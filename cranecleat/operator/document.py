"""Parses KDL text into nodes with their positions, and reports mistakes with the position of each.

The parser is kdl-py (KDL 1.0).
"""

import difflib
import ipaddress
import re
from dataclasses import dataclass

SIZE_UNITS = {"B": 1, "KiB": 1 << 10, "MiB": 1 << 20}  # in bytes
TIME_UNITS = {"us": 1, "ms": 1_000, "s": 1_000_000, "min": 60_000_000, "h": 3_600_000_000}  # in microseconds


@dataclass(frozen=True, slots=True)
class Mistake:
    """What is wrong in a file, where, and how to correct it."""

    path: str
    line: int
    column: int
    problem: str
    hint: str = ""

    def __str__(self):
        return f"{self.path}:{self.line}:{self.column}: {self.problem}" + (f"; {self.hint}" if self.hint else "")


class DocumentError(ValueError):
    """A file that cannot be used, with all its mistakes."""

    def __init__(self, mistakes):
        super().__init__("; ".join(map(str, mistakes)))
        self.mistakes = mistakes


@dataclass(slots=True)
class Node:
    """A KDL node: its arguments (`values`), its properties by name (`named`), its child nodes, and its position."""

    name: str
    values: list
    named: dict
    children: list
    line: int
    column: int


def parse_nodes(text, path):
    """The nodes of a KDL document in their order; raises `DocumentError` if the text is not KDL. `path` is only used in
    messages."""
    import kdl

    positions = {}  # id of a parsed node -> (line, column, the node)

    def remember_position(node, fragment):
        error = fragment.error("")
        # Holding a reference to the node keeps its id from being used for another object.
        positions[id(node)] = error.line, error.col, node
        return node

    try:
        document = kdl.parse(text, kdl.ParseConfig(nodeConverters={...: remember_position}))
    except kdl.ParseError as error:
        problem = " ".join(str(error.msg).split()).partition("parse error: ")[2] or "this is not KDL"
        hint = "put strings in double quotes and blocks in braces"
        raise DocumentError([Mistake(path, error.line, error.col, problem, hint)]) from None

    def convert(node):
        line, column, _ = positions[id(node)]
        return Node(
            node.name,
            [integer_if_whole(value) for value in node.args],
            {name: integer_if_whole(value) for name, value in node.props.items()},
            [convert(child) for child in node.nodes],
            line,
            column,
        )

    return [convert(node) for node in document.nodes]


def integer_if_whole(value):
    """Converts a number without a fraction to an integer, so that messages show it as written; KDL has only one type of
    number. Returns any other value unchanged."""
    return int(value) if isinstance(value, float) and value.is_integer() else value


class NodeReader:
    """Reads the values of nodes and collects all mistakes, so that one run shows them all."""

    def __init__(self, path, mistakes):
        self.path = path
        self.mistakes = mistakes

    def add_mistake(self, node, problem, hint=""):
        self.mistakes.append(Mistake(self.path, node.line, node.column, problem, hint))

    def check_names(self, node, children, allowed, where):
        """Reports each child whose name is not allowed, with the most similar name that is."""
        for child in children:
            if child.name not in allowed:
                similar = difflib.get_close_matches(child.name, allowed, 1)
                self.add_mistake(
                    child,
                    f"unknown name {child.name!r} in {where}",
                    f"did you mean {similar[0]!r}?" if similar else f"known names: {', '.join(sorted(allowed))}",
                )

    def single_child(self, node, name, needed=True):
        """The first child with this name, or None. It is a mistake if there are more, or if there is none though it is
        needed."""
        found = [child for child in node.children if child.name == name]
        for child in found[1:]:
            self.add_mistake(child, f"{name!r} is given twice", "keep one of them")
        if not found and needed:
            self.add_mistake(node, f"{node.name!r} has no {name!r}", f"add a line `{name} ...`")
        return found[0] if found else None

    def single_value(self, node, parse, expected):
        """The single value of a node, parsed; None if `node` is None or after a mistake. `parse` raises `ValueError`
        for a value that it does not accept; `expected` says in a message what it accepts."""
        if node is None:
            return None
        if len(node.values) != 1 or node.named or node.children:
            return self.add_mistake(node, f"{node.name!r} takes one value: {expected}")
        return self.parse_value(node, parse, node.values[0], node.name, expected)

    def named_values(self, node, allowed):
        """The properties of a node, parsed, by name. `allowed`: {name: (parse, expected, whether it is needed)}, with
        `parse` and `expected` as for `single_value`."""
        for name in node.named.keys() - allowed.keys():
            similar = difflib.get_close_matches(name, allowed, 1)
            self.add_mistake(
                node,
                f"unknown name {name!r} in {node.name!r}",
                f"did you mean {similar[0]!r}?" if similar else f"known names: {', '.join(sorted(allowed))}",
            )
        found = {}
        for name, (parse, expected, needed) in allowed.items():
            if name in node.named:
                found[name] = self.parse_value(node, parse, node.named[name], name, expected)
            elif needed:
                self.add_mistake(node, f"{node.name!r} has no {name!r}", f"add `{name}=...`: {expected}")
        return found

    def parse_value(self, node, parse, value, name, expected):
        """The parsed value, or None after a mistake."""
        try:
            return parse(value)
        except ValueError as error:
            self.add_mistake(node, f"{name} {value!r}: {error}", f"expected {expected}")
            return None


def text(value):
    """Parses text that is not empty."""
    if not isinstance(value, str) or not value:
        raise ValueError("this is not a text")
    return value


def address(value):
    """Parses "address:port" into the IP address and the port number."""
    host, colon, port = text(value).rpartition(":")
    if not (host and colon and port.isascii() and port.isdigit() and 0 < int(port) < 65536):
        raise ValueError("this is not address:port")
    try:
        return str(ipaddress.ip_address(host.strip("[]"))), int(port)
    except ValueError:
        raise ValueError("the host is not an IP address, and host names are not resolved") from None


def quantity(units, what):
    """Returns a function that parses a number with its unit, such as "6KiB" or "500ms", and does not accept a number
    without a unit. `units`: the factor of each unit; `what`: the word for the quantity in messages."""

    def parse(value):
        if isinstance(value, int | float) and not isinstance(value, bool):
            raise ValueError("the unit is missing")
        match = re.fullmatch(r"(\d+(?:\.\d+)?)\s*([A-Za-z]+)", text(value))
        if not match or match[2] not in units:
            raise ValueError(f"this is not a {what}")
        return round(float(match[1]) * units[match[2]])

    return parse


size = quantity(SIZE_UNITS, "size")
duration = quantity(TIME_UNITS, "time")
