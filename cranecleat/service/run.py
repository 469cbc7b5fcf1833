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
from cranecleat.service.start import load_operator_file, read_configuration, reread_configuration

EXIT_STOPPED = 0
EXIT_FAILED = 1
EXIT_CANNOT_START = 2

# Blocked from the start until `serve` has installed the handlers, and again at the end of `serve`: without the handlers
# they would end the process with another exit code.
HANDLED_SIGNALS = signal.SIGTERM, signal.SIGINT, signal.SIGHUP


async def serve(configuration, log, operator_file=None):
    """Runs until a signal or a failure of the planner, and returns the exit code. `operator_file` is the operator's
    file as read, or None."""
    loop, address = asyncio.get_running_loop(), ":".join(map(str, configuration.listen))
    exit_code = loop.create_future()

    def exit_with(code):
        if not exit_code.done():
            exit_code.set_result(code)

    def planner_failed(failure):
        log.error("planner_failed", exc_info=failure)
        exit_with(EXIT_FAILED)

    def handle_stop_signal(number):
        log.info("stopping", signal=signal.Signals(number).name)
        exit_with(EXIT_STOPPED)

    def handle_reload_signal():
        try:
            new_configuration = reread_configuration(os.environ)
            new_operator_file = load_operator_file(os.environ, coordinator.configuration.name)
            coordinator.reload(new_configuration)
            # Gossip and files are switched on or off only at a start: here such a change is ignored. If gossip refuses
            # its new settings, discovery's new address is in force nevertheless.
            if gossip_transport and new_operator_file and new_operator_file.gossip:
                gossip_transport.reload(new_operator_file.gossip)
        except MalformedError as error:
            log.error("reload_failed", says=str(error))

    def handle_loop_exception(_, context):
        log.error("internal", says=context["message"], exc_info=context.get("exception"))

    loop.set_exception_handler(handle_loop_exception)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, handle_stop_signal, number)
    coordinator = Coordinator(configuration, Clock(loop, time.time()), log, planner_failed)
    gossip_transport = None
    if operator_file and operator_file.gossip:
        # Imported only where gossip is switched on, as the module and its keys take some MB of memory.
        from cranecleat.gossip.shell import GossipTransport

        gossip_transport = GossipTransport(coordinator, operator_file.gossip)
    if operator_file and operator_file.files:
        from cranecleat.files.front import CombinedWriter, FilesTransport

        files_transport = FilesTransport(coordinator, operator_file.files)
        coordinator.use_files_transport(files_transport, CombinedWriter(coordinator.streams, files_transport.ledger))
    loop.add_signal_handler(signal.SIGHUP, handle_reload_signal)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)
    coordinator.start()
    try:
        listener = Listener(coordinator, configuration.listen)
    except OSError as failure:
        raise MalformedError(f"cannot listen on {address}: {failure.strerror}") from None
    coordinator.discovery.dial()
    if gossip_transport:
        await gossip_transport.open()
    if coordinator.files:
        coordinator.files.poll()
    gc.freeze()
    log.info("serving", listen=address, backends=len(coordinator.names.index))
    code = await exit_code
    listener.close()
    for transport in filter(None, (gossip_transport, coordinator.files)):
        transport.close()
    coordinator.stop()
    await listener.wait_for_pending()
    await asyncio.sleep(0)  # one more iteration of the loop, in which the connections log that they have ended
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)
    log.info("stopped", code=code, longest_round_us=coordinator.longest_round)
    return code


def main():
    """Starts the coordinator that the environment describes; returns the exit code."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)  # pending until `serve` has installed the handlers
    try:
        configuration = read_configuration(os.environ)
        return asyncio.run(
            serve(configuration, open_log(configuration.name), load_operator_file(os.environ, configuration.name))
        )
    except MalformedError as error:
        print(f"cranecleat: {error}", file=sys.stderr)
        return EXIT_CANNOT_START
