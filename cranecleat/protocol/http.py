"""HTTP/1.1 as far as discovery speaks it: a call out, one answer in, bytes in and pieces of its body out."""

import re

from cranecleat.protocol.limits import MAX_HTTP_HEAD_BYTES
from cranecleat.protocol.reasons import ProtocolError, Reason

END = b"\r\n"
STATUS = re.compile(rb"HTTP/1\.[01] (\d{3})( .*)?")
FIELD = re.compile(rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \t]*(.*?)[ \t]*")
SIZE = re.compile(rb"([0-9A-Fa-f]{1,8})[ \t]*(;.*)?")
LENGTH = re.compile(rb"\d{1,9}")


def get(host, path):
    return f"GET {path} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n".encode("ascii")


def bad(text):
    return ProtocolError(Reason.BAD_ANSWER, text)


class ResponseParser:
    """One answer. `take` is given all that is unread and returns pieces of the body and the bytes used."""

    def __init__(self):
        self.step, self.left, self.complete = self.head, 0, False

    def feed(self, data):
        pieces, used = [], 0
        while not self.complete and (taken := self.step(data, used, pieces)):
            used += taken
        return pieces, used

    def line(self, data, start, what, end=END):
        """The bytes up to `end`, or None while it has not come."""
        stop = data.find(end, start)
        if (stop if stop >= 0 else len(data)) - start > MAX_HTTP_HEAD_BYTES:
            raise bad(f"{what} is too long")
        return data[start:stop] if stop >= 0 else None

    def head(self, data, start, pieces):
        text = self.line(data, start, "the head", END + END)
        if text is None:
            return 0
        first, *fields = text.split(END)
        status = STATUS.fullmatch(first)
        if not status:
            raise bad("no HTTP/1.1 status line")
        headers = {}
        for field in fields:
            match = FIELD.fullmatch(field)
            if not match:
                raise bad(f"a header that is none: {field[:40]!r}")
            headers.setdefault(match[1].lower(), []).append(match[2])
        code, taken = int(status[1]), len(text) + 2 * len(END)
        if 100 <= code < 200:
            return taken  # an interim answer; the real one follows
        if code != 200:
            raise bad(f"status {code}")
        coding, length = headers.get(b"transfer-encoding"), headers.get(b"content-length")
        if coding:
            if length or [c.lower() for c in coding] != [b"chunked"]:
                raise bad("a transfer coding other than chunked alone")
            self.step = self.chunk_size
        elif length:
            if len(set(length)) > 1 or not LENGTH.fullmatch(length[0]):
                raise bad("a content length that is none")
            self.step, self.left = self.body_of_length, int(length[0])
            self.complete = not self.left
        else:
            self.step = self.body_to_end
        return taken

    def part(self, data, start, pieces):
        piece = data[start : start + self.left]
        self.left -= len(piece)
        if piece:
            pieces.append(piece)
        return len(piece)

    def body_of_length(self, data, start, pieces):
        taken = self.part(data, start, pieces)
        self.complete = not self.left
        return taken

    def body_to_end(self, data, start, pieces):
        self.left = len(data) - start
        return self.part(data, start, pieces)

    def chunk_size(self, data, start, pieces):
        text = self.line(data, start, "a chunk's size")
        if text is None:
            return 0
        size = SIZE.fullmatch(text)
        if not size:
            raise bad(f"a chunk's size that is none: {text[:40]!r}")
        self.left = int(size[1], 16)
        self.step = self.chunk_body if self.left else self.trailer
        return len(text) + len(END)

    def chunk_body(self, data, start, pieces):
        taken = self.part(data, start, pieces)
        if not self.left:
            self.step = self.chunk_end
        return taken

    def chunk_end(self, data, start, pieces):
        if len(data) - start < len(END):
            return 0
        if data[start : start + len(END)] != END:
            raise bad("a chunk longer than its size")
        self.step = self.chunk_size
        return len(END)

    def trailer(self, data, start, pieces):
        text = self.line(data, start, "a trailer")
        if text is None:
            return 0
        self.complete = not text
        return len(text) + len(END)
