"""Runs the real `serve` in the test's process, on loopback sockets, with an event loop that a test runs step by step.

Whatever a test does between two steps has happened before the next step. That forces orders of events which otherwise
occur once in a thousand runs. Time passes only in `advance` and in `accept_watches_within`."""

import asyncio
import contextlib
import json
import selectors
import signal
import socket
import time

from cranecleat.service import run
from cranecleat.service.start import read_configuration
from planner_harness import CoordinatorProcess

MASKED = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


class SteppedLoop(asyncio.SelectorEventLoop):
    """An event loop with simulated time that never waits: a step runs what is ready, and timers run when the test has
    moved the time to them."""

    def __init__(self):
        self.seconds = 1000.0
        super().__init__(NonBlockingSelector())

    def time(self):
        return self.seconds

    def step(self):
        self.call_soon(self.stop)
        self.run_forever()

    async def getaddrinfo(self, *arguments, **options):
        """Resolves without the loop's thread, which would take real time."""
        return socket.getaddrinfo(*arguments, **options)

    def next_due(self):
        return min((timer.when() for timer in self._scheduled if not timer.cancelled()), default=None)


class NonBlockingSelector(selectors.DefaultSelector):
    def select(self, timeout=None):
        return super().select(0)


class RecordingLog:
    """Keeps log lines as (event, fields). `on(event, callback)`: `callback` is called from within the next such
    line."""

    def __init__(self):
        self.lines, self.callbacks = [], {}

    def on(self, event, callback):
        self.callbacks[event] = callback

    def record(self, event, **fields):
        self.lines.append((event, {key: value for key, value in fields.items() if value is not None}))
        self.callbacks.pop(event, lambda: None)()

    info = warning = error = record

    def events(self, event):
        return [fields for name, fields in self.lines if name == event]


class ServiceHarness:
    """One coordinator in the test's process. The test plays its discovery, its proxies and its collectors."""

    WAIT = 20  # seconds of real time until a test fails: far more than any event takes

    def __init__(self, folder, monkeypatch, **changes):
        self.service, self.patch = CoordinatorProcess(folder, **changes), monkeypatch  # never started as a process
        self.service.registry.setblocking(False)
        self.log, self.loop, self.coordinator, self.listener = RecordingLog(), SteppedLoop(), None, None

    def __enter__(self):
        for name, attribute in (("Coordinator", "coordinator"), ("Listener", "listener")):
            create = getattr(run, name)
            self.patch.setattr(
                run, name, lambda *values, create=create, attribute=attribute: self.keep(attribute, create(*values))
            )
        self.masked = signal.pthread_sigmask(signal.SIG_BLOCK, ())
        self.write_configuration(self.service.configuration)
        self.patch.setenv("BALANCER_CONFIG", str(self.service.path))
        asyncio.set_event_loop(self.loop)
        self.task = self.loop.create_task(
            run.serve(read_configuration({"BALANCER_CONFIG": str(self.service.path)}), self.log)
        )
        self.step_until(lambda: self.log.events("serving") or self.task.done())
        return self

    def keep(self, attribute, created):
        setattr(self, attribute, created)
        return created

    def __exit__(self, *_):
        if not self.task.done():
            self.task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                self.loop.run_until_complete(self.task)
        if self.listener and self.listener.socket.fileno() >= 0:
            self.listener.close()
        for connection in list(self.coordinator.connections):
            connection.transport.abort()
        for _ in range(3):
            self.loop.step()
        asyncio.set_event_loop(None)
        self.loop.close()
        signal.pthread_sigmask(signal.SIG_SETMASK, self.masked)
        self.service.__exit__()

    def write_configuration(self, content):
        self.service.path.write_text(content if isinstance(content, str) else json.dumps(content))

    # Steps and time

    def step_until(self, condition):
        """Steps until `condition` returns something true; returns it. No simulated time passes."""
        deadline = time.monotonic() + self.WAIT
        while not (found := condition()):
            assert time.monotonic() < deadline, f"never came; the log: {self.log.lines[-9:]}"
            self.loop.step()
        return found

    def settle(self):
        """Steps until nothing is ready any more. By then, data sent on loopback has arrived."""
        for _ in range(12):
            self.loop.step()

    def advance(self, seconds):
        """Moves the time from one timer to the next, and runs all that is ready at each."""
        end = self.loop.seconds + seconds
        self.settle()
        while (due := self.loop.next_due()) is not None and due <= end:
            self.loop.seconds = max(due, self.loop.seconds)
            self.settle()
        self.loop.seconds = end
        self.settle()

    def signal(self, number):
        signal.raise_signal(number)
        self.settle()

    def reload(self, **changes):
        self.service.configuration.update(changes)
        self.write_configuration(self.service.configuration)
        self.signal(signal.SIGHUP)

    # Peers of the coordinator

    def connect(self, *messages):
        """Connects to the coordinator and sends these messages."""
        connection = socket.create_connection(self.service.address, timeout=self.WAIT)
        self.service.sockets.append(connection)
        connection.setblocking(False)
        connection.sendall("".join(message + "\r\n" for message in messages).encode())
        return connection

    def try_accept_watch(self, listening=None):
        """The next watch at discovery and its request line, or None if the coordinator has not connected."""
        try:
            watch, _ = (listening or self.service.registry).accept()
        except BlockingIOError:
            return None
        self.service.sockets.append(watch)
        watch.setblocking(False)
        return watch, self.step_until(lambda: self.received(watch)).split("\r\n")[0]

    def accept_watch(self, listening=None):
        """The next watch and its request line. A little time passes, as no agent answers without any delay."""
        found = self.step_until(lambda: self.try_accept_watch(listening))
        self.advance(0.01)
        return found

    def accept_watches_within(self, seconds, listening=None):
        """All watches that are opened within that time, with their request lines."""
        end, found = self.loop.seconds + seconds, []
        while True:
            self.settle()
            while watch := self.try_accept_watch(listening):
                found.append(watch)
            due = self.loop.next_due()
            if due is None or due > end:
                break
            self.loop.seconds = max(due, self.loop.seconds)
        self.loop.seconds = end
        return found

    @staticmethod
    def received(connection):
        """What has come since the last call: text, "" if nothing has, None if the connection has ended."""
        text = b""
        try:
            while piece := connection.recv(65536):
                text += piece
        except BlockingIOError:
            return text.decode()
        except ConnectionResetError:
            pass
        return text.decode() or None
