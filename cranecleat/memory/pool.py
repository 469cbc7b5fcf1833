"""A pool of reusable buffers of one size, and the received bytes of a connection that are not processed yet."""


class PoolExhaustedError(Exception):
    """Every buffer is in use."""


class BufferPool:
    """Hands out buffers of `size` bytes, at most `max_buffers` at a time. Released buffers are kept for later use."""

    def __init__(self, size, max_buffers):
        self.size, self.max_buffers = size, max_buffers
        self.free = []  # buffers to hand out again
        self.in_use = 0  # number of buffers that are handed out

    def acquire(self):
        """Returns a free buffer, or a new one; raises PoolExhaustedError if all are in use."""
        if self.in_use >= self.max_buffers:
            raise PoolExhaustedError
        self.in_use += 1
        return self.free.pop() if self.free else bytearray(self.size)

    def release(self, buffers):
        self.in_use -= len(buffers)
        self.free.extend(buffers)


class ReceiveBuffer:
    """The unprocessed bytes of one connection, in buffers of the pool.

    The owner reads bytes into `writable`, adds their number to `filled`, processes what it can and calls `retain` with
    the rest. It holds no buffer before the first `writable`, nor after `retain(b"")`, which also frees it at the end.
    """

    def __init__(self, pool):
        self.pool = pool
        self.buffers = []  # all full but the last one
        self.filled = 0  # bytes in all of them

    def writable(self):
        """The memory that the next bytes are read into: the free part of the last buffer, or a new buffer."""
        offset = self.filled - self.pool.size * (len(self.buffers) - 1)
        if not self.buffers or offset == self.pool.size:
            self.buffers.append(self.pool.acquire())
            offset = 0
        return memoryview(self.buffers[-1])[offset:]

    def last_received(self, count):
        """The last `count` bytes, of one read. A read never spans two buffers, as it fills one `writable` at most."""
        end = self.filled - self.pool.size * (len(self.buffers) - 1)
        return bytes(memoryview(self.buffers[-1])[end - count : end])

    def peek(self, max_bytes):
        """The first bytes, at most `max_bytes` and those of the first buffer; they stay unprocessed."""
        return bytes(memoryview(self.buffers[0])[: min(max_bytes, self.filled)]) if self.buffers else b""

    def unread(self):
        """All unprocessed bytes."""
        return self.last_received(self.filled) if len(self.buffers) == 1 else b"".join(self.buffers)[: self.filled]

    def retain(self, rest):
        """Keeps only `rest`, the end of the unprocessed bytes, and releases the buffers that are not needed for it."""
        size = self.pool.size
        for number, start in enumerate(range(0, len(rest), size)):
            piece = rest[start : start + size]
            self.buffers[number][: len(piece)] = piece
        needed = -(-len(rest) // size)
        self.pool.release(self.buffers[needed:])
        del self.buffers[needed:]
        self.filled = len(rest)
