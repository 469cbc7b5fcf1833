"""Key files: a member's secret key, one line, readable by its owner alone. The only file work of gossip's keys."""

import base64
import binascii
import os
import stat

WORD = "cranecleat-key-1"  # what a key file begins with; the number is the format's


class KeyFileError(ValueError):
    """A key or a key file that cannot be used; the text says what and what instead."""


def encode(key):
    return base64.b64encode(key).decode("ascii")


def decode(text, size=32):
    try:
        key = base64.b64decode(text, validate=True)
    except (binascii.Error, ValueError, TypeError):
        raise KeyFileError(f"{text!r} is no base64: copy the line that `cranecleat keys show` prints") from None
    if len(key) != size:
        raise KeyFileError(f"a key of {len(key)} bytes where {size} are needed")
    return key


def create_key_file(path):
    """Writes a new secret key to a file that must not exist yet, and returns it."""
    secret = os.urandom(32)
    try:
        descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600)
    except FileExistsError:
        raise KeyFileError(f"{path} exists: a key is never overwritten; choose another name") from None
    except OSError as failure:
        raise KeyFileError(f"{path}: {failure.strerror}") from None
    with os.fdopen(descriptor, "w") as file:
        file.write(f"{WORD} {encode(secret)}\n")
        file.flush()
        os.fsync(file.fileno())
    return secret


def read_key_file(path):
    """The secret key of a file, 32 bytes."""
    try:
        with open(path, encoding="ascii") as file:
            mode = stat.S_IMODE(os.fstat(file.fileno()).st_mode)
            word, _, text = file.read(256).strip().partition(" ")
    except OSError as failure:
        raise KeyFileError(f"{path}: {failure.strerror}; make one with `cranecleat keys new {path}`") from None
    except UnicodeDecodeError:
        raise KeyFileError(f"{path} is no key file") from None
    if word != WORD:
        raise KeyFileError(f"{path} is no key file: it does not begin with {WORD!r}")
    if mode & 0o077:
        raise KeyFileError(
            f"{path} can be read by others (mode {mode:o}): chmod 600 it, and change the key if they may have"
        )
    return decode(text)


def fingerprint(public):
    """The first bytes of a public key, to be read out over a telephone."""
    return "-".join(public[:8].hex()[i : i + 4] for i in range(0, 16, 4))
