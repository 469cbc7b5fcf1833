"""Files on a disk: replaced whole or not at all, read whole or not at all. The only file work of this transport.

Every system call goes through `calls`, so that tests can stop, fail or kill between any two of them. A file that is
being read is never changed: a new one takes its name, and who has the old one open reads that to its end.
"""

import contextlib
import errno
import fcntl
import os
import stat

from cranecleat.files.format import LONGEST, UnusableFileError, Words, name, sealed, unname

TABLES, OWNER, LOCK = "tables", "owner", "lock"
BODIES, ORDERS, REPORTS = "bodies", "orders", "back"
NEW = ".new"  # what a temporary name ends in
SYNC_MODES = ("none", "data", "all")  # nothing; each file before it gets its name; and the folder after that
PIECE = 1 << 16


class Calls:
    """The system calls that are used, by name."""

    open, write, fsync, close, rename, unlink = os.open, os.write, os.fsync, os.close, os.rename, os.unlink
    read, fstat, scandir, mkdir = os.read, os.fstat, os.scandir, os.mkdir


class FolderHeldError(Exception):
    """Another writer holds the folder."""


class FencedError(Exception):
    """Another writer has taken the folder since: nothing may be written there any more."""


class Disk:
    """One folder of the transport."""

    def __init__(self, root, sync="data", calls=Calls):
        self.root, self.sync, self.calls = os.fspath(root), sync, calls

    def path(self, *parts):
        return os.path.join(self.root, *parts)

    # Reading

    def read(self, *parts):
        """The content of a regular file, or None where there is none. A link, a device or a folder is no file."""
        calls = self.calls
        try:
            file = calls.open(self.path(*parts), os.O_RDONLY | os.O_NOFOLLOW | os.O_NONBLOCK | os.O_CLOEXEC)
        except FileNotFoundError:
            return None
        except OSError as failure:
            if failure.errno in (errno.ELOOP, errno.ENXIO, errno.ENOTDIR):
                raise UnusableFileError("a link or no file at all; only regular files are read") from None
            raise
        try:
            found = calls.fstat(file)
            if not stat.S_ISREG(found.st_mode):
                raise UnusableFileError("no regular file")
            if found.st_size > LONGEST:
                raise UnusableFileError(f"{found.st_size} bytes, where {LONGEST} are the most")
            pieces = []
            while piece := calls.read(file, PIECE):
                pieces.append(piece)
                if sum(map(len, pieces)) > LONGEST:
                    raise UnusableFileError("it grows while it is read: it is not replaced whole")
            return b"".join(pieces)
        finally:
            calls.close(file)

    def list_files(self, folder):
        """Names and what tells one version of a file from another; temporary ones are left out."""
        try:
            with self.calls.scandir(self.path(folder)) as entries:
                found = []
                for entry in entries:
                    if not entry.name.endswith(NEW):
                        try:
                            told = entry.stat(follow_symlinks=False)
                        except FileNotFoundError:
                            continue  # replaced or removed meanwhile
                        found.append((entry.name, (told.st_ino, told.st_mtime_ns, told.st_size)))
                return found
        except FileNotFoundError:
            return []

    # Writing

    def replace(self, data, *parts):
        """Puts a file in place of what has that name. After a failed sync nothing of it is used again."""
        calls, final = self.calls, self.path(*parts)
        beside = final + NEW
        try:
            file = self.fresh(beside)
            try:
                left = memoryview(data)
                while left:
                    left = left[calls.write(file, left) :]
                if self.sync != "none":
                    calls.fsync(file)
            finally:
                calls.close(file)
            calls.rename(beside, final)
        except OSError:
            self.remove_quietly(beside)
            raise
        if self.sync == "all":
            self.sync_folder(os.path.dirname(final))

    def fresh(self, path):
        """A new file of that name; one that a writer which was killed has left there goes first."""
        flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_NOFOLLOW | os.O_CLOEXEC
        try:
            return self.calls.open(path, flags, 0o644)
        except FileExistsError:
            self.calls.unlink(path)
            return self.calls.open(path, flags, 0o644)

    def remove(self, *parts):
        with contextlib.suppress(FileNotFoundError):
            self.calls.unlink(self.path(*parts))

    def remove_quietly(self, path):
        with contextlib.suppress(OSError):
            self.calls.unlink(path)

    def sync_folder(self, path):
        folder = self.calls.open(path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            self.calls.fsync(folder)
        finally:
            self.calls.close(folder)

    def prepare(self):
        for folder in ("", BODIES, ORDERS, REPORTS):
            with contextlib.suppress(FileExistsError):
                self.calls.mkdir(self.path(folder) if folder else self.root, 0o755)

    def sweep(self):
        """Temporary files that a killed writer has left in our folders; returns how many."""
        swept = 0
        for folder in ("", BODIES, ORDERS):
            with self.calls.scandir(self.path(folder)) as entries:
                for path in [entry.path for entry in entries if entry.name.endswith(NEW)]:
                    self.remove_quietly(path)
                    swept += 1
        return swept


class FolderLock:
    """The writer's hold of a folder: a lock while the process lives, and a fence that each writer raises. The lock
    keeps two processes of one machine apart; the fence is for folders that machines share, where locks may not
    reach."""

    def __init__(self, disk, writer, unix):
        self.disk, self.file = disk, None
        file = os.open(disk.path(LOCK), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC | os.O_NOFOLLOW, 0o644)
        try:
            fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(file)
            raise FolderHeldError(f"{disk.root} is held by another coordinator: {self.owner_text(disk)}") from None
        self.file = file
        try:
            before = read_owner(disk.read(OWNER) or b"")[0]
        except UnusableFileError:
            before = 0
        self.fence = max(before + 1, unix)
        disk.replace(write_owner(self.fence, unix, writer), OWNER)

    @staticmethod
    def owner_text(disk):
        try:
            fence, _, writer = read_owner(disk.read(OWNER) or b"")
            return f"{writer}, fence {fence}"
        except (UnusableFileError, OSError):
            return "its owner file cannot be read"

    def check(self):
        """Raises `FencedError` if another writer has raised the fence. A file that cannot be read fences nobody."""
        try:
            fence, _, writer = read_owner(self.disk.read(OWNER) or b"")
        except UnusableFileError:
            return
        if fence > self.fence:
            raise FencedError(f"{writer} has taken {self.disk.root} with fence {fence}; ours is {self.fence}")

    def release(self):
        if self.file is not None:
            os.close(self.file)
            self.file = None


def write_owner(fence, life, writer):
    return sealed("owner", [f"fence {fence}", f"life {life}", f"writer {name(writer)}"])


def read_owner(data):
    words = Words("owner", data, {"fence", "life", "writer"})
    return words.whole("fence"), words.whole("life"), unname(words.one("writer", 1)[0])


def apply_step(disk, step):
    """One step of a publication."""
    kind, *what = step
    if kind == "body":
        disk.replace(what[1], BODIES, what[0])
    elif kind == "tables":
        disk.replace(what[0], TABLES)
    elif kind == "orders":
        disk.replace(what[1], ORDERS, str(what[0]))
    else:
        disk.remove(BODIES, what[0])
