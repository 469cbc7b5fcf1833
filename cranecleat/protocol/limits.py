"""Every wait and limit of the network itself, each with its reason. None of them decides anything about calls."""

from cranecleat.decoding import US_PER_SECOND

# Messages
MESSAGE = 1 << 20  # bytes in a message, in either direction, as PROTOCOL states
PARTS = 64  # lines that one message to a proxy may be split into, as PROTOCOL states
LARGEST = 1e9  # of any figure: far beyond what a day can hold, far under what overflows
MAX_HTTP_HEAD_BYTES = 1 << 14  # bytes of an answer's status line and headers, of a chunk's size line, of trailers
LIST = 1 << 22  # bytes of one entry of the watch: a list of some ten thousand backends

# What reports can say
COVERED = 120  # cycles that one may cover at the most: far more than any lateness of reports
LATENESS = 4  # of the longest time limit: no answer takes longer, as its client has long given up
SURGE = 30  # times what all joined proxies call typical: no burst, no repeats and no dead neighbours come to that
LOADED = 4  # of a backend's CPU: a report is noisy, but no machine is that busy

# Memory
BUFFER = 1 << 14  # bytes of a pooled buffer: many reports, or a joining with room to spare
HALF_READ = 1 / 16  # of the memory limit may hold half-read messages
UNREAD = 128 << 10  # bytes that a party may leave unread, as PROTOCOL states

# Who dials in
MUTE = (
    2 * US_PER_SECOND
)  # for a joining, from the connection on: time for one in pieces, and a second less than it may take
LOG_SUMMARY_INTERVAL_US = 5 * US_PER_SECOND  # spoilt messages are logged in sums this often
SHARE = 1 / 4  # of the descriptors may belong to strangers, and as many to collectors
SPARE = 1 / 8  # of the descriptors is kept free: for what is being closed, and for discovery
BACKLOG = 1024  # connections that may wait to be taken: all proxies after another coordinator's death, and strangers
AT_ONCE = 16  # connections taken in a turn of the loop, fewer than are spared
PAUSE = US_PER_SECOND // 20  # without a descriptor, nor a stranger that could give one

# Discovery
PULSE = 2 * US_PER_SECOND  # a watch brings an empty line this often
QUIET = PULSE * 3 // 2  # without one for this long it is dialled anew, well within the 6 s that PROTOCOL allows
PROMPT = US_PER_SECOND  # for the first answer of a watch, which the agent gives at once; two such waits fit in as well
LAG = 6 * US_PER_SECOND  # an agent may be that far behind, as PROTOCOL states
DIAL = US_PER_SECOND // 2  # for a dial on one's own machine, where an answer is there at once or not at all
FIRST_WAIT, LONGEST_WAIT = (
    US_PER_SECOND // 20,
    US_PER_SECOND,
)  # between dials: doubled each time, with half of it left to chance
