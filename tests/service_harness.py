"""The real `serve` in this process, on real loopback sockets, with a loop that goes on only when a test steps it.

What a test does between two steps has happened before the next one: an order of events that luck brings about once in a
thousand starts is forced each time. Time passes only by `pass_by`."""

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


class Loop(asyncio.SelectorEventLoop):
    """Its clock is the test's, and it never waits: what is ready is done, what is due waits to be told."""

    def __init__(self):
        self.seconds = 1000.0
        super().__init__(Unwaiting())

    def time(self):
        return self.seconds

    def step(self):
        self.call_soon(self.stop)
        self.run_forever()

    async def getaddrinfo(self, *asked, **how):
        """Without the thread that the loop would ask, which takes real time."""
        return socket.getaddrinfo(*asked, **how)

    def next_due(self):
        return min((timer.when() for timer in self._scheduled if not timer.cancelled()), default=None)


class Unwaiting(selectors.DefaultSelector):
    def select(self, timeout=None):
        return super().select(0)


class Log:
    """Log lines as (event, fields). `on(event, act)`: `act` is called from within the first such line."""

    def __init__(self):
        self.lines, self.acts = [], {}

    def on(self, event, act):
        self.acts[event] = act

    def say(self, event, **fields):
        self.lines.append((event, {key: value for key, value in fields.items() if value is not None}))
        self.acts.pop(event, lambda: None)()

    info = warning = error = say

    def events(self, event):
        return [fields for name, fields in self.lines if name == event]


class ServiceHarness:
    WAIT = 20  # seconds of real time for anything at all: only what never comes takes them

    def __init__(self, folder, monkeypatch, **changes):
        self.service, self.patch = CoordinatorProcess(folder, **changes), monkeypatch
        self.service.registry.setblocking(False)
        self.log, self.loop, self.coordinator, self.listener = Log(), Loop(), None, None

    def __enter__(self):
        for name, kept in (("Coordinator", "coordinator"), ("Listener", "listener")):
            made = getattr(run, name)
            self.patch.setattr(run, name, lambda *given, made=made, kept=kept: self.keep(kept, made(*given)))
        self.masked = signal.pthread_sigmask(signal.SIG_BLOCK, ())
        self.write(self.service.configuration)
        self.patch.setenv("BALANCER_CONFIG", str(self.service.path))
        asyncio.set_event_loop(self.loop)
        self.task = self.loop.create_task(
            run.serve(read_configuration({"BALANCER_CONFIG": str(self.service.path)}), self.log)
        )
        self.until(lambda: self.log.events("serving") or self.task.done())
        return self

    def keep(self, name, made):
        setattr(self, name, made)
        return made

    def __exit__(self, *_):
        if not self.task.done():
            self.task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                self.loop.run_until_complete(self.task)
        if self.listener and self.listener.socket.fileno() >= 0:
            self.listener.close()
        for one in list(self.coordinator.connections):
            one.transport.abort()
        for _ in range(3):
            self.loop.step()
        asyncio.set_event_loop(None)
        self.loop.close()
        signal.pthread_sigmask(signal.SIG_SETMASK, self.masked)
        self.service.__exit__()

    def write(self, told):
        self.service.path.write_text(told if isinstance(told, str) else json.dumps(told))

    # What passes

    def until(self, seen):
        """Steps until `seen` returns something; returns it. No time passes."""
        deadline = time.monotonic() + self.WAIT
        while not (found := seen()):
            assert time.monotonic() < deadline, f"never came; the log: {self.log.lines[-9:]}"
            self.loop.step()
        return found

    def still(self):
        """Steps until nothing is ready any more: what was sent on loopback has arrived by then."""
        for _ in range(12):
            self.loop.step()

    def pass_by(self, seconds):
        """Time goes from one due time to the next, and all that is ready is done at each."""
        end = self.loop.seconds + seconds
        self.still()
        while (due := self.loop.next_due()) is not None and due <= end:
            self.loop.seconds = max(due, self.loop.seconds)
            self.still()
        self.loop.seconds = end
        self.still()

    def signal(self, number):
        signal.raise_signal(number)
        self.still()

    def reload(self, **changes):
        self.service.configuration.update(changes)
        self.write(self.service.configuration)
        self.signal(signal.SIGHUP)

    # Who speaks with it

    def dial(self, *messages):
        dialled = socket.create_connection(self.service.address, timeout=self.WAIT)
        self.service.sockets.append(dialled)
        dialled.setblocking(False)
        dialled.sendall("".join(message + "\r\n" for message in messages).encode())
        return dialled

    def taken(self, listening=None):
        """The next watch at discovery, and the first line of what it asked for; None where nobody dials."""
        try:
            watch, _ = (listening or self.service.registry).accept()
        except BlockingIOError:
            return None
        self.service.sockets.append(watch)
        watch.setblocking(False)
        return watch, self.until(lambda: self.got(watch)).split("\r\n")[0]

    def watch(self, listening=None):
        """The next watch; some time passes, as nobody answers in the very instant."""
        found = self.until(lambda: self.taken(listening))
        self.pass_by(0.01)
        return found

    def dials(self, seconds, listening=None):
        """Who dials discovery within that time."""
        end, found = self.loop.seconds + seconds, []
        while True:
            self.still()
            while one := self.taken(listening):
                found.append(one)
            due = self.loop.next_due()
            if due is None or due > end:
                break
            self.loop.seconds = max(due, self.loop.seconds)
        self.loop.seconds = end
        return found

    @staticmethod
    def got(dialled):
        """What has come: text, "" where nothing has, None where the connection has ended."""
        text = b""
        try:
            while piece := dialled.recv(65536):
                text += piece
        except BlockingIOError:
            return text.decode()
        except ConnectionResetError:
            pass
        return text.decode() or None
