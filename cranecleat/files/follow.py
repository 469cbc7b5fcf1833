"""A reader for proxies: `Follower(folder, proxy).poll()` puts new orders in force, and `report` reports them. The
command `cranecleat files follow` shows the same to people.

The reader polls, with two `stat` calls while nothing changes: a folder that is replaced, mounted again or shared
between machines sends no notifications, and a poll every 50 ms costs a thousandth of a core. While the files cannot be
used, the last usable ones stay in force.
"""

import os
from functools import partial

from cranecleat.files.disk import BODIES, ORDERS, REPORTS, TABLES, Disk, SystemCalls
from cranecleat.files.format import UnusableFileError, read_body, read_orders, read_tables, write_report
from cranecleat.files.view import View

READ_TRIES = 4  # attempts in one poll: newer tables may replace those just read, and their bodies may be removed


class Follower:
    """Follows one proxy's orders.

    state_file: a file of the reader's own that stores the last retry order taken on. It is written before the order is
    acted on and has to survive whatever the calls survive, as otherwise a call may be retried twice.
    version: versions of the files of orders and of tables that were last put in force.
    bodies: name -> body, of the tables in force.
    error: why the last attempt to read the files failed, or None.
    """

    def __init__(self, folder, proxy, state_file=None, system_calls=SystemCalls):
        self.disk, self.proxy, self.state_file = Disk(folder, "data", system_calls), proxy, state_file
        self.view = View(proxy, *self.load_state())
        self.version, self.error, self.bodies = None, None, {}

    def load_state(self):
        """(number of the last retry order taken on, fence) as stored, or (0, 0)."""
        try:
            with open(self.state_file, encoding="ascii") as file:
                last_retry, fence = file.read().split()
                return int(last_retry), int(fence)
        except (OSError, TypeError, ValueError):
            return 0, 0

    def store_retry(self, retry):
        """Stores the number of this retry order, with the fence, in the state file."""
        if self.state_file:
            state_disk = Disk(os.path.dirname(os.path.abspath(self.state_file)), "all")
            state_disk.replace(f"{retry.number} {self.view.fence}\n".encode(), os.path.basename(self.state_file))

    def poll(self):
        """Reads the files if they have changed, and puts them in force. Returns the retry orders to act on now, each
        once only. If the files cannot be used, `error` says why."""
        try:
            version = [self.file_version(ORDERS, str(self.proxy)), self.file_version(TABLES)]
        except OSError as failure:
            self.error = failure.strerror  # the folder is not available, so what is in force stays
            return []
        if version == self.version:
            return []
        new_retries = self.read_files()
        if new_retries is None:
            return []
        self.version = version
        taken_on = []
        for retry in new_retries:
            self.store_retry(retry)
            if self.view.take_on(retry):
                taken_on.append(retry)
        return taken_on

    def file_version(self, *parts):
        status = os.stat(self.disk.path(*parts), follow_symlinks=False)
        return status.st_ino, status.st_mtime_ns, status.st_size

    def read_files(self):
        """The new retry orders, or None if nothing could be put in force."""
        for _ in range(READ_TRIES):
            try:
                orders, tables = self.disk.read(ORDERS, str(self.proxy)), self.disk.read(TABLES)
                if orders is None or tables is None:
                    self.error = "the file of orders or of tables does not exist"
                    return None
                found = {}
                new_retries = self.view.offer(
                    read_orders(orders), read_tables(tables), partial(self.body_of, found=found)
                )
                self.bodies, self.error = found, None
                return new_retries
            except UnusableFileError as error:
                self.error = str(error)
            except OSError as failure:
                self.error = failure.strerror
        return None

    def body_of(self, name, found):
        """The body of that name, also added to `found`. One that the tables in force refer to is not read again, as a
        body never changes."""
        if name not in found:
            if name in self.bodies:
                found[name] = self.bodies[name]
            else:
                data = self.disk.read(BODIES, name)
                if data is None:
                    raise UnusableFileError(f"body {name} does not exist")
                found[name] = read_body(data, name)
        return found[name]

    def report(self, report):
        """Writes this reader's report file, with what is in force."""
        report.applied, report.last_retry = self.view.in_force.applied, self.view.last_retry
        self.disk.replace(write_report(report), REPORTS, report.who)
