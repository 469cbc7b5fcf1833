"""Why a connection ended: the code in its log line. docs/operators/oncall.md says what to do about each."""

from enum import StrEnum


class Reason(StrEnum):
    """The reason for which a connection ended, or a message could not be used. The values appear in the log."""

    CLOSED = "closed"  # the peer closed it
    RESET = "reset"  # the connection failed
    REPLACED = "replaced"  # the same proxy has opened a newer stream, or a newer watch is in use
    STOPPING = "stopping"  # the coordinator stops
    MUTE = "mute"  # it did not identify itself in time
    CROWDED = "crowded"  # unidentified connections or collectors used up their share of the descriptors
    SILENT = "silent"  # a watch without heartbeats
    UNREAD = "unread"  # the peer left too much unread
    TOO_LONG = "too_long"  # a message over the limit, or one without an end
    HALF_READ = "half_read"  # all buffers for partly received messages were in use
    UNREADABLE = "unreadable"  # not a message of this protocol
    BAD_FIGURE = "bad_figure"  # a number that is malformed or out of range
    UNKNOWN_NAME = "unknown_name"  # a zone, route or proxy that this deployment does not have
    OUT_OF_PLACE = "out_of_place"  # a message that this connection may not send, or not at this time
    REFUSED = "refused"  # the connection to discovery could not be opened
    BAD_ANSWER = "bad_answer"  # discovery's HTTP response could not be parsed
    BAD_LIST = "bad_list"  # discovery's list could not be used


class ProtocolError(ValueError):
    """Received data cannot be used; `reason` is the code, the text says what is wrong."""

    def __init__(self, reason, text):
        super().__init__(text)
        self.reason = reason


class InvalidMessageError(ProtocolError):
    """One message cannot be used; later messages on the same connection can."""
