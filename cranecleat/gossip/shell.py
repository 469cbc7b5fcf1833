"""The UDP side of gossip: one socket, one timer step, one status file. Everything that is decided stands in `agent`."""

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

STATUS = 1_000_000  # microseconds between two status files
TOLD = 1_000_000  # and between two words to the planner of the same claims: it halves what is not said again


def signer_of(section):
    """The coordinator's own key; it has to be one of those that the roster gives for it."""
    try:
        signer = Signer(read_key_file(section.key))
    except KeyFileError as wrong:
        raise MalformedError(str(wrong)) from None
    mine = next(member for member in section.members if member.name == section.me)
    if signer.public not in mine.keys:
        raise MalformedError(
            f"{section.key}: not a key that the roster gives for {section.me}; "
            f"put the line of `cranecleat keys show {section.key}` there"
        )
    return signer


def roster_of(section):
    try:
        return Roster(section.group, section.me, section.members)
    except RosterError as wrong:
        raise MalformedError(str(wrong)) from None


class GossipTransport(asyncio.DatagramProtocol):
    """Carries an agent's datagrams. A coordinator without peers has none of this."""

    def __init__(self, coordinator, section):
        self.coordinator, self.section, self.transport = coordinator, section, None
        self.agent = Agent(
            roster_of(section),
            signer_of(section),
            coordinator.configuration.seed,
            int(time.time()),
            coordinator.clock.now(),
            rate=section.rate,
        )
        self.bridge = Bridge(coordinator.planner, coordinator.names)
        self.next_status = self.next_told = coordinator.clock.now()
        self.claimed = self.armed = False
        self.unwritten = None  # why the status file could not be written, said once

    async def open(self):
        host, port = self.section.listen
        loop = asyncio.get_running_loop()
        try:
            await loop.create_datagram_endpoint(
                lambda: self, (host, port), family=socket.AF_INET6 if ":" in host else socket.AF_INET
            )
        except OSError as failure:
            raise MalformedError(f"gossip cannot listen on {host}:{port}: {failure.strerror}") from None
        self.coordinator.log.info(
            "gossip_open", listen=f"{host}:{port}", members=len(self.agent.roster.members), life=self.agent.life
        )
        self.step()

    def connection_made(self, transport):
        self.transport = transport

    def error_received(self, failure):
        self.coordinator.log_aggregated("gossip_unsent", detail=failure.strerror)

    def send(self, datagrams):
        if self.transport and not self.transport.is_closing():
            for address, data in datagrams:
                self.transport.sendto(data, address)

    def datagram_received(self, data, address):
        before = self.agent.refused.total()
        self.send(self.agent.received(self.coordinator.clock.now(), time.time(), data, address[:2]))
        if self.agent.refused.total() > before:
            self.coordinator.log_aggregated("gossip_refused", detail=f"from {address[0]}:{address[1]}")

    def step(self):
        """All that is due, and the timer for what comes next."""
        if self.transport.is_closing():
            return
        now = self.coordinator.clock.now()
        self.agent.observe(now, self.bridge.missing_answers())
        self.send(self.agent.tick(now, time.time()))
        self.tell(now)
        for event, who, what in self.agent.events:
            self.coordinator.log.info(f"gossip_{event}", who=who, what=what)
        self.agent.events.clear()
        if now >= self.next_status:
            self.next_status = now + STATUS
            self.write_status(now)
        self.coordinator.clock.call_at(max(self.agent.due(), now + 1000), self.step)

    def tell(self, now):
        """What others miss goes to the planner: at once where it is new, then once a cycle."""
        pooled = self.agent.pooled(now)
        if pooled and (now >= self.next_told or not self.claimed) or self.claimed and not pooled:
            self.next_told = now + TOLD
            self.claimed = bool(pooled)
            for call in self.bridge.events(pooled):
                self.coordinator.queue_event(call)

    def write_status(self, now):
        """Replaced whole, so that who reads it never sees half of one. Its failing holds nothing else up."""
        if not self.section.status:
            return
        path = self.section.status
        try:
            with open(f"{path}.new", "w", encoding="utf-8") as file:
                json.dump({"at": round(time.time(), 3), **self.agent.figures(now)}, file)
            os.replace(f"{path}.new", path)
            self.unwritten = None
        except OSError as failure:
            if self.unwritten != failure.strerror:
                self.coordinator.log.warning("gossip_no_status", path=str(path), says=failure.strerror)
            self.unwritten = failure.strerror

    def reload(self, section):
        """The operator's file anew: keys and roster change in service. Where it listens does not."""
        roster, signer = roster_of(section), signer_of(section)
        self.agent.update_roster(roster, signer, self.coordinator.clock.now())
        kept = [
            name for name in ("group", "listen", "me", "rate") if getattr(section, name) != getattr(self.section, name)
        ]
        self.section = section
        self.coordinator.log.info("gossip_reloaded", members=len(roster.members), kept=",".join(kept) or None)

    def close(self):
        if self.transport and not self.transport.is_closing():
            self.send(self.agent.leave(self.coordinator.clock.now()))
            self.transport.close()
