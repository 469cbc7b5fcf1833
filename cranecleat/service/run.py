"""Start and stop of one coordinator."""

import asyncio
import gc
import os
import signal
import sys
import time

from cranecleat.decoding import MalformedError
from cranecleat.protocol.connections import Listener
from cranecleat.service.clock import Clock
from cranecleat.service.coordinator import Coordinator
from cranecleat.service.logs import open_log
from cranecleat.service.start import operator, read, reread

STOPPED, FAILED, CANNOT_START = 0, 1, 2  # exit codes
HEARD = signal.SIGTERM, signal.SIGINT, signal.SIGHUP  # outside of the loop's life they would end it with another code


async def serve(configuration, log, switched=None):
    """Runs until a signal or a failure of the planner; returns the exit code. `switched`: the operator's file, read."""
    loop, where = asyncio.get_running_loop(), ":".join(map(str, configuration.listen))
    ended = loop.create_future()

    def end(code):
        if not ended.done():
            ended.set_result(code)

    def failed(failure):
        log.error("planner_failed", exc_info=failure)
        end(FAILED)

    def stopped(number):
        log.info("stopping", signal=signal.Signals(number).name)
        end(STOPPED)

    def reloaded():
        try:
            configuration, switched = reread(os.environ), operator(os.environ, coordinator.configuration.name)
            coordinator.follow(configuration)
            if courier and switched and switched.gossip:
                courier.reload(switched.gossip)
        except MalformedError as wrong:
            log.error("reload_failed", says=str(wrong))

    def internal(_, context):
        log.error("internal", says=context["message"], exc_info=context.get("exception"))

    loop.set_exception_handler(internal)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped, number)
    coordinator = Coordinator(configuration, Clock(loop, time.time()), log, failed)
    courier = None
    if switched and switched.gossip:
        from cranecleat.gossip.shell import (
            GossipTransport,  # with its keys it costs some MB: only where it is switched on
        )

        courier = GossipTransport(coordinator, switched.gossip)
    if switched and switched.files:
        from cranecleat.files.front import CombinedWriter, FilesTransport

        front = FilesTransport(coordinator, switched.files)
        coordinator.through_files(front, CombinedWriter(coordinator.streams, front.ledger))
    loop.add_signal_handler(signal.SIGHUP, reloaded)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HEARD)
    coordinator.start()
    try:
        listener = Listener(coordinator, configuration.listen)
    except OSError as failure:
        raise MalformedError(f"cannot listen on {where}: {failure.strerror}") from None
    coordinator.registry.dial()
    if courier:
        await courier.open()
    if coordinator.files:
        coordinator.files.poll()
    gc.freeze()
    log.info("serving", listen=where, backends=len(coordinator.names.index))
    code = await ended
    listener.close()
    for part in filter(None, (courier, coordinator.files)):
        part.close()
    coordinator.stop()
    await listener.settle()
    await asyncio.sleep(0)  # lets the connections log their ends
    signal.pthread_sigmask(signal.SIG_BLOCK, HEARD)
    log.info("stopped", code=code, longest_round_us=coordinator.longest)
    return code


def main():
    signal.pthread_sigmask(signal.SIG_BLOCK, HEARD)  # what comes this early waits until it can be heard
    try:
        configuration = read(os.environ)
        return asyncio.run(serve(configuration, open_log(configuration.name), operator(os.environ, configuration.name)))
    except MalformedError as wrong:
        print(f"cranecleat: {wrong}", file=sys.stderr)
        return CANNOT_START
