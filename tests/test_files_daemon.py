"""The running coordinator with the files transport. Tests wait for events, not for fixed times."""

import errno
import json
import os
import re
import signal
import subprocess
import sys
import threading
import time
from pathlib import Path
from types import SimpleNamespace

import pytest

from cranecleat.decoding import MalformedError
from cranecleat.files.disk import OWNER, Disk, write_owner
from cranecleat.files.follow import Follower
from cranecleat.files.front import FilesTransport
from cranecleat.operator.file import FilesSettings
from files_harness import CountedCalls, fail_at, report
from planner_harness import CoordinatorProcess, assert_matches_trace, http_chunk

ROOT = Path(__file__).parent.parent
WAIT_SECONDS = 20


@pytest.fixture
def place(tmp_path, monkeypatch):
    """A directory with an operator's file, which names the folder `d` in it."""
    lines = ('folder "d"', 'sync "none"', 'poll "20ms"', 'lose "200ms"', 'hold "400ms"')
    (tmp_path / "o.kdl").write_text("\n".join(["files {", *lines, "}"]) + "\n")
    monkeypatch.setenv("CRANECLEAT_OPERATOR", str(tmp_path / "o.kdl"))
    return tmp_path


class Proxy:
    """A proxy served through files, in a thread of the test: follows its orders and renews its report."""

    def __init__(self, folder, number, zone="a", state_file=None):
        self.follower, self.number = Follower(folder, number, state_file), number
        self.report = report(
            f"p{number}", life=time.time_ns() // 1000, typical_rate=6.5, uses_initial_table=True, every=200, zone=zone
        )
        self.stopped, self.paused = threading.Event(), threading.Event()
        self.retried = []
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        while not self.stopped.wait(0.02):
            if not self.paused.is_set():
                try:
                    self.retried += [retry.call for retry in self.follower.poll()]
                    self.report.beat += 1
                    self.report.calls = {"read": self.report.beat // 2}
                    self.follower.report(self.report)
                except OSError:
                    pass

    def wait_until(self, condition):
        deadline = time.monotonic() + WAIT_SECONDS
        while not condition(self.follower.view):
            assert time.monotonic() < deadline, f"never: {self.follower.view.in_force} {self.follower.error}"
            time.sleep(0.01)

    def stop(self):
        self.stopped.set()
        self.thread.join()


def is_served(view):
    return view.in_force.active and set(view.in_force.weights) == {"read", "find"}


def test_a_proxy_through_files_is_bound_gets_withdrawals_and_survives_a_killed_coordinator(place):
    with CoordinatorProcess(place).start() as service:
        text = [re.sub(r"fence=\d+", "fence=N", service.wait_for_log("files_open"))]
        watch, _ = service.accept_watch(service.list_backends(42, s_1="active", s_2="active"))
        proxy = Proxy(place / "d", 3)
        try:
            proxy.wait_until(is_served)
            text += [service.wait_for_log("files_serves"), f"lines: {sorted(proxy.follower.view.pick_from('read'))}"]
            watch.sendall(http_chunk(service.list_backends(43, full=False, s_1="leaving")))
            proxy.wait_until(lambda view: "s-1" in view.in_force.withdrawn)
            text.append(f"s-1 is withdrawn: {sorted(proxy.follower.view.pick_from('read'))}")
            proxy.wait_until(lambda view: view.in_force.applied[0] > 0)
            service.process.kill()
            service.wait_for_exit()
            assert sorted(proxy.follower.view.pick_from("read")) == ["s-2"]
            fence = proxy.follower.view.fence
            service.configuration["known"] = service.list_backends(43, s_1="leaving", s_2="active")
            service.start()
            text.append(re.sub(r"(fence|generation|bodies)=\d+", r"\1=N", service.wait_for_log("files_open")))
            proxy.wait_until(lambda view: view.fence > fence and is_served(view))
            text.append(f"after a kill: {sorted(proxy.follower.view.pick_from('read'))}")
            proxy.paused.set()
            text.append(service.wait_for_log("files_silent"))
            proxy.paused.clear()
            proxy.wait_until(lambda view: view.in_force.active)
            text.append(service.wait_for_log("files_serves.*by=files"))
        finally:
            proxy.stop()
    assert_matches_trace("files_daemon", [line.replace(str(place), "") for line in text])


def test_a_proxy_switches_to_files_when_its_stream_ends_and_back_when_one_has_stayed_open(place):
    with CoordinatorProcess(place).start() as service:
        watch, _ = service.accept_watch(service.list_backends(42, s_1="active", s_2="active"))
        stream, proxy = service.connect("attach node=3 locality=a w=6.5 cold=1"), Proxy(place / "d", 3)
        try:
            service.read_until(stream, rb"stamp=(\d+)\r\n")
            assert not proxy.follower.view.in_force.active
            stream.close()
            text = [service.wait_for_log("connection_ended.*proxy"), service.wait_for_log("files_serves.*by=files")]
            proxy.wait_until(is_served)
            watch.sendall(http_chunk(service.list_backends(43, full=False, s_2="leaving")))
            proxy.wait_until(lambda view: "s-2" in view.in_force.withdrawn)
            stream = service.connect("attach node=3 locality=a w=6.5 cold=0")
            text.append(service.wait_for_log("files_stream_waits"))
            text.append(service.wait_for_log("files_serves.*by=stream"))
            orders = service.read_until(stream, rb"stamp=(\d+)\r\n")
            text.append(f"withdrawn meanwhile: {'drop=s-2' in orders or 's-2:' not in orders}")
            assert "replace=1" in orders
            proxy.wait_until(lambda view: not view.in_force.active)
            text.append("its orders in the folder say active 0, so it follows its stream only")
            assert service.responds()
        finally:
            proxy.stop()
    assert_matches_trace("files_over_and_back", text)


def test_a_second_coordinator_on_the_folder_does_not_start(place, tmp_path):
    (tmp_path / "second").mkdir()
    with CoordinatorProcess(place).start() as service:
        service.wait_for_log("serving")
        with CoordinatorProcess(tmp_path / "second").start() as second:
            code, errors = second.wait_for_exit()
    assert code == 2 and re.fullmatch(r"cranecleat: \S+/d is held by another coordinator: n0, fence \d+\n", errors)


def test_a_folder_that_cannot_be_written_is_logged_and_written_once_it_can_be(place):
    with CoordinatorProcess(place).start() as service:
        watch, _ = service.accept_watch(service.list_backends(42, s_1="active", s_2="active"))
        proxy = Proxy(place / "d", 3)
        try:
            proxy.wait_until(is_served)
            bodies = place / "d" / "bodies"
            bodies.rename(place / "kept")
            bodies.write_text("in the way")
            watch.sendall(http_chunk(service.list_backends(43, full=False, s_3="active")))
            text = [service.wait_for_log("files_unwritten")]
            assert service.responds() and is_served(proxy.follower.view)
            bodies.unlink()
            (place / "kept").rename(bodies)
            proxy.wait_until(lambda view: "s-3" in view.pick_from("read"))
            (place / "d" / "back" / "p1").symlink_to("/etc/hostname")
            text.append(service.wait_for_log("files_spoilt"))
        finally:
            proxy.stop()
    assert_matches_trace("files_made_good", [re.sub(r"count=\d+", "count=N", line) for line in text])


def test_a_fenced_coordinator_returns_its_proxies_to_their_streams(place):
    with CoordinatorProcess(place).start() as service:
        watch, _ = service.accept_watch(service.list_backends(42, s_1="active"))
        proxy = Proxy(place / "d", 3)
        try:
            proxy.wait_until(is_served)
            disk = Disk(place / "d", "none")
            disk.replace(write_owner(proxy.follower.view.fence + 10, 1, "n9"), OWNER)
            watch.sendall(http_chunk(service.list_backends(43, full=False, s_2="active")))
            text = [re.sub(r"fence \d+|ours is \d+|/\S+/", "N", service.wait_for_log("files_fenced"))]
            stream = service.connect("attach node=3 locality=a w=6.5 cold=0")
            assert "replace=1" in service.read_until(stream, rb"stamp=(\d+)\r\n") and service.responds()
        finally:
            proxy.stop()
    assert_matches_trace("files_fenced", text)


@pytest.mark.parametrize("code", [errno.EROFS, errno.ENOSPC, errno.EACCES])
def test_a_folder_that_cannot_be_written_at_the_start_is_reported_in_one_line(tmp_path, code):
    coordinator = SimpleNamespace(configuration=SimpleNamespace(name="n0"))
    with pytest.raises(MalformedError, match="`folder` in the operator's file names it") as error:
        FilesTransport(
            coordinator, FilesSettings(tmp_path / "d", "none", 1, 1, 1), CountedCalls(fail_at(1, code), only=("open",))
        )
    assert os.strerror(code) in str(error.value)


def test_the_commands_read_a_folder_in_use(place):
    def command(*words):
        completed = subprocess.run(
            [sys.executable, "-m", "cranecleat", "files", *words],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=60,
            env={**os.environ, "PYTHONPATH": str(ROOT)},
        )
        return completed.returncode, completed.stdout + completed.stderr

    folder = str(place / "d")
    with CoordinatorProcess(place).start() as service:
        service.accept_watch(service.list_backends(42, s_1="active"))
        proxy = Proxy(place / "d", 3)
        try:
            proxy.wait_until(is_served)
            text = [str(command("check", folder)[0]), command("show", folder)[1]]
            shown = json.loads(command("show", folder, "--json")[1])
            assert shown["proxies"][0]["proxy"] == 3
            followed = command("follow", folder, "3", "--seconds", "0.3")[1].split("\n")[0]
            text.append(str(sorted(json.loads(followed)["lines"])))
            (place / "d" / "orders" / "9").write_text("x")
            code, output = command("check", folder)
            text += [str(code), output, command("check", folder + "x")[1]]
        finally:
            proxy.stop()
        service.process.send_signal(signal.SIGTERM)
        assert service.wait_for_exit()[0] == 0
    masked = "\n".join(text).replace(folder, "HERE")
    masked = re.sub(r"(fence|life|generation|s-1|yes +\d+ +|yes +) ?\d+(\.\d+)?", r"\1 N", masked)
    assert_matches_trace("files_commands", [re.sub(r"yes.*?find", "yes ... find", line) for line in masked.split("\n")])
