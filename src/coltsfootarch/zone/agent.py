"""Runs this host's session, heartbeats and shard leases in its zone."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING
from typing import Any

import gevent
import structlog

from coltsfootarch import errors
from coltsfootarch.protocol import messages
from coltsfootarch.zone import background_task
from coltsfootarch.zone import claims
from coltsfootarch.zone import directory
from coltsfootarch.zone import directory_exchange
from coltsfootarch.zone import membership
from coltsfootarch.zone import session
from coltsfootarch.zone import shards
from coltsfootarch.zone import takeover
from coltsfootarch.zone import timing

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from coltsfootarch import clock
    from coltsfootarch.protocol import network
    from coltsfootarch.storage import tables
    from coltsfootarch.zone import interfaces

log = structlog.get_logger(__name__)


class ZoneAgent:
    """Session, heartbeats, directory and shard leases of one host.

    `tick` must be called several times a second; it never blocks. Calls that
    wait for the store or for peers run in greenlets of their own.

    Args:
        sender: This host.
        tables: The table service.
        network: Network between hosts.
        clock: Source of time.
        shard_count: Returns the number of shards of this zone; 0 while there
            is no configuration.
        config_version: Returns the configuration version in force here.
        confirmed_age: Returns the seconds since the configuration was
            confirmed through the store; negative if never.
        seeds: Returns addresses at which hosts of this zone may run.
        spawn: Runs a function in the background.

    Attributes:
        leases: Shard leases of this host, with listeners for changes.
        holders: Looks up the holders of the shards of all zones.
        session: This host's session.
        membership: Zone peers and the last contacts with them.
        stopping: Whether the host is shutting down.
    """

    def __init__(
        self,
        sender: messages.Sender,
        tables: tables.TableService,
        network: network.PeerNetwork,
        clock: clock.Clock,
        shard_count: Callable[[], int],
        config_version: Callable[[], int],
        confirmed_age: Callable[[], float] = lambda: -1.0,
        seeds: Callable[[], Sequence[str]] = lambda: (),
        spawn: Callable[[Callable[[], None]], Any] = gevent.spawn,
    ) -> None:
        self.sender = sender
        self.network = network
        self.clock = clock
        self.config_version = config_version
        self.confirmed_age = confirmed_age
        self.directory = directory.Directory(
            sender.availability_zone, tables, clock
        )
        self.session = session.Session(
            sender, self.directory, tables, clock, config_version
        )
        self.membership = membership.Membership(
            sender, network, self.directory, clock, seeds
        )
        self.leases = shards.ShardLeases(self.session, self.directory, clock)
        self.claims = claims.ShardClaims(
            sender,
            self.session,
            self.directory,
            self.leases,
            clock,
            shard_count,
        )
        self.takeover_monitor = takeover.TakeoverMonitor(
            sender,
            self.session,
            self.directory,
            self.membership,
            self.claims,
            clock,
        )
        self.holders: interfaces.Holders = self.directory
        self.renewal_task = background_task.BackgroundTask(
            "renewal", self.session.renew, spawn
        )
        self.maintenance_task = background_task.BackgroundTask(
            "maintenance", self.maintain, spawn, quiet=True
        )
        self.heartbeat_task = background_task.BackgroundTask(
            "heartbeat", self.send_heartbeats, spawn
        )
        self.probe_task = background_task.BackgroundTask(
            "probing", self.takeover_monitor.probe, spawn
        )
        self.stopping = False
        self.last_tick_at = -math.inf
        self.last_renewal_at = -math.inf
        self.last_heartbeat_at = -math.inf

    @property
    def newest_config_version(self) -> int:
        """Newest committed configuration version known to this host."""
        return self.directory.newest_config_version

    @property
    def awaited_by_edits(self) -> bool:
        """Whether register edits wait for this host or can't be committed now.

        An edit is accepted once every host with a session in the store has it
        in force. A host that served requests before its first session would
        not be waited for.
        """
        if self.session.confirmed_renewals or self.session.blocked_by:
            return True
        return self.renewal_task.failing

    def start(self) -> None:
        """Registers the message handlers; the first tick opens the session."""
        register = self.network.register
        register(messages.Heartbeat, self.handle_heartbeat)
        register(messages.Probe, self.handle_probe)
        register(messages.DirectoryRequest, self.handle_directory)
        register(messages.IndirectProbe, self.handle_indirect, blocking=True)

    def tick(self) -> None:
        """Starts the tasks that are due; call it at least every 0.5 s."""
        now = self.clock.monotonic()
        if now - self.last_tick_at > timing.MAX_OBSERVER_GAP:
            self.takeover_monitor.reset()
        self.last_tick_at = now
        self.session.record_tick(now)
        self.leases.drop_invalid()
        self.session.extend(now, self.membership.may_extend_session(now))
        if self.session.closed:
            return
        if self.renewal_due(now) and self.renewal_task.start():
            self.last_renewal_at = now
        heartbeat_due = (
            now - self.last_heartbeat_at >= timing.HEARTBEAT_INTERVAL
        )
        if heartbeat_due and self.heartbeat_task.start():
            self.last_heartbeat_at = now
        if self.takeover_monitor.probe_due():
            self.probe_task.start()
        self.maintenance_task.start()

    def renewal_due(self, now: float) -> bool:
        """Returns whether to open or renew the session now.

        A new configuration version is reported without waiting for the renewal
        interval.
        """
        elapsed = now - self.last_renewal_at
        reported = self.session.reported_version
        if self.session.version and reported >= self.config_version():
            return elapsed >= timing.RENEWAL_INTERVAL
        return elapsed >= timing.RENEWAL_RETRY_INTERVAL

    def maintain(self) -> None:
        """Polls the directory, takes over dead hosts and balances shards."""
        if not self.directory.views:
            self.fetch_directory_from_peers()
        self.directory.poll_if_due()
        if self.session.closed or self.stopping:
            return
        self.takeover_monitor.observe()
        self.takeover_monitor.take_over()
        self.claims.balance(self.membership.stopping_hosts())

    def fetch_directory_from_peers(self) -> None:
        """Uses a zone peer's view until this host has read the store.

        Otherwise a host that starts while the store is down could not find the
        ledgers and schedulers of its zone.
        """
        peers = self.membership.zone_peers().values()
        self.directory.views = directory_exchange.fetch_views(
            self.network, peers
        )

    def handle_directory(
        self, sender: messages.Sender, request: messages.DirectoryRequest
    ) -> messages.DirectoryReply:
        """Answers with this host's view of all zones."""
        return messages.DirectoryReply(
            directory_exchange.views_to_message(self.directory.views)
        )

    def send_heartbeats(self) -> None:
        """Sends this host's heartbeat to its successors."""
        self.membership.send_heartbeats(self.make_heartbeat())

    def make_heartbeat(self) -> messages.Heartbeat:
        """Returns a heartbeat with the current state of this host."""
        return messages.Heartbeat(
            self.config_version(),
            self.directory.heads(),
            self.confirmed_age(),
            len(self.leases.held),
            self.stopping,
            self.session.valid(),
        )

    def handle_heartbeat(
        self, sender: messages.Sender, heartbeat: messages.Heartbeat
    ) -> messages.HeartbeatAck:
        """Records a peer's heartbeat and acknowledges it."""
        self.membership.record_heartbeat(sender, heartbeat)
        return messages.HeartbeatAck(
            self.config_version(),
            self.directory.heads(),
            self.confirmed_age(),
        )

    def handle_probe(
        self, sender: messages.Sender, probe: messages.Probe
    ) -> messages.ProbeAck:
        """Answers whether this host's session is valid.

        The age in the answer is 0 if it is, otherwise negative.
        """
        age = 0.0 if self.session.valid() else -1.0
        return messages.ProbeAck(self.sender.incarnation, age)

    def handle_indirect(
        self, sender: messages.Sender, probe: messages.IndirectProbe
    ) -> messages.ProbeAck:
        """Answers how long ago the last contact with another host was."""
        return self.membership.answer_indirect_probe(probe)

    def release_shards(self) -> None:
        """Hands the shards over to zone peers; the session stays open.

        The session must last as long as this host has requests in progress: an
        edit is accepted only when every host with a session has it in force.
        """
        self.stopping = True
        self.heartbeat_task.start()
        stopping = self.membership.stopping_hosts() | {self.sender.host}
        try:
            self.claims.release_shards(stopping)
        except errors.PlatformError as error:
            log.warning("shards not released", code=error.code.name)

    def hand_over(self) -> None:
        """Ends all leases, releases the shards and deletes the session.

        A failure is only logged: the session then expires in the store and zone
        peers take over the shards.
        """
        self.stopping = True
        self.heartbeat_task.start()
        stopping = self.membership.stopping_hosts() | {self.sender.host}
        try:
            self.claims.hand_over(stopping)
        except errors.PlatformError as error:
            log.warning("shards not released", code=error.code.name)

    def close(self) -> None:
        """Closes the session on this host; call `hand_over` before."""
        self.stopping = True
        self.session.close()
        self.leases.drop_invalid()
