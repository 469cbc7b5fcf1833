"""Timeouts and limits of the network protocols, each with its reason. None of them takes part in planning."""

from cranecleat.decoding import US_PER_SECOND

# Messages
MAX_MESSAGE_BYTES = 1 << 20  # the size of one message in either direction, as PROTOCOL states
MAX_MESSAGE_PARTS = 64  # lines into which one message to a proxy may be split, as PROTOCOL states
# Fields of one message, and pairs of one load report. A message of the greatest size could otherwise hold so many short
# ones that its parts take more memory than some deployments give.
MAX_FIELDS = 1024
MAX_NUMBER = 1e9  # the largest number in a message: far more than a deployment reaches, far below an overflow
MAX_HTTP_HEAD_BYTES = 1 << 14  # status line and headers of a response; also a chunk's size line, and each trailer
MAX_LIST_BYTES = 1 << 22  # the unfinished line of a watch: enough for a list of some ten thousand backends

# Plausibility of reports
MAX_REPORT_CYCLES = 120  # longest interval of one report, in report intervals: far longer than reports are ever late
# An answer time may be at most this multiple of the longest time limit of a call. No answer takes longer, as the client
# has given up long before.
MAX_ANSWER_TIME_MULTIPLE = 4
# A report may count at most this multiple of one call plus the calls that all joined proxies together have at their
# typical rates in the interval of the report, or in one second if that is longer. Neither bursts nor retries nor the
# calls taken over from failed proxies add up to that much.
MAX_RATE_MULTIPLE = 30
# The largest utilization in a load report, as a multiple of a backend's CPU. These reports are noisy, but no machine is
# that busy.
MAX_CPU_LOAD = 4

# Memory
BUFFER_BYTES = 1 << 14  # a pooled receive buffer: holds many reports, or an attach message with room to spare
# Share of the memory limit for pooled receive buffers, which hold partly received messages. The unfinished line of a
# watch is kept outside these buffers: see `MAX_LIST_BYTES`.
BUFFER_MEMORY_SHARE = 1 / 16
# Bytes for a peer that may wait in this process, beyond those in the kernel's buffers. PROTOCOL states it as the amount
# that a peer may leave unread.
MAX_UNREAD_BYTES = 128 << 10
# Share of the memory limit for such bytes of all peers together. The lines that the planner lets wait take far less.
UNREAD_MEMORY_SHARE = 1 / 8

# Messages of one connection that are handled before other connections have their turn: more than a read of usual
# reports holds, while a read may hold thousands of the shortest messages.
MAX_MESSAGES_PER_TURN = 256

# Incoming connections
# A connection has to identify itself within this time after it was opened. That is enough for an attach message that
# arrives in pieces. An attach may take one second more than this in all.
IDENTIFY_TIMEOUT_US = 2 * US_PER_SECOND
# Time between the log lines that sum up frequent events, such as invalid messages.
LOG_SUMMARY_INTERVAL_US = 5 * US_PER_SECOND
DESCRIPTOR_SHARE = 1 / 4  # largest share of the descriptors for unidentified connections; the same again for collectors
# While the connections take up more than all but this share of the descriptors, unidentified ones except the newest are
# ended. The share is meant for connections that are being closed, and for discovery. Proxies and collectors may still
# use it up.
SPARE_DESCRIPTOR_SHARE = 1 / 8
# Connections that may wait to be accepted: all proxies after the failure of another coordinator, and unidentified ones.
LISTEN_BACKLOG = 1024
# Connections accepted in one iteration of the loop: fewer than the spare descriptors, if the process may use more than
# 128 descriptors.
ACCEPTS_PER_ITERATION = 16
ACCEPT_RETRY_US = US_PER_SECOND // 20  # pause when no descriptor is free and no unidentified connection can be ended

# Discovery
HEARTBEAT_US = 2 * US_PER_SECOND  # a watch sends an empty line this often
# A watch without a heartbeat for this long is ended, and discovery is dialled again. That is well within the 6 s that
# PROTOCOL allows for this.
HEARTBEAT_TIMEOUT_US = HEARTBEAT_US * 3 // 2
# The first bytes on a new watch have to come within this time; the agent sends them at once. Two such timeouts after a
# heartbeat timeout still end within the 6 s.
FIRST_RESPONSE_TIMEOUT_US = US_PER_SECOND
# A discovery agent may be this far behind, as PROTOCOL states. After a failure, this is also the longest time that the
# first line of the next watch may take (see `Watch.check_silence`).
MAX_AGENT_LAG_US = 6 * US_PER_SECOND
CONNECT_TIMEOUT_US = US_PER_SECOND // 2  # discovery's agent is on the same machine: it accepts at once or not at all
# The shortest delay before discovery is dialled again. It is doubled for each failure in a row, the first one included,
# up to MAX_REDIAL_DELAY_US. Up to half of the result is random, so the first delay is 50 to 100 ms.
FIRST_REDIAL_DELAY_US = US_PER_SECOND // 20
MAX_REDIAL_DELAY_US = US_PER_SECOND
