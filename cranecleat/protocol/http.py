"""The part of HTTP/1.1 that discovery needs: one request, and an incremental parser for one response."""

import re

from cranecleat.protocol.limits import MAX_HTTP_HEAD_BYTES
from cranecleat.protocol.reasons import ProtocolError, Reason

CRLF = b"\r\n"
STATUS_LINE = re.compile(rb"HTTP/1\.[01] (\d{3})( .*)?")
HEADER = re.compile(rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \t]*(.*?)[ \t]*")
CHUNK_SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,8})[ \t]*(;.*)?")
CONTENT_LENGTH = re.compile(rb"\d{1,9}")


def build_get(host, path):
    """The bytes of a GET request."""
    return f"GET {path} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n".encode("ascii")


def bad_response(text):
    return ProtocolError(Reason.BAD_ANSWER, text)


class ResponseParser:
    """Parses one response incrementally. `feed` takes all unconsumed bytes and returns pieces of the body and the
    number of bytes consumed."""

    def __init__(self):
        self.step = self.head  # parses the next part of the response; returns the bytes consumed, 0 to wait for more
        self.remaining = 0  # bytes of the body, or of the current chunk, that have not come yet
        self.complete = False

    def feed(self, data):
        pieces, used = [], 0
        while not self.complete and (consumed := self.step(data, used, pieces)):
            used += consumed
        return pieces, used

    def line(self, data, start, what, end=CRLF):
        """The bytes from `start` to `end`, or None while `end` has not come. `what` names them in the error."""
        stop = data.find(end, start)
        if (stop if stop >= 0 else len(data)) - start > MAX_HTTP_HEAD_BYTES:
            raise bad_response(f"{what} is too long")
        return data[start:stop] if stop >= 0 else None

    def head(self, data, start, pieces):
        text = self.line(data, start, "the head", CRLF + CRLF)
        if text is None:
            return 0
        status_line, *fields = text.split(CRLF)
        status = STATUS_LINE.fullmatch(status_line)
        if not status:
            raise bad_response("no HTTP/1.1 status line")
        headers = {}
        for field in fields:
            match = HEADER.fullmatch(field)
            if not match:
                raise bad_response(f"malformed header: {field[:40]!r}")
            headers.setdefault(match[1].lower(), []).append(match[2])
        code, consumed = int(status[1]), len(text) + 2 * len(CRLF)
        if 100 <= code < 200:
            return consumed  # an interim response; the final one follows
        if code != 200:
            raise bad_response(f"status {code}")
        coding, length = headers.get(b"transfer-encoding"), headers.get(b"content-length")
        if coding:
            if length or [c.lower() for c in coding] != [b"chunked"]:
                raise bad_response("a transfer coding other than chunked alone")
            self.step = self.chunk_size
        elif length:
            if len(set(length)) > 1 or not CONTENT_LENGTH.fullmatch(length[0]):
                raise bad_response("malformed content length")
            self.step, self.remaining = self.body_of_length, int(length[0])
            self.complete = not self.remaining
        else:
            self.step = self.body_to_end
        return consumed

    def body_piece(self, data, start, pieces):
        piece = data[start : start + self.remaining]
        self.remaining -= len(piece)
        if piece:
            pieces.append(piece)
        return len(piece)

    def body_of_length(self, data, start, pieces):
        consumed = self.body_piece(data, start, pieces)
        self.complete = not self.remaining
        return consumed

    def body_to_end(self, data, start, pieces):
        """A body without a length goes on until the connection ends; the response never counts as complete."""
        self.remaining = len(data) - start
        return self.body_piece(data, start, pieces)

    def chunk_size(self, data, start, pieces):
        text = self.line(data, start, "a chunk's size")
        if text is None:
            return 0
        size = CHUNK_SIZE_LINE.fullmatch(text)
        if not size:
            raise bad_response(f"malformed chunk size: {text[:40]!r}")
        self.remaining = int(size[1], 16)
        self.step = self.chunk_body if self.remaining else self.trailer
        return len(text) + len(CRLF)

    def chunk_body(self, data, start, pieces):
        consumed = self.body_piece(data, start, pieces)
        if not self.remaining:
            self.step = self.chunk_end
        return consumed

    def chunk_end(self, data, start, pieces):
        if len(data) - start < len(CRLF):
            return 0
        if data[start : start + len(CRLF)] != CRLF:
            raise bad_response("a chunk longer than its size")
        self.step = self.chunk_size
        return len(CRLF)

    def trailer(self, data, start, pieces):
        text = self.line(data, start, "a trailer")
        if text is None:
            return 0
        self.complete = not text
        return len(text) + len(CRLF)
