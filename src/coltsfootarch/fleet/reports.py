"""Reports between hosts about their load, rate limit usage and upstreams."""

from __future__ import annotations

import contextlib
import socket
from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import Protocol

import gevent
import gevent.event
import msgspec
import structlog
from gevent import socket as gevent_socket

from coltsfootarch.fleet import upstreams  # noqa: TC001  Needed to decode.
from coltsfootarch.http1 import client

if TYPE_CHECKING:
    from coltsfootarch import clock as clocks
    from coltsfootarch.fleet import hosts

PROTOCOL_VERSION = 1
# Interval of reports among few hosts. Loads change within tens of milliseconds;
# a view of this age still distinguishes an empty engine from a full one.
INTERVAL_S = 0.1
# With more peers the interval grows, so that a host sends at most this many
# datagrams per second, up to the longest interval below.
MAX_DATAGRAMS_PER_S = 80.0
MAX_INTERVAL_S = 0.5
# Delay of an early report, in which further important changes are collected.
URGENT_DELAY_S = 0.06
MAX_DATAGRAM_BYTES = 60000
# Pause between two batches of received datagrams, and the size of a batch.
BATCH_INTERVAL_S = 0.03
MAX_BATCH = 500

logger = structlog.get_logger(__name__)


class Report(NamedTuple):
    """State of one host, sent to its peers as a MessagePack array of fields.

    Attributes:
        version: Version of this format.
        host: Name of the sender.
        incarnation: Unix time of its start in milliseconds.
        sequence: Sequence number of this report in the incarnation.
        loads: Upstream id, number of requests in progress, their tokens.
        usage: Client account, tokens admitted from the start until the last
            few seconds, tokens admitted since the start.
        breaks: Request digest, number of connections that broke while it ran.
        failures: Upstream id, number of failed requests since the start.
        refusing: Ids of upstreams that refuse requests at present.
        waiting: Service, number of requests that wait for its engines.
        directory: Digest of the registered upstreams.
        directory_age_ms: Time since they were read from the table service; -1
            if that is not reported.
        directory_revision: Revision of the table service at that read.
        directory_base: Digest before the last change.
        directory_changed: Upstreams that this change added or replaced.
        directory_removed: Ids of upstreams that this change removed.
        refused: Digests of requests recently refused for lack of capacity.
        crashed_parts: Service, shared parts of a prompt, engines that crashed
            before requests with these parts generated, milliseconds since the
            last of the crashes.
        sound_parts: Service, part of a prompt on which engines crashed,
            milliseconds since a request with it last generated on this host.
    """

    version: int
    host: str
    incarnation: int
    sequence: int
    loads: list[tuple[str, int, int]]
    usage: list[tuple[str, int, int]]
    breaks: list[tuple[str, int]]
    failures: list[tuple[str, int]]
    refusing: list[str]
    waiting: list[tuple[str, int]]
    directory: int = 0
    directory_age_ms: int = -1
    directory_revision: int = 0
    directory_base: int = 0
    directory_changed: tuple[upstreams.Upstream, ...] = ()
    directory_removed: tuple[str, ...] = ()
    refused: tuple[str, ...] = ()
    crashed_parts: tuple[
        tuple[str, tuple[str, ...], tuple[str, ...], int], ...
    ] = ()
    sound_parts: tuple[tuple[str, str, int], ...] = ()


# Fields that reports leave out if they and all later ones are empty. Hosts of
# builds that don't know them can decode such reports.
OPTIONAL_FIELDS = ("crashed_parts", "sound_parts")


def empty_report(host: str, incarnation: int, sequence: int) -> Report:
    """Returns an empty report to which participants add their state."""
    return Report(
        PROTOCOL_VERSION, host, incarnation, sequence, [], [], [], [], [], []
    )


def encode(report: Report) -> bytes:
    """Returns a report as it is sent, without empty optional fields."""
    end = len(report)
    for name in reversed(OPTIONAL_FIELDS):
        if getattr(report, name):
            break
        end -= 1
    return msgspec.msgpack.encode(tuple(report)[:end])


DECODER = msgspec.msgpack.Decoder(Report)


def decode(data: bytes) -> Report:
    """Returns a received report.

    Raises:
        msgspec.DecodeError: The bytes are not a report.
    """
    return DECODER.decode(data)


class Participant(Protocol):
    """Component of the host that exchanges state through reports."""

    def add_to_report(self, report: Report) -> Report:
        """Returns a report with this host's state added."""

    def apply_report(self, report: Report, continuous: bool) -> None:
        """Merges the state of a peer.

        Args:
            report: The peer's report.
            continuous: Whether the peer was reachable ever since its previous
                report and has not restarted.
        """


class ReportExchange:
    """Sends reports to all hosts over UDP and receives theirs.

    UDP has no connections that could stall, and a lost report is made up for by
    the next one, since reports carry totals.

    Args:
        directory: Directory of the other hosts.
        participants: Components whose state is reported.
        clock: Source of time.
    """

    def __init__(
        self,
        directory: hosts.HostDirectory,
        participants: list[Participant],
        clock: clocks.Clock,
    ) -> None:
        self.directory = directory
        self.participants = participants
        self.clock = clock
        self.sequence = 0
        self.last_received: dict[str, tuple[int, int]] = {}
        self.sock: gevent_socket.socket | None = None
        self.greenlets: list[gevent.Greenlet] = []
        self.undecodable = 0
        self.early_report = gevent.event.Event()

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

    def interval(self) -> float:
        """Returns the seconds between two reports."""
        needed = len(self.directory.peers) / MAX_DATAGRAMS_PER_S
        return min(max(INTERVAL_S, needed), MAX_INTERVAL_S)

    def send_all(self) -> None:
        """Sends reports until the greenlet is killed."""
        while True:
            self.send()
            if self.early_report.wait(self.interval()):
                # Changes within this delay share one report.
                gevent.sleep(URGENT_DELAY_S)
                self.early_report.clear()

    def send_soon(self) -> None:
        """Sends the next report early, after an important change."""
        self.early_report.set()

    def send(self) -> None:
        """Sends a report to each peer."""
        if self.sock is None or not self.directory.peers:
            return
        data = self.encode()
        for peer in self.directory.peers.values():
            address = client.split_address(peer.record.address)
            # A full socket buffer may drop the report, as the network may.
            with contextlib.suppress(OSError):
                self.sock.sendto(data, address)

    def encode(self) -> bytes:
        """Returns a new report of this host's state, encoded."""
        self.sequence += 1
        own = self.directory.own
        report = empty_report(own.name, own.incarnation, self.sequence)
        for participant in self.participants:
            report = participant.add_to_report(report)
        return encode(report)

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
            report = decode(data)
        except msgspec.DecodeError:
            self.undecodable += 1
            return
        if (
            report.version != PROTOCOL_VERSION
            or report.host == self.directory.own.name
        ):
            return
        previous = self.last_received.get(report.host)
        current = (report.incarnation, report.sequence)
        peer = self.directory.peers.get(report.host)
        reachable = peer is not None and self.directory.is_reachable(peer)
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
        self.directory.record_report(report.host, address, report.incarnation)
        for participant in self.participants:
            participant.apply_report(report, continuous)
