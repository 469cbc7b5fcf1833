"""Logging: one line per event on standard output. A slow or closed standard output never blocks the coordinator."""

import os
import select
import sys

# Where rich is installed, as the command-line tool needs it, structlog imports it for console output. That import takes
# a third of the processor time of a start, which counts when hundreds of coordinators that share a core are restarted.
# A module that is None in sys.modules counts as not installed.
rich_module = sys.modules.setdefault("rich", None)
import structlog  # noqa: E402

if rich_module is None:
    del sys.modules["rich"]

MAX_LINE_BYTES = 4096  # a pipe that polls as writable takes this many bytes at once


class Sink:
    """Writes log lines without blocking. Lines for which the pipe has no room are dropped; the next line that is
    written ends with their number as `lost=`. A line over MAX_LINE_BYTES is cut, and so loses this number."""

    def __init__(self, descriptor=1):
        self.descriptor = descriptor
        self.lost = 0
        self.poll = select.poll()
        self.poll.register(descriptor, select.POLLOUT)

    def msg(self, text):
        if self.lost:
            text = f"{text} lost={self.lost}"
        line = text.encode("utf-8", "backslashreplace").replace(b"\n", b"\\n")[: MAX_LINE_BYTES - 1] + b"\n"
        try:
            ready = any(event & select.POLLOUT for _, event in self.poll.poll(0))
            written = os.write(self.descriptor, line) if ready else 0
        except OSError:
            written = 0
        self.lost = 0 if written else self.lost + 1

    log = debug = info = warning = warn = error = critical = exception = fatal = failure = err = msg


def open_log(name):
    """A structlog logger in logfmt whose lines carry the coordinator's name; fields that are None are left out."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            lambda _, __, event: {key: value for key, value in event.items() if value is not None},
            structlog.processors.LogfmtRenderer(key_order=["timestamp", "level", "event"], bool_as_flag=False),
        ],
        logger_factory=lambda *_: Sink(),
        cache_logger_on_first_use=True,
    )
    return structlog.get_logger().bind(name=name)
