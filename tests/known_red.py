"""KNOWN-RED.txt lists tests that fail because of a real fault that is not fixed yet. A test run tolerates the failure
of these tests only, and prints them.

Each line is `test | cause | issue`: the test's id as pytest prints it, why it fails, and the number of the issue. At
most three tests may be listed. Without the file, or with an empty one, none is."""

import re

MAX_TESTS = 3
LINE = re.compile(r"(?P<test>tests/\w+\.py::\S.*?) \| (?P<cause>\S.*?) \| (?P<issue>\d+)")


class MalformedListError(ValueError):
    """The list cannot be used; the text names the line and the reason."""


def read(text):
    """Parses the list into test -> (cause, issue)."""
    listed = {}
    for line_number, line in enumerate(text.splitlines(), 1):
        found = LINE.fullmatch(line)
        if not found:
            raise MalformedListError(
                f"KNOWN-RED.txt, line {line_number}: not `tests/file.py::test | cause | issue`: {line!r}"
            )
        if found["test"] in listed:
            raise MalformedListError(f"KNOWN-RED.txt, line {line_number}: listed twice: {found['test']}")
        if line_number > MAX_TESTS:
            raise MalformedListError(f"KNOWN-RED.txt, line {line_number}: {MAX_TESTS} at most")
        listed[found["test"]] = found["cause"], found["issue"]
    return listed


def unknown(listed, collected, collected_all):
    """The listed tests that do not exist. Unless all tests were collected (`collected_all`), only files of which some
    test was collected are checked."""
    files = {test.partition("::")[0] for test in collected}
    return [test for test in listed if test not in collected and (collected_all or test.partition("::")[0] in files)]
