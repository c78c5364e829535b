"""Sends this host's state to the other hosts and receives theirs, over UDP."""

from __future__ import annotations

import contextlib
import random
import socket
from typing import TYPE_CHECKING

import gevent
import gevent.event
import msgspec
import structlog
from gevent import socket as gevent_socket

from coltsfootarch.fleet import envelopes
from coltsfootarch.fleet import hosts
from coltsfootarch.fleet import relayed
from coltsfootarch.fleet import reports
from coltsfootarch.http1 import client

if TYPE_CHECKING:
    from coltsfootarch import clock as clocks

# Interval of direct reports. Loads change within tens of milliseconds;
# a view of this age still distinguishes an empty engine from a full one.
INTERVAL_S = 0.1
# Delay of an early report, in which further important changes are collected.
URGENT_DELAY_S = 0.06
MAX_DATAGRAM_BYTES = 60000
# Pause between two batches of received datagrams, and the size of a batch.
BATCH_INTERVAL_S = 0.03
MAX_BATCH = 500

# Probes to a host that reports directly. One that knows relays answers, unless
# all of them are lost.
MAX_PROBES = 4

logger = structlog.get_logger(__name__)


class NoConfirmations:
    """No policy; implements `relayed.PolicyConfirmations`."""

    def version(self) -> int:
        """Returns -1, for no policy."""
        return -1

    def age(self) -> float:
        """Returns an unlimited age."""
        return float("inf")

    def confirm_passed(
        self, version: int, at: float, epoch: int = 0, digest: int = 0
    ) -> None:
        """Ignores a confirmation."""


class ReportExchange:
    """Sends reports to other hosts over UDP and receives theirs.

    UDP has no connections that could stall, and a lost report is made up for by
    the next one, since reports carry totals. A small fleet exchanges reports
    directly; a large one through relays. Hosts that report directly, such as
    those of earlier builds, get direct reports in a large fleet too.

    Args:
        directory: Directory of the other hosts.
        participants: Components whose state is reported.
        clock: Source of time.
        confirmations: Policy whose confirmation is passed on; None for none.
        generator: Source of randomness; a new one if not given.

    Attributes:
        relayed: This host's part in the exchange through relays.
        direct_heard_at: Instant of the last direct report by host.
        probes: Incarnation of a host that reports directly, and number of
            probes sent to find out whether it knows relays.
        counts: Numbers of messages and bytes of both ways.
    """

    def __init__(
        self,
        directory: hosts.HostDirectory,
        participants: list[reports.Participant],
        clock: clocks.Clock,
        confirmations: relayed.PolicyConfirmations | None = None,
        generator: random.Random | None = None,
    ) -> None:
        self.directory = directory
        self.participants = participants
        self.clock = clock
        self.sequence = 0
        self.last_received: dict[str, tuple[int, int]] = {}
        self.direct_heard_at: dict[str, float] = {}
        self.probes: dict[str, tuple[int, int]] = {}
        self.sock: gevent_socket.socket | None = None
        self.greenlets: list[gevent.Greenlet] = []
        self.undecodable = 0
        self.early_report = gevent.event.Event()
        self.relayed = relayed.RelayedExchange(
            directory,
            clock,
            self.make_report,
            self.apply_report,
            self.send_datagram,
            confirmations or NoConfirmations(),
            self.needs_direct,
            generator or random.Random(),
        )
        self.counts = self.relayed.counts

    def start(self) -> None:
        """Binds the socket; starts to send and receive reports."""
        sock = gevent_socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind(client.split_address(self.directory.own.address))
        self.sock = sock
        self.greenlets = [
            gevent.spawn(self.receive_all, sock),
            gevent.spawn(self.send_all),
        ]

    def close(self) -> None:
        """Stops sending and receiving."""
        for greenlet in self.greenlets:
            greenlet.kill()
        self.greenlets = []
        if self.sock is not None:
            self.sock.close()
            self.sock = None

    def hears_directly(self, name: str) -> bool:
        """Returns whether a host has sent direct reports recently."""
        heard_at = self.direct_heard_at.get(name)
        return (
            heard_at is not None
            and self.clock.monotonic() - heard_at <= hosts.REPORT_TIMEOUT_S
        )

    def needs_direct(self, name: str) -> bool:
        """Returns whether a host reports directly and doesn't know relays.

        It is of an earlier build.
        """
        if not self.hears_directly(name):
            return False
        incarnation, _ = self.last_received[name]
        known = self.relayed.latest.get(name)
        return known is None or known.envelope.incarnation != incarnation

    def probe_direct(self, name: str) -> None:
        """Asks a host that reports directly whether it knows relays."""
        incarnation, _ = self.last_received[name]
        known, count = self.probes.get(name, (incarnation, 0))
        if known != incarnation:
            count = 0
        if count < MAX_PROBES:
            self.probes[name] = (incarnation, count + 1)
            self.relayed.send(name, envelopes.Kind.PROBE)

    def interval(self) -> float:
        """Returns the seconds between two reports."""
        if self.directory.is_large():
            return relayed.tick_s(self.directory.count())
        return INTERVAL_S

    def send_all(self) -> None:
        """Sends reports until the greenlet is killed."""
        while True:
            try:
                self.send()
            except Exception:
                logger.exception("sending of reports failed unexpectedly")
            self.wait_until_due()

    def wait_until_due(self) -> None:
        """Waits for the next interval or an important change.

        A relay sends to many hosts, so that its own changes wait.
        """
        if self.relayed.choice.relaying:
            gevent.sleep(self.interval())
            self.early_report.clear()
        elif self.early_report.wait(self.interval()):
            # Changes within this delay share one report.
            gevent.sleep(URGENT_DELAY_S)
            self.early_report.clear()

    def send_soon(self) -> None:
        """Sends the next report early, after an important change."""
        self.early_report.set()

    def send(self) -> None:
        """Sends this host's state to the hosts that need it."""
        if not self.directory.is_large():
            self.relayed.leave()
            self.send_directly(list(self.directory.peers))
            return
        self.relayed.tick()
        direct = list(filter(self.needs_direct, self.directory.peers))
        self.send_directly(direct)
        for name in direct:
            self.probe_direct(name)

    def send_directly(self, names: list[str]) -> None:
        """Sends a report to each of some peers."""
        if not names:
            return
        data = self.encode()
        for name in names:
            record = self.directory.peers[name].record
            self.counts.sent["direct"] += 1
            self.counts.sent_bytes["direct"] += len(data)
            self.send_datagram(data, record.address)

    def send_datagram(self, data: bytes, address: str) -> None:
        """Sends a datagram; it may be lost."""
        if self.sock is None:
            return
        # A full socket buffer may drop the datagram, as the network may.
        with contextlib.suppress(OSError):
            self.sock.sendto(data, client.split_address(address))

    def make_report(self) -> reports.Report:
        """Returns a new report of this host's state."""
        self.sequence += 1
        own = self.directory.own
        report = reports.empty_report(own.name, own.incarnation, self.sequence)
        for participant in self.participants:
            report = participant.add_to_report(report)
        return report

    def apply_report(self, report: reports.Report, continuous: bool) -> None:
        """Merges a report; see `reports.Participant`."""
        for participant in self.participants:
            participant.apply_report(report, continuous)

    def encode(self) -> bytes:
        """Returns a new report of this host's state, encoded."""
        return reports.encode(self.make_report())

    def receive_all(self, sock: gevent_socket.socket) -> None:
        """Receives reports until the greenlet is killed.

        Datagrams are read in batches, since waking up for each of them would
        cost more than reading it.
        """
        while True:
            self.receive_pending(sock)
            gevent.sleep(BATCH_INTERVAL_S)
            try:
                gevent_socket.wait_read(sock.fileno())
            except OSError as error:
                logger.warning("receiving of reports failed", reason=str(error))
                return

    def receive_pending(self, sock: gevent_socket.socket) -> None:
        """Handles one batch of the datagrams that have arrived."""
        for _ in range(MAX_BATCH):
            try:
                # The standard socket inside gevent's is non-blocking.
                data, address = sock._sock.recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError as error:
                # An ICMP error for an earlier datagram: the peer is down.
                logger.debug("report not delivered", reason=str(error))
                continue
            self.receive(data, f"{address[0]}:{address[1]}")

    def receive(self, data: bytes, address: str) -> None:
        """Handles one datagram; drops undecodable and outdated reports.

        Args:
            data: Content of the datagram.
            address: "ip:port" of the sender.
        """
        try:
            if envelopes.is_page(data):
                self.relayed.receive(data, address)
            else:
                self.receive_direct(data, address)
        except Exception:
            # A message must never end the receiving of others.
            self.counts.dropped["error"] += 1
            logger.exception("report not applied", address=address)

    def receive_direct(self, data: bytes, address: str) -> None:
        """Handles a direct report; see `receive`."""
        try:
            report = reports.decode(data)
        except msgspec.DecodeError:
            self.undecodable += 1
            self.counts.dropped["report"] += 1
            return
        if (
            report.version != reports.PROTOCOL_VERSION
            or report.host == self.directory.own.name
        ):
            return
        self.counts.received["direct"] += 1
        self.counts.received_bytes["direct"] += len(data)
        previous = self.last_received.get(report.host)
        current = (report.incarnation, report.sequence)
        reachable = self.hears_directly(report.host)
        same_incarnation = (
            previous is not None and previous[0] == report.incarnation
        )
        # A host that restarts after its clock was set back has a smaller
        # incarnation. It is accepted once reports of the previous incarnation
        # have stopped.
        if (
            previous is not None
            and current <= previous
            and (same_incarnation or reachable)
        ):
            return
        continuous = reachable and same_incarnation
        self.last_received[report.host] = current
        self.direct_heard_at[report.host] = self.clock.monotonic()
        self.directory.record_report(report.host, address, report.incarnation)
        self.apply_report(report, continuous)
