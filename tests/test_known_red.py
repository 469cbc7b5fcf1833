"""KNOWN-RED.txt with a test suite of its own: which failures are tolerated, and what fails the run."""

import shutil
import subprocess
import sys
from pathlib import Path

import pytest

RED, GREEN = "tests/test_two.py::test_red", "tests/test_two.py::test_green"
LINE = f"{RED} | a cause that is known | 29\n"


def run(folder, listed, *more):
    """Runs the suite; returns its exit code and output. `listed`: the content of KNOWN-RED.txt, or None for no file."""
    (folder / "tests").mkdir()
    for name in ("conftest.py", "known_red.py"):
        shutil.copy(Path(__file__).with_name(name), folder / "tests" / name)
    (folder / "pyproject.toml").write_text('[tool.pytest.ini_options]\ntestpaths = ["tests"]\npythonpath = ["tests"]\n')
    (folder / "tests" / "test_two.py").write_text(
        "def test_red():\n    assert 0\n\ndef test_green():\n    pass\n\ndef test_third():\n    pass\n"
    )
    if listed is not None:
        (folder / "KNOWN-RED.txt").write_text(listed)
    completed = subprocess.run(
        [sys.executable, "-m", "pytest", "-p", "no:cacheprovider", "-p", "no:hypothesispytest", *more],
        cwd=folder,
        text=True,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
    )
    return completed.returncode, completed.stdout


def test_a_listed_test_that_fails_is_tolerated_and_printed(tmp_path):
    code, text = run(tmp_path, LINE)
    assert code == 0 and f"KNOWN RED {RED}: a cause that is known (issue 29)" in text
    assert "2 passed, 1 xfailed" in text


@pytest.mark.parametrize("listed", [None, ""])
def test_without_a_list_a_failing_test_fails_the_run(tmp_path, listed):
    code, text = run(tmp_path, listed)
    assert code == 1 and "1 failed, 2 passed" in text and "KNOWN RED" not in text


@pytest.mark.parametrize(
    "listed, message",
    [
        (LINE + f"{GREEN} | not true any more | 29\n", "[XPASS(strict)]"),
        (LINE + "tests/test_two.py::test_gone | it was | 29\n", "names no test: tests/test_two.py::test_gone"),
        (LINE + "tests/test_none.py::test_gone | it was | 29\n", "names no test: tests/test_none.py::test_gone"),
        (LINE + LINE, "line 2: listed twice"),
        (LINE + "\n", "line 2: not"),
        (RED + "\n", "line 1: not"),
        (f"{RED} | no issue |\n", "line 1: not"),
        (f"{RED} |  | 29\n", "line 1: not"),
        ("# " + LINE, "line 1: not"),
        (
            LINE + "".join(f"tests/test_two.py::test_{n} | x | 1\n" for n in ("green", "third", "four")),
            "line 4: 3 at most",
        ),
    ],
)
def test_an_invalid_list_fails_the_run(tmp_path, listed, message):
    code, text = run(tmp_path, listed)
    assert code not in (0, 5) and message in text


def test_a_selection_of_the_tests_can_be_run(tmp_path):
    code, text = run(tmp_path, LINE, "tests/test_two.py", "-k", "green")
    assert code == 0 and "1 passed" in text
