"""Marks the tests of KNOWN-RED.txt as expected to fail, strictly: one that passes fails the run. See known_red.py."""

import pytest

import known_red

KNOWN_RED_TESTS = pytest.StashKey()


def pytest_configure(config):
    path = config.rootpath / "KNOWN-RED.txt"
    try:
        config.stash[KNOWN_RED_TESTS] = known_red.read(path.read_text(encoding="utf-8") if path.exists() else "")
    except (known_red.MalformedListError, UnicodeDecodeError) as error:
        raise pytest.UsageError(str(error)) from None


@pytest.hookimpl(tryfirst=True)  # before a selection by name removes any
def pytest_collection_modifyitems(config, items):
    listed = config.stash[KNOWN_RED_TESTS]
    collects_all = config.args_source is not config.ArgsSource.ARGS
    if missing := known_red.unknown(listed, {item.nodeid for item in items}, collects_all):
        raise pytest.UsageError(f"KNOWN-RED.txt names no test: {', '.join(missing)}")
    for item in items:
        if item.nodeid in listed:
            cause, issue = listed[item.nodeid]
            item.add_marker(pytest.mark.xfail(strict=True, reason=f"known red, issue {issue}: {cause}"))


def pytest_terminal_summary(terminalreporter, config):
    for test, (cause, issue) in config.stash[KNOWN_RED_TESTS].items():
        terminalreporter.write_line(f"KNOWN RED {test}: {cause} (issue {issue})")
