"""Logging: one line an event on standard output, which may be slow or gone without holding anything up."""

import os
import select
import sys

# structlog draws in rich for consoles where the command line has installed it: a third of a start's processor time,
# which hundreds of coordinators on a shared core pay at each restart. What is marked None counts as not installed.
drawn = sys.modules.setdefault("rich", None)
import structlog  # noqa: E402

if drawn is None:
    del sys.modules["rich"]

LINE = 4096  # bytes: a pipe that can be written to takes that many at once


class Sink:
    """Lines that the reader has no room for are counted and named in the next one that gets through."""

    def __init__(self, descriptor=1):
        self.descriptor, self.lost, self.poll = descriptor, 0, select.poll()
        self.poll.register(descriptor, select.POLLOUT)

    def msg(self, text):
        if self.lost:
            text = f"{text} lost={self.lost}"
        line = text.encode("utf-8", "backslashreplace").replace(b"\n", b"\\n")[: LINE - 1] + b"\n"
        try:
            ready = any(event & select.POLLOUT for _, event in self.poll.poll(0))
            written = os.write(self.descriptor, line) if ready else 0
        except OSError:
            written = 0
        self.lost = 0 if written else self.lost + 1

    log = debug = info = warning = warn = error = critical = exception = fatal = failure = err = msg


def open_log(name):
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
