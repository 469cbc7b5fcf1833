"""The running coordinator with the files transport; each test waits for events, none for time to pass."""

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
from files_harness import Counted, fail_at, report
from planner_harness import CoordinatorProcess, assert_matches_trace, http_chunk

ROOT = Path(__file__).parent.parent
WAIT = 20


@pytest.fixture
def place(tmp_path, monkeypatch):
    """The operator's file and its folder."""
    lines = ('folder "d"', 'sync "none"', 'poll "20ms"', 'lose "200ms"', 'hold "400ms"')
    (tmp_path / "o.kdl").write_text("\n".join(["files {", *lines, "}"]) + "\n")
    monkeypatch.setenv("CRANECLEAT_OPERATOR", str(tmp_path / "o.kdl"))
    return tmp_path


class Proxy:
    """A proxy on files: follows its orders and renews its report, in a thread of the test."""

    def __init__(self, folder, number, zone="a", again=None):
        self.follower, self.number = Follower(folder, number, again), number
        self.report = report(
            f"p{number}", life=time.time_ns() // 1000, typical=6.5, standing=True, every=200, zone=zone
        )
        self.stopped, self.still = threading.Event(), threading.Event()
        self.acted = []
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        while not self.stopped.wait(0.02):
            if not self.still.is_set():
                try:
                    self.acted += [order.call for order in self.follower.poll()]
                    self.report.beat += 1
                    self.report.calls = {"read": self.report.beat // 2}
                    self.follower.report(self.report)
                except OSError:
                    pass

    def until(self, holds):
        deadline = time.monotonic() + WAIT
        while not holds(self.follower.view):
            assert time.monotonic() < deadline, f"never: {self.follower.view.in_force} {self.follower.wrong}"
            time.sleep(0.01)

    def stop(self):
        self.stopped.set()
        self.thread.join()


def serves(view):
    return view.in_force.active and set(view.in_force.weights) == {"read", "find"}


def test_a_proxy_through_files_is_bound_hears_drains_and_survives_a_kill(place):
    with CoordinatorProcess(place).start() as service:
        text = [re.sub(r"fence=\d+", "fence=N", service.wait_for_log("files_open"))]
        watch, _ = service.accept_watch(service.list_backends(42, s_1="active", s_2="active"))
        proxy = Proxy(place / "d", 3)
        try:
            proxy.until(serves)
            text += [service.wait_for_log("files_serves"), f"lines: {sorted(proxy.follower.view.pick_from('read'))}"]
            watch.sendall(http_chunk(service.list_backends(43, full=False, s_1="leaving")))
            proxy.until(lambda view: "s-1" in view.in_force.withdrawn)
            text.append(f"s-1 drains: {sorted(proxy.follower.view.pick_from('read'))}")
            proxy.until(lambda view: view.in_force.applied[0] > 0)
            service.process.kill()
            service.wait_for_exit()
            assert sorted(proxy.follower.view.pick_from("read")) == ["s-2"]
            fence = proxy.follower.view.fence
            service.configuration["known"] = service.list_backends(43, s_1="leaving", s_2="active")
            service.start()
            text.append(re.sub(r"(fence|generation|bodies)=\d+", r"\1=N", service.wait_for_log("files_open")))
            proxy.until(lambda view: view.fence > fence and serves(view))
            text.append(f"after a kill: {sorted(proxy.follower.view.pick_from('read'))}")
            proxy.still.set()
            text.append(service.wait_for_log("files_silent"))
            proxy.still.clear()
            proxy.until(lambda view: view.in_force.active)
            text.append(service.wait_for_log("files_serves.*by=files"))
        finally:
            proxy.stop()
    assert_matches_trace("files_daemon", [line.replace(str(place), "") for line in text])


def test_a_proxy_goes_over_to_files_when_its_stream_ends_and_back_when_one_has_stood(place):
    with CoordinatorProcess(place).start() as service:
        watch, _ = service.accept_watch(service.list_backends(42, s_1="active", s_2="active"))
        stream, proxy = service.connect("attach node=3 locality=a w=6.5 cold=1"), Proxy(place / "d", 3)
        try:
            service.read_until(stream, rb"stamp=(\d+)\r\n")
            assert not proxy.follower.view.in_force.active
            stream.close()
            text = [service.wait_for_log("connection_ended.*proxy"), service.wait_for_log("files_serves.*by=files")]
            proxy.until(serves)
            watch.sendall(http_chunk(service.list_backends(43, full=False, s_2="leaving")))
            proxy.until(lambda view: "s-2" in view.in_force.withdrawn)
            stream = service.connect("attach node=3 locality=a w=6.5 cold=0")
            text.append(service.wait_for_log("files_stream_waits"))
            text.append(service.wait_for_log("files_serves.*by=stream"))
            orders = service.read_until(stream, rb"stamp=(\d+)\r\n")
            text.append(f"what drained meanwhile: {'drop=s-2' in orders or 's-2:' not in orders}")
            assert "replace=1" in orders
            proxy.until(lambda view: not view.in_force.active)
            text.append("no proxy obeys both: its orders say active 0")
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


def test_a_folder_that_cannot_be_written_in_service_is_said_and_made_good(place):
    with CoordinatorProcess(place).start() as service:
        watch, _ = service.accept_watch(service.list_backends(42, s_1="active", s_2="active"))
        proxy = Proxy(place / "d", 3)
        try:
            proxy.until(serves)
            bodies = place / "d" / "bodies"
            bodies.rename(place / "kept")
            bodies.write_text("in the way")
            watch.sendall(http_chunk(service.list_backends(43, full=False, s_3="active")))
            text = [service.wait_for_log("files_unwritten")]
            assert service.responds() and serves(proxy.follower.view)
            bodies.unlink()
            (place / "kept").rename(bodies)
            proxy.until(lambda view: "s-3" in view.pick_from("read"))
            (place / "d" / "back" / "p1").symlink_to("/etc/hostname")
            text.append(service.wait_for_log("files_spoilt"))
        finally:
            proxy.stop()
    assert_matches_trace("files_made_good", [re.sub(r"count=\d+", "count=N", line) for line in text])


def test_one_that_is_fenced_gives_its_proxies_back_to_their_streams(place):
    with CoordinatorProcess(place).start() as service:
        watch, _ = service.accept_watch(service.list_backends(42, s_1="active"))
        proxy = Proxy(place / "d", 3)
        try:
            proxy.until(serves)
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
def test_a_folder_that_cannot_be_written_at_the_start_is_one_clear_line(tmp_path, code):
    coordinator = SimpleNamespace(configuration=SimpleNamespace(name="n0"))
    with pytest.raises(MalformedError, match="`folder` in the operator's file names it") as wrong:
        FilesTransport(
            coordinator, FilesSettings(tmp_path / "d", "none", 1, 1, 1), Counted(fail_at(1, code), only=("open",))
        )
    assert os.strerror(code) in str(wrong.value)


def test_the_commands_read_a_folder_that_is_in_use(place):
    def command(*words):
        done = subprocess.run(
            [sys.executable, "-m", "cranecleat", "files", *words],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=60,
            env={**os.environ, "PYTHONPATH": str(ROOT)},
        )
        return done.returncode, done.stdout + done.stderr

    folder = str(place / "d")
    with CoordinatorProcess(place).start() as service:
        service.accept_watch(service.list_backends(42, s_1="active"))
        proxy = Proxy(place / "d", 3)
        try:
            proxy.until(serves)
            text = [str(command("check", folder)[0]), command("show", folder)[1]]
            told = json.loads(command("show", folder, "--json")[1])
            assert told["proxies"][0]["proxy"] == 3
            followed = command("follow", folder, "3", "--seconds", "0.3")[1].split("\n")[0]
            text.append(str(sorted(json.loads(followed)["lines"])))
            (place / "d" / "orders" / "9").write_text("x")
            code, out = command("check", folder)
            text += [str(code), out, command("check", folder + "x")[1]]
        finally:
            proxy.stop()
        service.process.send_signal(signal.SIGTERM)
        assert service.wait_for_exit()[0] == 0
    shown = "\n".join(text).replace(folder, "HERE")
    shown = re.sub(r"(fence|life|generation|s-1|yes +\d+ +|yes +) ?\d+(\.\d+)?", r"\1 N", shown)
    assert_matches_trace("files_commands", [re.sub(r"yes.*?find", "yes ... find", line) for line in shown.split("\n")])
