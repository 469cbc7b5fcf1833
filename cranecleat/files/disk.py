"""Files on a disk, each replaced or read as a whole or not at all. The rest of this transport reads and writes the
folder's files through this module.

Every system call of `Disk` goes through `system_calls`, so that tests can interrupt, fail or kill between any two of
them. The content of a file never changes while somebody reads it: a new file takes over its name, and a reader that has
the old one open reads it to its end.
"""

import contextlib
import errno
import fcntl
import os
import stat

from cranecleat.files.format import MAX_FILE_BYTES, FileLines, UnusableFileError, encode_file, quote_name, unquote_name

TABLES, OWNER, LOCK = "tables", "owner", "lock"  # names of files in the folder
BODIES, ORDERS, REPORTS = "bodies", "orders", "back"  # names of its subfolders
TEMPORARY_SUFFIX = ".new"
# "none": nothing is synced. "data": each file is synced before it gets its name. "all": the folder is synced after that
# as well.
SYNC_MODES = ("none", "data", "all")
READ_CHUNK_BYTES = 1 << 16


class SystemCalls:
    """The system calls that this module makes, by name."""

    open, write, fsync, close, rename, unlink = os.open, os.write, os.fsync, os.close, os.rename, os.unlink
    read, fstat, scandir, mkdir = os.read, os.fstat, os.scandir, os.mkdir


class FolderHeldError(Exception):
    """Another writer holds the folder's lock."""


class FencedError(Exception):
    """Another writer has taken the folder over, so this one may not write there any more."""


class Disk:
    """One folder of the transport. `sync` is one of `SYNC_MODES`."""

    def __init__(self, root, sync="data", system_calls=SystemCalls):
        self.root, self.sync, self.system_calls = os.fspath(root), sync, system_calls

    def path(self, *parts):
        return os.path.join(self.root, *parts)

    # Reading

    def read(self, *parts):
        """The content of a regular file, or None if it does not exist. Links, devices and folders are refused."""
        system_calls = self.system_calls
        try:
            file = system_calls.open(self.path(*parts), os.O_RDONLY | os.O_NOFOLLOW | os.O_NONBLOCK | os.O_CLOEXEC)
        except FileNotFoundError:
            return None
        except OSError as failure:
            if failure.errno in (errno.ELOOP, errno.ENXIO, errno.ENOTDIR):
                raise UnusableFileError("a symbolic link or not a file; only regular files are read") from None
            raise
        try:
            status = system_calls.fstat(file)
            if not stat.S_ISREG(status.st_mode):
                raise UnusableFileError("not a regular file")
            if status.st_size > MAX_FILE_BYTES:
                raise UnusableFileError(f"{status.st_size} bytes exceed the limit of {MAX_FILE_BYTES}")
            chunks = []
            while chunk := system_calls.read(file, READ_CHUNK_BYTES):
                chunks.append(chunk)
                if sum(map(len, chunks)) > MAX_FILE_BYTES:
                    raise UnusableFileError(
                        "the file grows while it is read: its writer does not replace it as a whole"
                    )
            return b"".join(chunks)
        finally:
            system_calls.close(file)

    def list_files(self, folder):
        """(name, version) of each file but temporary ones. The version is (inode, modification time, size); it changes
        when the file is replaced."""
        try:
            with self.system_calls.scandir(self.path(folder)) as entries:
                found = []
                for entry in entries:
                    if not entry.name.endswith(TEMPORARY_SUFFIX):
                        try:
                            status = entry.stat(follow_symlinks=False)
                        except FileNotFoundError:
                            continue  # replaced or removed meanwhile
                        found.append((entry.name, (status.st_ino, status.st_mtime_ns, status.st_size)))
                return found
        except FileNotFoundError:
            return []

    # Writing

    def replace(self, data, *parts):
        """Replaces the file of that name. If a step fails, the temporary file is removed and never used again: after a
        failed sync its content is uncertain."""
        system_calls, final = self.system_calls, self.path(*parts)
        temporary = final + TEMPORARY_SUFFIX
        try:
            file = self.create(temporary)
            try:
                remaining = memoryview(data)
                while remaining:
                    remaining = remaining[system_calls.write(file, remaining) :]
                if self.sync != "none":
                    system_calls.fsync(file)
            finally:
                system_calls.close(file)
            system_calls.rename(temporary, final)
        except OSError:
            self.remove_quietly(temporary)
            raise
        if self.sync == "all":
            self.sync_folder(os.path.dirname(final))

    def create(self, path):
        """Opens a new file of that name, after removing one that a killed writer has left there."""
        flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_NOFOLLOW | os.O_CLOEXEC
        try:
            return self.system_calls.open(path, flags, 0o644)
        except FileExistsError:
            self.system_calls.unlink(path)
            return self.system_calls.open(path, flags, 0o644)

    def remove(self, *parts):
        with contextlib.suppress(FileNotFoundError):
            self.system_calls.unlink(self.path(*parts))

    def remove_quietly(self, path):
        """Removes a temporary file if that is possible; errors are ignored."""
        with contextlib.suppress(OSError):
            self.system_calls.unlink(path)

    def sync_folder(self, path):
        folder = self.system_calls.open(path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            self.system_calls.fsync(folder)
        finally:
            self.system_calls.close(folder)

    def prepare(self):
        """Creates the folder and its subfolders where they do not exist."""
        for folder in ("", BODIES, ORDERS, REPORTS):
            with contextlib.suppress(FileExistsError):
                self.system_calls.mkdir(self.path(folder) if folder else self.root, 0o755)

    def sweep(self):
        """Removes temporary files that a killed writer has left in the coordinator's folders; returns how many."""
        swept = 0
        for folder in ("", BODIES, ORDERS):
            with self.system_calls.scandir(self.path(folder)) as entries:
                for path in [entry.path for entry in entries if entry.name.endswith(TEMPORARY_SUFFIX)]:
                    self.remove_quietly(path)
                    swept += 1
        return swept


class FolderLock:
    """The writer's exclusive right to a folder: a file lock held while the process lives, and a fencing token (the
    fence) that each new writer raises. The lock excludes a second process on the same machine. The fence protects
    folders that several machines share, where the lock may have no effect."""

    def __init__(self, disk, writer, unix_time):
        self.disk, self.file = disk, None
        file = os.open(disk.path(LOCK), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC | os.O_NOFOLLOW, 0o644)
        try:
            fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(file)
            raise FolderHeldError(f"{disk.root} is held by another coordinator: {self.owner_text(disk)}") from None
        self.file = file
        try:
            previous_fence = read_owner(disk.read(OWNER) or b"")[0]
        except UnusableFileError:
            previous_fence = 0
        self.fence = max(previous_fence + 1, unix_time)
        disk.replace(write_owner(self.fence, unix_time, writer), OWNER)

    @staticmethod
    def owner_text(disk):
        try:
            fence, _, writer = read_owner(disk.read(OWNER) or b"")
            return f"{writer}, fence {fence}"
        except (UnusableFileError, OSError):
            return "its owner file cannot be read"

    def check(self):
        """Raises `FencedError` if another writer has raised the fence. An owner file that cannot be read does not count
        as a higher fence."""
        try:
            fence, _, writer = read_owner(self.disk.read(OWNER) or b"")
        except UnusableFileError:
            return
        if fence > self.fence:
            raise FencedError(f"{writer} has taken over {self.disk.root} with fence {fence}; ours is {self.fence}")

    def release(self):
        if self.file is not None:
            os.close(self.file)
            self.file = None


def write_owner(fence, life, writer):
    return encode_file("owner", [f"fence {fence}", f"life {life}", f"writer {quote_name(writer)}"])


def read_owner(data):
    """(fence, life, writer's name)."""
    lines = FileLines("owner", data, {"fence", "life", "writer"})
    return lines.whole_number("fence"), lines.whole_number("life"), unquote_name(lines.one("writer", 1)[0])


def apply_step(disk, step):
    """Carries out one step of a publication; see `Ledger.steps`."""
    kind, *values = step
    if kind == "body":
        disk.replace(values[1], BODIES, values[0])
    elif kind == "tables":
        disk.replace(values[0], TABLES)
    elif kind == "orders":
        disk.replace(values[1], ORDERS, str(values[0]))
    else:
        disk.remove(BODIES, values[0])
