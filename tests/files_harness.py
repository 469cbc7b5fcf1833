"""A folder of the files transport for tests: a writer on a ledger, followers, and system calls that stop or fail."""

import errno
import os

from cranecleat.decoding import IndexMap
from cranecleat.files.disk import Disk, FolderLock, SystemCalls, apply_step
from cranecleat.files.follow import Follower
from cranecleat.files.format import Report
from cranecleat.files.ledger import Ledger
from cranecleat.files.recover import scan_folder

ROUTES = ("read", "new-address")
SECOND = 1_000_000  # microseconds


class Killed(BaseException):
    """The writer's process ends here."""


class CountedCalls:
    """Counts system calls and makes them. `before(n, name)` is called before the n-th call. `only`: names of the system
    calls that are counted; the others are made without `before`."""

    CHANGING = ("open", "write", "fsync", "close", "rename", "unlink")

    def __init__(self, before=lambda n, name: None, only=CHANGING):
        self.count, self.before, self.only = 0, before, only
        for name in ("open", "write", "fsync", "close", "rename", "unlink", "read", "fstat", "scandir", "mkdir"):
            setattr(self, name, self.wrap(name, getattr(SystemCalls, name)))

    def wrap(self, name, system_call):
        def counted(*values):
            if name in self.only:
                self.count += 1
                self.before(self.count, name)
            return system_call(*values)

        return counted


def kill_at(k):
    """Kills the writer before the k-th call."""

    def before(n, name):
        if n == k:
            raise Killed

    return before


def fail_at(k, code):
    """Fails the k-th call with this error number, if it is one that the disk can fail."""

    def before(n, name):
        if n == k and name in ("open", "write", "fsync", "rename"):
            raise OSError(code, os.strerror(code))

    return before


class Writer:
    """Publishes as `FilesTransport` does, without the service: two tables, some proxies, and numbered states. All that
    is published follows from the state's number, so that a mixture of two states can be detected."""

    def __init__(self, folder, system_calls=SystemCalls, proxies=3, unix_time=1000, sync="all"):
        self.disk = Disk(folder, sync, system_calls)
        self.disk.prepare()
        self.lock = FolderLock(self.disk, "n0", unix_time)
        found = scan_folder(self.disk, sweep=True)
        self.found = found
        self.names = IndexMap()
        self.ledger = Ledger(self.names, ROUTES, self.lock.fence, unix_time, found.generation)
        self.ledger.bodies = found.bodies
        self.proxies, self.now = proxies, 0

    def join_proxies(self):
        """Joins the proxies and binds them to the tables."""
        for b in range(4):
            self.names(f"s-{b}")
        for route in range(2):
            for b in range(4):
                self.ledger.set_weight(route, b, 1.0)
        for p in range(self.proxies):
            self.ledger.join(p)
            for route in range(2):
                self.ledger.bind(p, route, (route,))
        return self

    def set_state(self, n):
        """Sets the n-th state: the weights in both tables, the withdrawn backend and the level all follow from n."""
        for route in range(2):
            for b in range(4):
                self.ledger.set_weight(route, b, float(n * 10 + b + 1))
        for b in range(4):
            self.ledger.withdraw(b, b == n % 4)
        self.ledger.set_admission(None, (0, 1), n / 1000, 1)
        return self

    def publish(self):
        self.lock.check()
        for step in self.ledger.steps():
            apply_step(self.disk, step)
            self.ledger.step_done(step)
        for step in self.ledger.publication_done(self.now):
            apply_step(self.disk, step)

    def release(self):
        self.lock.release()


def state_in_force(follower):
    """The number of the state that one proxy has in force; fails if it is a mixture of two states."""
    in_force, weights = follower.view.in_force, [follower.view.in_force.weights.get(route) for route in ROUTES]
    if not in_force.weights:
        return None
    assert weights[0] == weights[1], f"mixed tables: {weights}"
    first = weights[0]["s-0"]
    assert weights[0] == {f"s-{b}": first + b for b in range(4)}, f"torn: {weights[0]}"
    n = round((first - 1) / 10)
    if in_force.levels:
        assert in_force.withdrawn == {f"s-{n % 4}"} and in_force.levels["read"] == (
            n / 1000,
            1,
        ), f"mixed: {n} {in_force}"
    return n


def follower(folder, proxy=0, system_calls=SystemCalls, state_file=None):
    return Follower(folder, proxy, state_file, system_calls)


def report(who="p0", life=1, beat=1, **more):
    return Report(who, more.pop("zone", "a"), life, beat, more.pop("every", 100), **more)


NO_SPACE = errno.ENOSPC
BAD_DISK = errno.EIO
