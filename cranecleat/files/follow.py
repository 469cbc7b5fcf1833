"""A reader for proxies: `Follower(folder, proxy).look()` brings what is in force; `report` says so. For people:
`cranecleat files follow`.

It polls (two `stat` calls where nothing has changed): a folder that is replaced, mounted anew or shared between
machines brings no notifications, and a poll of 50 ms costs a thousandth of a core. What cannot be used leaves in
force what was.
"""

import os
from functools import partial

from cranecleat.files.disk import BODIES, ORDERS, REPORTS, TABLES, Calls, Disk
from cranecleat.files.format import UnusableFileError, read_body, read_orders, read_tables, write_report
from cranecleat.files.view import View

TRIES = 4  # to read tables and bodies that fit: a body may go while the tables that name it are replaced


class Follower:
    """Follows one proxy's orders. `kept` is a file of the reader's own, in which the last order to try again that it
    has taken on stands before it is acted on: it has to survive what the calls survive."""

    def __init__(self, folder, proxy, kept=None, calls=Calls):
        self.disk, self.proxy, self.kept = Disk(folder, "data", calls), proxy, kept
        self.view = View(proxy, *self.load())
        self.version, self.wrong, self.bodies = None, None, {}

    def load(self):
        try:
            with open(self.kept, encoding="ascii") as file:
                done, fence = file.read().split()
                return int(done), int(fence)
        except (OSError, TypeError, ValueError):
            return 0, 0

    def save(self, order):
        if self.kept:
            keeper = Disk(os.path.dirname(os.path.abspath(self.kept)), "all")
            keeper.replace(f"{order.number} {self.view.fence}\n".encode(), os.path.basename(self.kept))

    def poll(self):
        """Takes up what has changed. Returns calls to try again, each once ever; `wrong` says why nothing was taken
        up."""
        try:
            version = [self.stat(ORDERS, str(self.proxy)), self.stat(TABLES)]
        except OSError as failure:
            self.wrong = failure.strerror  # the folder is away: what is in force stays
            return []
        if version == self.version:
            return []
        fresh = self.read()
        if fresh is None:
            return []
        self.version = version
        acted = []
        for order in fresh:
            self.save(order)
            if self.view.take_on(order):
                acted.append(order)
        return acted

    def stat(self, *parts):
        told = os.stat(self.disk.path(*parts), follow_symlinks=False)
        return told.st_ino, told.st_mtime_ns, told.st_size

    def read(self):
        """Orders to try again that are new, or None where nothing could be taken up."""
        for _ in range(TRIES):
            try:
                orders, tables = self.disk.read(ORDERS, str(self.proxy)), self.disk.read(TABLES)
                if orders is None or tables is None:
                    self.wrong = "no orders or no tables stand"
                    return None
                found = {}
                fresh = self.view.offer(read_orders(orders), read_tables(tables), partial(self.body, found=found))
                self.bodies, self.wrong = found, None
                return fresh
            except UnusableFileError as wrong:
                self.wrong = str(wrong)
            except OSError as failure:
                self.wrong = failure.strerror
        return None

    def body(self, called, found):
        """A body is read once, as it never changes."""
        if called not in found:
            if called in self.bodies:
                found[called] = self.bodies[called]
            else:
                data = self.disk.read(BODIES, called)
                if data is None:
                    raise UnusableFileError(f"body {called} has gone")
                found[called] = read_body(data, called)
        return found[called]

    def report(self, report):
        """Puts this reader's report in place, with what it has in force."""
        report.applied, report.again = self.view.in_force.applied, self.view.done
        self.disk.replace(write_report(report), REPORTS, report.who)
