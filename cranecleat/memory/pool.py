"""Buffers of one size, used again, and what a connection has read by half."""


class PoolExhaustedError(Exception):
    """Every buffer is in use."""


class BufferPool:
    def __init__(self, size, max_buffers):
        self.size, self.max_buffers = size, max_buffers  # bytes of a buffer; buffers that may be out at once
        self.free, self.in_use = [], 0

    def take(self):
        if self.in_use >= self.max_buffers:
            raise PoolExhaustedError
        self.in_use += 1
        return self.free.pop() if self.free else bytearray(self.size)

    def give(self, buffers):
        self.in_use -= len(buffers)
        self.free.extend(buffers)


class ReceiveBuffer:
    """The unread bytes of one connection, in buffers of the pool: none where nothing is unread."""

    def __init__(self, pool):
        self.pool, self.buffers, self.filled = pool, [], 0

    def writable(self):
        """Where the next bytes go."""
        offset = self.filled - self.pool.size * (len(self.buffers) - 1)
        if not self.buffers or offset == self.pool.size:
            self.buffers.append(self.pool.take())
            offset = 0
        return memoryview(self.buffers[-1])[offset:]

    def last_received(self, count):
        """The last `count` bytes: one read never spans two buffers."""
        end = self.filled - self.pool.size * (len(self.buffers) - 1)
        return bytes(memoryview(self.buffers[-1])[end - count : end])

    def peek(self, most):
        return bytes(memoryview(self.buffers[0])[: min(most, self.filled)]) if self.buffers else b""

    def unread(self):
        return self.last_received(self.filled) if len(self.buffers) == 1 else b"".join(self.buffers)[: self.filled]

    def retain(self, rest):
        """What is left of the unread bytes after some were used: never more than before."""
        size = self.pool.size
        for number, start in enumerate(range(0, len(rest), size)):
            piece = rest[start : start + size]
            self.buffers[number][: len(piece)] = piece
        needed = -(-len(rest) // size)
        self.pool.give(self.buffers[needed:])
        del self.buffers[needed:]
        self.filled = len(rest)
