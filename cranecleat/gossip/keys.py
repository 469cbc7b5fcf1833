"""Key files: a member's secret key on one line, readable by its owner only. No other module of gossip reads them."""

import base64
import binascii
import os
import stat

FORMAT_NAME = "cranecleat-key-1"  # a key file begins with it; the number is the version of the format


class KeyFileError(ValueError):
    """A key or a key file that cannot be used; the text says what is wrong and what to do."""


def encode(key):
    """A key as base64 text."""
    return base64.b64encode(key).decode("ascii")


def decode(text, size=32):
    """Decodes a key from base64 text; raises `KeyFileError` if it is not base64 or not `size` bytes long."""
    try:
        key = base64.b64decode(text, validate=True)
    except (binascii.Error, ValueError, TypeError):
        raise KeyFileError(f"{text!r} is not base64: copy the line that `cranecleat keys show` prints") from None
    if len(key) != size:
        raise KeyFileError(f"the key has {len(key)} bytes, but {size} are needed")
    return key


def create_key_file(path):
    """Writes a new secret key to a file that must not exist yet, and returns the key. Raises `KeyFileError`."""
    secret = os.urandom(32)
    try:
        descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600)
    except FileExistsError:
        raise KeyFileError(f"{path} exists: a key is never overwritten; choose another name") from None
    except OSError as error:
        raise KeyFileError(f"{path}: {error.strerror}") from None
    with os.fdopen(descriptor, "w") as file:
        file.write(f"{FORMAT_NAME} {encode(secret)}\n")
        file.flush()
        os.fsync(file.fileno())
    return secret


def read_key_file(path):
    """The 32 bytes of the secret key in a file. Raises `KeyFileError`, also if other users of the machine can read the
    file."""
    try:
        with open(path, encoding="ascii") as file:
            mode = stat.S_IMODE(os.fstat(file.fileno()).st_mode)
            format_name, _, text = file.read(256).strip().partition(" ")
    except OSError as error:
        raise KeyFileError(f"{path}: {error.strerror}; make one with `cranecleat keys new {path}`") from None
    except UnicodeDecodeError:
        raise KeyFileError(f"{path} is not a key file") from None
    if format_name != FORMAT_NAME:
        raise KeyFileError(f"{path} is not a key file: it does not begin with {FORMAT_NAME!r}")
    if mode & 0o077:
        raise KeyFileError(
            f"{path} can be read by others (mode {mode:o}): run chmod 600 on it, and replace the key if others may"
            " have read it"
        )
    return decode(text)


def fingerprint(public):
    """The first 8 bytes of a public key in groups of four hexadecimal digits, short enough to compare by telephone."""
    return "-".join(public[:8].hex()[i : i + 4] for i in range(0, 16, 4))
