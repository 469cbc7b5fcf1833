"""A folder of the files transport for tests: a writer on a ledger, followers, and system calls that stop or fail."""

import errno
import os

from cranecleat.decoding import IndexMap
from cranecleat.files.disk import Calls, Disk, FolderLock, apply_step
from cranecleat.files.follow import Follower
from cranecleat.files.format import Report
from cranecleat.files.ledger import Ledger
from cranecleat.files.recover import scan_folder

ROUTES = ("read", "new-address")
SECOND = 1_000_000


class Killed(BaseException):
    """The writer's process ends here."""


class Counted:
    """System calls, each counted before it is made; `at(n)` is asked before the n-th. `only`: which count."""

    CHANGING = ("open", "write", "fsync", "close", "rename", "unlink")

    def __init__(self, at=lambda n, name: None, only=CHANGING):
        self.count, self.ask, self.only = 0, at, only
        for name in ("open", "write", "fsync", "close", "rename", "unlink", "read", "fstat", "scandir", "mkdir"):
            setattr(self, name, self.made(name, getattr(Calls, name)))

    def made(self, name, call):
        def counted(*values):
            if name in self.only:
                self.count += 1
                self.ask(self.count, name)
            return call(*values)

        return counted


def kill_at(k):
    def at(n, name):
        if n == k:
            raise Killed

    return at


def fail_at(k, code):
    """From the k-th call on all that could need the disk fails, once each time it is asked."""

    def at(n, name):
        if n == k and name in ("open", "write", "fsync", "rename"):
            raise OSError(code, os.strerror(code))

    return at


class Writer:
    """What the service's front does, without the service: two tables, some proxies, a state that is told by its
    step."""

    def __init__(self, folder, calls=Calls, proxies=3, unix=1000, sync="all"):
        self.disk = Disk(folder, sync, calls)
        self.disk.prepare()
        self.lock = FolderLock(self.disk, "n0", unix)
        found = scan_folder(self.disk, sweep=True)
        self.found = found
        self.names = IndexMap()
        self.ledger = Ledger(self.names, ROUTES, self.lock.fence, unix, found.generation)
        self.ledger.bodies = found.bodies
        self.proxies, self.now = proxies, 0

    def begin(self):
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

    def state(self, n):
        """The n-th state: weights that name it in both tables, and one backend shut out, all of which go together."""
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

    def end(self):
        self.lock.release()


def told(follower):
    """What one proxy has in force as the number of its state; fails where it is a mixture of two."""
    force, lines = follower.view.in_force, [follower.view.in_force.weights.get(route) for route in ROUTES]
    if not force.weights:
        return None
    assert lines[0] == lines[1], f"mixed tables: {lines}"
    first = lines[0]["s-0"]
    assert lines[0] == {f"s-{b}": first + b for b in range(4)}, f"torn: {lines[0]}"
    n = round((first - 1) / 10)
    if force.levels:
        assert force.withdrawn == {f"s-{n % 4}"} and force.levels["read"] == (n / 1000, 1), f"mixed: {n} {force}"
    return n


def follower(folder, proxy=0, calls=Calls, kept=None):
    return Follower(folder, proxy, kept, calls)


def report(who="p0", life=1, beat=1, **more):
    return Report(who, more.pop("zone", "a"), life, beat, more.pop("every", 100), **more)


NO_SPACE, BAD_DISK = errno.ENOSPC, errno.EIO
