"""This host's part in its availability zone."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING
from typing import Any

import gevent
import structlog

from coltsfootarch import errors
from coltsfootarch.protocol import messages
from coltsfootarch.zone import activity
from coltsfootarch.zone import claims
from coltsfootarch.zone import directory
from coltsfootarch.zone import membership
from coltsfootarch.zone import peer_view
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

    `tick` is to be called several times a second; it never waits. What waits
    for the store or for peers runs in greenlets of its own.

    Args:
        sender: This host.
        tables: The table service.
        network: Network between hosts.
        clock: Source of time.
        shard_count: Returns the number of shards of this zone; 0 while there
            is no configuration.
        config_version: Returns the configuration version in force here.
        confirmed_age: Returns the seconds since the configuration was
            confirmed; negative if never.
        seeds: Returns addresses that may be hosts of this zone.
        spawn: Runs a function in the background.

    Attributes:
        leases: Shard leases of this host, with listeners for changes.
        holders: Holders of the shards of all zones.
        session: This host's session.
        membership: Zone peers as heard.
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
        self.watch = takeover.TakeoverWatch(
            sender,
            self.session,
            self.directory,
            self.membership,
            self.claims,
            clock,
        )
        self.holders: interfaces.Holders = self.directory
        self.renewal = activity.Activity("renewal", self.session.renew, spawn)
        self.maintenance = activity.Activity(
            "maintenance", self.maintain, spawn, quiet=True
        )
        self.heartbeat = activity.Activity(
            "heartbeat", self.send_heartbeats, spawn
        )
        self.probing = activity.Activity("probing", self.watch.probe, spawn)
        self.stopping = False
        self.ticked_at = -math.inf
        self.renewed_at = -math.inf
        self.heartbeat_at = -math.inf

    @property
    def newest_config_version(self) -> int:
        """Newest committed configuration version heard of."""
        return self.directory.newest_config_version

    @property
    def announced(self) -> bool:
        """Whether edits wait for this host, or can't be committed now.

        An edit is accepted when every session in the store has it. A host
        that served before its first session would be left out.
        """
        if self.session.renewed or self.session.blocked_by:
            return True
        return self.renewal.failing

    def start(self) -> None:
        """Registers the handlers; the first tick opens the session."""
        register = self.network.register
        register(messages.Heartbeat, self.handle_heartbeat)
        register(messages.Probe, self.handle_probe)
        register(messages.DirectoryRequest, self.handle_directory)
        register(messages.IndirectProbe, self.handle_indirect, blocking=True)

    def tick(self) -> None:
        """Does what is due; to be called at least every 0.5 s."""
        now = self.clock.monotonic()
        if now - self.ticked_at > timing.OBSERVER_GAP:
            self.watch.reset()
        self.ticked_at = now
        self.session.note_tick(now)
        self.leases.drop_lapsed()
        self.session.extend(now, self.membership.peers_agree(now))
        if self.session.closed:
            return
        if self.renewal_due(now) and self.renewal.start():
            self.renewed_at = now
        heartbeat_due = now - self.heartbeat_at >= timing.HEARTBEAT_INTERVAL
        if heartbeat_due and self.heartbeat.start():
            self.heartbeat_at = now
        if self.watch.probe_due():
            self.probing.start()
        self.maintenance.start()

    def renewal_due(self, now: float) -> bool:
        """Returns whether to open or renew the session.

        A new configuration version is reported at once.
        """
        since = now - self.renewed_at
        reported = self.session.reported_version
        if self.session.version and reported >= self.config_version():
            return since >= timing.RENEWAL_INTERVAL
        return since >= timing.RETRY_INTERVAL

    def maintain(self) -> None:
        """Follows the directory, spreads shards and takes over dead hosts."""
        if not self.directory.views:
            self.learn_directory()
        self.directory.poll_if_due()
        if self.session.closed or self.stopping:
            return
        self.watch.observe()
        self.watch.take_over()
        self.claims.balance(self.membership.stopping_hosts())

    def learn_directory(self) -> None:
        """Takes a zone peer's view until this host reads its own.

        A host that starts while the store is down could not find the ledgers
        and schedulers of its zone otherwise.
        """
        peers = self.membership.zone_peers().values()
        self.directory.views = peer_view.ask(self.network, peers)

    def handle_directory(
        self, sender: messages.Sender, request: messages.DirectoryRequest
    ) -> messages.DirectoryReply:
        """Answers with this host's view of all zones."""
        return messages.DirectoryReply(peer_view.export(self.directory.views))

    def send_heartbeats(self) -> None:
        """Sends this host's heartbeat."""
        self.membership.send_heartbeats(self.make_heartbeat())

    def make_heartbeat(self) -> messages.Heartbeat:
        """Returns the heartbeat that describes this host now."""
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
        self.membership.note_heartbeat(sender, heartbeat)
        return messages.HeartbeatAck(
            self.config_version(),
            self.directory.heads(),
            self.confirmed_age(),
        )

    def handle_probe(
        self, sender: messages.Sender, probe: messages.Probe
    ) -> messages.ProbeAck:
        """Returns whether this host may use its shards."""
        age = 0.0 if self.session.valid() else -1.0
        return messages.ProbeAck(self.sender.incarnation, age)

    def handle_indirect(
        self, sender: messages.Sender, probe: messages.IndirectProbe
    ) -> messages.ProbeAck:
        """Answers how long ago another host was last heard."""
        return self.membership.answer_indirect(probe)

    def release_shards(self) -> None:
        """Hands the shards to zone peers; the session goes on.

        The session must last as long as requests are in progress here: an
        edit counts as accepted only when every host with a session has it in
        force.
        """
        self.stopping = True
        self.heartbeat.start()
        stopping = self.membership.stopping_hosts() | {self.sender.host}
        try:
            self.claims.release_shards(stopping)
        except errors.PlatformError as error:
            log.warning("shards not released", code=error.code.name)

    def hand_over(self) -> None:
        """Ends all leases and releases them for the zone peers.

        A failure is logged only: the session expires in the store and zone
        peers take the shards over.
        """
        self.stopping = True
        self.heartbeat.start()
        stopping = self.membership.stopping_hosts() | {self.sender.host}
        try:
            self.claims.hand_over(stopping)
        except errors.PlatformError as error:
            log.warning("shards not released", code=error.code.name)

    def close(self) -> None:
        """Ends the session on this host; `hand_over` releases it before."""
        self.stopping = True
        self.session.close()
        self.leases.drop_lapsed()
