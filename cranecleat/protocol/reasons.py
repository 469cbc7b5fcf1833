"""Why a connection ended: the code in its log line. docs/operators/oncall.md says what to do about each."""

from enum import StrEnum


class Reason(StrEnum):
    """The reason for which a connection ended, or a message could not be used. The values appear in the log."""

    CLOSED = "closed"  # the peer closed it, or discovery's response is complete
    RESET = "reset"  # the connection failed
    REPLACED = "replaced"  # the same proxy has opened a newer stream, or a newer watch is in use
    STOPPING = "stopping"  # the coordinator stops
    MUTE = "mute"  # it did not identify itself in time; it may have sent heartbeats
    # Ended to make room: there were too many unidentified connections or collectors, all connections together used too
    # many descriptors, or no connection could be accepted for want of a descriptor or of memory.
    CROWDED = "crowded"
    SILENT = "silent"  # a watch on which no first bytes, heartbeat or complete line came in time
    UNREAD = "unread"  # too many bytes that the peer has not read wait in this process
    TOO_LONG = "too_long"  # a message over the limit, or one without an end
    HALF_READ = "half_read"  # ended to free its buffers, as all buffers for partly received messages were in use
    UNREADABLE = "unreadable"  # no message of this protocol, or one with a malformed, doubled or missing field
    BAD_FIGURE = "bad_figure"  # a number or a flag that is malformed or out of range
    UNKNOWN_NAME = "unknown_name"  # a zone, route or proxy that this deployment does not have
    OUT_OF_PLACE = "out_of_place"  # a message that this connection may not send, or not at this time
    REFUSED = "refused"  # the connection to discovery could not be opened
    BAD_ANSWER = "bad_answer"  # discovery's HTTP response could not be parsed, or its status is not 200
    BAD_LIST = "bad_list"  # discovery's list could not be used


class ProtocolError(ValueError):
    """Received data cannot be used; `reason` is the code, the text says what is wrong."""

    def __init__(self, reason, text):
        super().__init__(text)
        self.reason = reason


class InvalidMessageError(ProtocolError):
    """One message cannot be used; later messages on the same connection can."""
