"""Timeouts and limits of the network protocols, each with its reason. None of them takes part in planning."""

from cranecleat.decoding import US_PER_SECOND

# Messages
MAX_MESSAGE_BYTES = 1 << 20  # of one message in either direction, as PROTOCOL states
MAX_MESSAGE_PARTS = 64  # lines into which one message to a proxy may be split, as PROTOCOL states
MAX_NUMBER = 1e9  # of any number in a message: far more than a deployment reaches, far below an overflow
MAX_HTTP_HEAD_BYTES = 1 << 14  # status line and headers of a response; also a chunk's size line, and each trailer
MAX_LIST_BYTES = 1 << 22  # one line of the watch: a list of some ten thousand backends

# Plausibility of reports
MAX_REPORT_CYCLES = 120  # the interval that one report may cover: far longer than reports are ever late
# An answer time may be at most this multiple of the longest time limit of a call. No answer takes longer, as the client
# has given up long before.
MAX_ANSWER_TIME_MULTIPLE = 4
# A report may give at most this multiple of the typical rate of all joined proxies together. Neither bursts nor retries
# nor the load of failed neighbours add up to that much.
MAX_RATE_MULTIPLE = 30
MAX_CPU_LOAD = 4  # multiple of a backend's CPU: load reports are noisy, but no machine is that busy

# Memory
BUFFER_BYTES = 1 << 14  # a pooled receive buffer: holds many reports, or an attach message with room to spare
BUFFER_MEMORY_SHARE = 1 / 16  # share of the memory limit that partly received messages may take up
MAX_UNREAD_BYTES = 128 << 10  # that a peer may leave unread, as PROTOCOL states

# Incoming connections
# A connection has to identify itself within this time after it was opened. That is enough for an attach message that
# arrives in pieces, and one second less than an attach may take.
IDENTIFY_TIMEOUT_US = 2 * US_PER_SECOND
LOG_SUMMARY_INTERVAL_US = 5 * US_PER_SECOND  # between the log lines that sum up frequent events, as invalid messages
DESCRIPTOR_SHARE = 1 / 4  # of the descriptors may belong to unidentified connections, and as many to collectors
SPARE_DESCRIPTOR_SHARE = 1 / 8  # of the descriptors is kept free: for connections being closed, and for discovery
# Connections that may wait to be accepted: all proxies after the failure of another coordinator, and unidentified ones.
LISTEN_BACKLOG = 1024
ACCEPTS_PER_ITERATION = 16  # connections accepted in one iteration of the loop: fewer than the spare descriptors
ACCEPT_RETRY_US = US_PER_SECOND // 20  # pause when no descriptor is free and no unidentified connection can be ended

# Discovery
HEARTBEAT_US = 2 * US_PER_SECOND  # a watch sends an empty line this often
# A watch without a heartbeat for this long is dialled again. That is well within the 6 s that PROTOCOL allows.
HEARTBEAT_TIMEOUT_US = HEARTBEAT_US * 3 // 2
# For the first bytes on a new watch, which the agent sends at once. Two such timeouts fit into the 6 s as well.
FIRST_RESPONSE_TIMEOUT_US = US_PER_SECOND
MAX_AGENT_LAG_US = 6 * US_PER_SECOND  # a discovery agent may be this far behind, as PROTOCOL states
CONNECT_TIMEOUT_US = US_PER_SECOND // 2  # discovery's agent is on the same machine: it accepts at once or not at all
FIRST_REDIAL_DELAY_US = US_PER_SECOND // 20  # doubled with each failure in a row; up to half of a delay is random
MAX_REDIAL_DELAY_US = US_PER_SECOND
