"""The I/O of gossip: one UDP socket, one timer and one status file. The protocol itself is in `agent`."""

import asyncio
import json
import os
import socket
import time

from cranecleat.decoding import MalformedError
from cranecleat.gossip.agent import Agent
from cranecleat.gossip.bridge import Bridge
from cranecleat.gossip.keys import KeyFileError, read_key_file
from cranecleat.gossip.roster import Roster, RosterError
from cranecleat.gossip.seal import Signer

STATUS_INTERVAL_US = 1_000_000  # between two writes of the status file
# Between two reports of the peers' claims to the planner. Unchanged claims are reported again as well, because the
# planner halves the reported number in each periodic round.
REPORT_INTERVAL_US = 1_000_000


def load_signer(settings):
    """The signer with the coordinator's own key. Raises `MalformedError` if the key file cannot be used, or if the
    roster does not list its key for this coordinator."""
    try:
        signer = Signer(read_key_file(settings.key))
    except KeyFileError as error:
        raise MalformedError(str(error)) from None
    own = next(member for member in settings.members if member.name == settings.me)
    if signer.public not in own.keys:
        raise MalformedError(
            f"{settings.key}: the roster has other keys for {settings.me}; "
            f"put the line of `cranecleat keys show {settings.key}` there"
        )
    return signer


def build_roster(settings):
    """The roster from the settings of the operator's file; raises `MalformedError` if it cannot be used."""
    try:
        return Roster(settings.group, settings.me, settings.members)
    except RosterError as error:
        raise MalformedError(str(error)) from None


class GossipTransport(asyncio.DatagramProtocol):
    """Carries the datagrams of an agent over UDP. It exists only if the operator's file has a section `gossip`."""

    def __init__(self, coordinator, settings):
        self.coordinator = coordinator
        self.settings = settings
        self.transport = None
        self.agent = Agent(
            build_roster(settings),
            load_signer(settings),
            coordinator.configuration.seed,
            int(time.time()),
            coordinator.clock.now(),
            rate=settings.rate,
        )
        self.bridge = Bridge(coordinator.planner, coordinator.names)
        self.next_status_at = self.next_report_at = coordinator.clock.now()
        # `has_reported_claims`: whether the last report to the planner held claims. Nothing reads `armed`.
        self.has_reported_claims = self.armed = False
        self.status_error = None  # why the last write of the status file failed; the same reason is not logged again

    async def open(self):
        """Opens the socket and starts the timer; raises `MalformedError` if the address cannot be used."""
        host, port = self.settings.listen
        loop = asyncio.get_running_loop()
        try:
            await loop.create_datagram_endpoint(
                lambda: self, (host, port), family=socket.AF_INET6 if ":" in host else socket.AF_INET
            )
        except OSError as error:
            raise MalformedError(f"gossip cannot listen on {host}:{port}: {error.strerror}") from None
        self.coordinator.log.info(
            "gossip_open", listen=f"{host}:{port}", members=len(self.agent.roster.members), life=self.agent.life
        )
        self.step()

    def connection_made(self, transport):
        self.transport = transport

    def error_received(self, error):
        self.coordinator.log_aggregated("gossip_unsent", detail=error.strerror)

    def send(self, datagrams):
        if self.transport and not self.transport.is_closing():
            for address, data in datagrams:
                self.transport.sendto(data, address)

    def datagram_received(self, data, address):
        refused_before = self.agent.refused.total()
        self.send(self.agent.received(self.coordinator.clock.now(), time.time(), data, address[:2]))
        if self.agent.refused.total() > refused_before:
            self.coordinator.log_aggregated("gossip_refused", detail=f"from {address[0]}:{address[1]}")

    def step(self):
        """Passes the missing answers to the agent, sends the datagrams that are due, reports to the planner, writes the
        log and the status file, and sets the timer for the next step."""
        if self.transport.is_closing():
            return
        now = self.coordinator.clock.now()
        self.agent.observe(now, self.bridge.missing_answers())
        self.send(self.agent.tick(now, time.time()))
        self.report_to_planner(now)
        for event, who, what in self.agent.events:
            self.coordinator.log.info(f"gossip_{event}", who=who, what=what)
        self.agent.events.clear()
        if now >= self.next_status_at:
            self.next_status_at = now + STATUS_INTERVAL_US
            self.write_status(now)
        self.coordinator.clock.call_at(max(self.agent.due(), now + 1000), self.step)  # not before 1 ms from now

    def report_to_planner(self, now):
        """Reports to the planner how many answers other members miss: at once when claims begin or end, and in between
        once in each interval."""
        pooled = self.agent.pooled(now)
        is_report_due = now >= self.next_report_at or not self.has_reported_claims
        if (pooled and is_report_due) or (self.has_reported_claims and not pooled):
            self.next_report_at = now + REPORT_INTERVAL_US
            self.has_reported_claims = bool(pooled)
            for event in self.bridge.events(pooled):
                self.coordinator.queue_event(event)

    def write_status(self, now):
        """Replaces the status file as a whole, so that a reader never sees a part of one. A failure is logged and stops
        nothing else."""
        if not self.settings.status:
            return
        path = self.settings.status
        try:
            with open(f"{path}.new", "w", encoding="utf-8") as file:
                json.dump({"at": round(time.time(), 3), **self.agent.status(now)}, file)
            os.replace(f"{path}.new", path)
            self.status_error = None
        except OSError as error:
            if self.status_error != error.strerror:
                self.coordinator.log.warning("gossip_no_status", path=str(path), says=error.strerror)
            self.status_error = error.strerror

    def reload(self, settings):
        """Takes the key, the roster, the group, this member's name and the path of the status file from the operator's
        file when it is read again. The address to listen on and the send rate stay those of the start. `kept` in the
        log line names which of group, listen, me and rate differ from the file as it was read before."""
        roster = build_roster(settings)
        signer = load_signer(settings)
        self.agent.update_roster(roster, signer, self.coordinator.clock.now())
        kept = [
            name
            for name in ("group", "listen", "me", "rate")
            if getattr(settings, name) != getattr(self.settings, name)
        ]
        self.settings = settings
        self.coordinator.log.info("gossip_reloaded", members=len(roster.members), kept=",".join(kept) or None)

    def close(self):
        """Announces to the other members that this one leaves, and closes the socket."""
        if self.transport and not self.transport.is_closing():
            self.send(self.agent.leave(self.coordinator.clock.now()))
            self.transport.close()
