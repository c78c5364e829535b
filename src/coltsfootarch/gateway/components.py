"""Builds and connects the components of a gateway from its settings."""

from __future__ import annotations

import datetime
import random
from typing import TYPE_CHECKING

import gevent
import structlog

from coltsfootarch import clock as clocks
from coltsfootarch import errors
from coltsfootarch.config import background
from coltsfootarch.config import tracker
from coltsfootarch.gateway import admission
from coltsfootarch.gateway import call_pipeline
from coltsfootarch.gateway import completion_pipeline
from coltsfootarch.gateway import config_exchange
from coltsfootarch.gateway import dispatch_guard
from coltsfootarch.gateway import inflight
from coltsfootarch.gateway import ownership
from coltsfootarch.gateway import reachability
from coltsfootarch.gateway import readiness
from coltsfootarch.gateway import remote_cancel
from coltsfootarch.idempotency import claims
from coltsfootarch.idempotency import sweeper
from coltsfootarch.keys import authenticator
from coltsfootarch.limits import ledger_server
from coltsfootarch.limits import limiter
from coltsfootarch.observability import metrics
from coltsfootarch.protocol import messages
from coltsfootarch.protocol import transport
from coltsfootarch.retries import backoff
from coltsfootarch.retries import budget
from coltsfootarch.scheduling import local_schedulers
from coltsfootarch.scheduling import plain_balancer
from coltsfootarch.scheduling import pool_service
from coltsfootarch.scheduling import scheduler_client
from coltsfootarch.storage import host_list_client
from coltsfootarch.storage import host_list_watcher
from coltsfootarch.storage import object_client
from coltsfootarch.storage import table_client
from coltsfootarch.upstreams import engine_client
from coltsfootarch.upstreams import monitor
from coltsfootarch.upstreams import orphans
from coltsfootarch.upstreams import plain_client
from coltsfootarch.zone import agent
from coltsfootarch.zone import homes

if TYPE_CHECKING:
    from coltsfootarch.config import register
    from coltsfootarch.config import settings
    from coltsfootarch.zone import interfaces

TABLE_TIMEOUT = datetime.timedelta(seconds=1)
OBJECT_TIMEOUT = datetime.timedelta(seconds=2)
HOST_LIST_TIMEOUT = datetime.timedelta(seconds=1)
ENGINE_CONNECT_TIMEOUT = datetime.timedelta(milliseconds=500)
# Several times the target time between tokens, so that only a connection that
# stopped delivering data exceeds it.
ENGINE_PROGRESS_TIMEOUT = datetime.timedelta(seconds=2)
DEFAULT_RETRY_RATIO = 0.2
MILLISECONDS_PER_SECOND = 1000
HAND_OVER_TIMEOUT = datetime.timedelta(milliseconds=500)

logger = structlog.get_logger(__name__)


class Components:
    """The components of one gateway, connected to each other.

    Args:
        settings: Settings of this process.
        clock: Source of time.

    Attributes:
        sender: Identity of this host in messages to other hosts.
        exported: Ledgers of shards that are being handed over, by shard.
    """

    def __init__(
        self, settings: settings.Settings, clock: clocks.Clock
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.metrics = build_metrics(settings)
        incarnation = int(clock.now().timestamp() * MILLISECONDS_PER_SECOND)
        self.sender = messages.Sender(
            settings.name,
            incarnation,
            settings.availability_zone,
            settings.peer,
        )
        self.exported: dict[int, messages.LedgerHandover] = {}
        self.requests = inflight.InflightRequests(
            settings.name, incarnation, clock
        )
        self.build_platform()
        self.build_zone()
        self.build_limits()
        self.build_scheduling()
        self.build_pipelines()

    def build_platform(self) -> None:
        """Builds the clients of platform services and the peer network."""
        settings = self.settings
        self.tables = table_client.HttpTableService(
            settings.table_service, TABLE_TIMEOUT
        )
        self.objects = object_client.HttpObjectStore(
            settings.object_store, OBJECT_TIMEOUT
        )
        self.watcher = host_list_watcher.HostListWatcher(
            self.clock,
            host_list_client.HttpHostList(
                settings.host_list, HOST_LIST_TIMEOUT
            ),
        )
        self.network = transport.ZmqPeerNetwork(self.sender, self.clock)

    def build_zone(self) -> None:
        """Builds configuration, membership and shard leases."""
        self.exchange = config_exchange.ConfigExchange(
            self.network, self.peer_addresses
        )
        self.tracker = tracker.ConfigTracker(
            self.clock,
            self.tables,
            self.exchange.query_peers,
            parse=background.parse,
        )
        self.keys = authenticator.Authenticator(self.tracker)
        self.agent = agent.ZoneAgent(
            self.sender,
            self.tables,
            self.network,
            self.clock,
            self.shard_count,
            lambda: self.tracker.version,
            self.confirmed_age,
        )

    def build_limits(self) -> None:
        """Builds the rate limits and the claims on idempotency keys."""
        self.ledger_server = ledger_server.LedgerServer(
            self.clock,
            self.agent.leases,
            self.agent.holders,
            self.settings.availability_zone,
            self.network,
            self.register,
        )
        self.limiter = limiter.Limiter(
            self.clock,
            self.network,
            self.agent.holders,
            self.settings.availability_zone,
            self.register,
            homes.home_shard,
        )
        self.claim_store = claims.ClaimStore(
            self.tables,
            self.objects,
            self.clock,
            self.sender.host,
            self.sender.incarnation,
            self.agent.holders.is_live,
        )

        self.sweeper = sweeper.ClaimSweeper(
            self.clock, self.tables, self.is_sweep_home
        )

    def is_sweep_home(self) -> bool:
        """Returns whether this host holds the shard that sweeps claims."""
        if not self.tracker.version:
            return False
        zones = list(self.register().availability_zones.values())
        home = homes.scope_home("claims", "sweep", zones)
        own_zone = home.availability_zone == self.settings.availability_zone
        return own_zone and self.agent.leases.epoch(home.shard) is not None

    def build_scheduling(self) -> None:
        """Builds the schedulers, engine monitoring and orphan collection."""
        self.engines = engine_client.HttpEngineClient(
            ENGINE_CONNECT_TIMEOUT, ENGINE_PROGRESS_TIMEOUT
        )
        self.reachability = reachability.Reachability(self.clock)
        leaving = self.watcher.leaving_hosts
        self.pool_service = pool_service.PoolService(
            self.clock,
            self.network,
            self.agent.leases,
            self.register,
            self.pool_home,
            self.settings.availability_zone,
            leaving,
        )
        self.local_schedulers = local_schedulers.LocalSchedulers(
            self.clock, self.register, leaving, self.reachability.is_reachable
        )
        self.scheduler = scheduler_client.SchedulerClient(
            self.clock,
            self.network,
            self.agent.holders,
            self.register,
            self.pool_home,
            self.sender,
            self.pool_service,
            self.local_schedulers,
        )
        self.monitor = monitor.EngineMonitor(
            self.clock,
            self.engines,
            lambda: [
                *self.pool_service.schedulers(),
                *self.local_schedulers.schedulers(),
            ],
        )
        self.ownership = ownership.Ownership(
            self.network,
            self.requests,
            self.agent.leases,
            self.register,
            self.settings.availability_zone,
            self.agent.directory.address_of,
            self.agent.directory.has_hosts,
        )
        self.orphans = orphans.OrphanCollector(
            self.clock,
            self.engines,
            self.register,
            self.agent.holders.is_live,
            self.ownership.is_home,
            self.ownership.is_running,
            self.agent.directory.view_age,
        )

    def build_pipelines(self) -> None:
        """Builds the request pipelines."""
        self.budget = budget.RetryBudget(self.clock, DEFAULT_RETRY_RATIO)
        self.guard = dispatch_guard.DispatchGuard(self.tracker, self.watcher)
        self.readiness = readiness.Readiness(
            self.tracker, lambda: self.agent.awaited_by_edits
        )
        self.admission = admission.Admission(
            self.tracker, self.keys, self.readiness
        )
        self.canceller = remote_cancel.RemoteCanceller(
            self.requests,
            self.network,
            self.agent.directory.address_of,
            self.agent.directory.refresh,
        )
        self.completion_pipeline = completion_pipeline.CompletionPipeline(
            self.clock,
            self.register,
            lambda: self.tracker.routes,
            self.limiter,
            self.scheduler,
            self.engines,
            self.guard,
            self.reachability,
            self.budget,
            self.metrics,
            f"{self.sender.host}/{self.sender.incarnation}",
        )
        self.call_pipeline = call_pipeline.CallPipeline(
            self.clock,
            self.register,
            plain_balancer.PlainBalancer(
                self.clock,
                self.register,
                self.settings.availability_zone,
                self.watcher.leaving_hosts,
            ),
            plain_client.PlainConnector(self.clock),
            self.guard,
            self.claim_store,
            self.budget,
            backoff.Backoff(random.SystemRandom()).delay,
            self.metrics,
        )

    def start(self) -> None:
        """Registers handlers and opens the peer socket."""
        self.exchange.start(self.tracker)
        self.ledger_server.start()
        self.pool_service.start()
        self.canceller.start()
        self.ownership.start()
        self.network.start()
        self.agent.start()
        self.agent.leases.ending_listeners.append(self.on_shard_ending)
        self.agent.leases.lost_listeners.append(self.on_shard_lost)
        self.agent.leases.hand_over_listeners.append(self.on_hand_over)

    def on_shard_lost(self, shard: int, _epoch: int) -> None:
        """Drops the ledgers of a shard whose lease was lost."""
        self.ledger_server.drop(shard)

    def on_shard_ending(self, shard: int) -> None:
        """Exports the ledgers of a shard, which ends granting for it."""
        handover = self.ledger_server.export(shard)
        if handover is not None:
            self.exported[shard] = handover

    def on_hand_over(
        self, shard: int, _epoch: int, successor: interfaces.Holder | None
    ) -> None:
        """Sends the exported ledgers of a shard to its next holder."""
        handover = self.exported.pop(shard, None)
        if handover is None or successor is None:
            return
        try:
            self.network.request(successor.address, handover, HAND_OVER_TIMEOUT)
        except errors.PeerTimeoutError:
            logger.warning(
                "ledgers of a shard were not handed over", shard=shard
            )

    def close(self) -> None:
        """Returns unused tokens, ends the session, closes the peer socket."""
        self.limiter.close()
        self.scheduler.flush()
        self.pool_service.close()
        self.agent.close()
        gevent.sleep(0)
        self.network.close()

    def register(self) -> register.Register:
        """Returns the register in force.

        Raises:
            RefusedError: This host has no configuration yet.
        """
        return self.tracker.register

    def peer_addresses(self) -> list[str]:
        """Returns the peer addresses of the live hosts of this zone."""
        peers = self.agent.membership.zone_peers()
        return [peer.address for peer in peers.values()]

    def confirmed_age(self) -> float:
        """Returns the seconds since the configuration was last confirmed."""
        return self.tracker.confirmed_age()

    def shard_count(self) -> int:
        """Returns the number of this zone's shards; 0 without configuration."""
        try:
            zones = self.tracker.register.availability_zones
        except errors.RefusedError:
            return 0
        zone = zones.get(self.settings.availability_zone)
        return zone.shards if zone else 0

    def pool_home(self, name: str, scope: str) -> homes.Home:
        """Returns the home of a pool.

        Args:
            name: Name of the model service.
            scope: Availability zone or region that the pool covers.
        """
        zones = [
            zone
            for zone in self.register().availability_zones.values()
            if scope in (zone.name, zone.region)
        ]
        return homes.scope_home("pool", f"{name}/{scope}", zones)


def build_metrics(settings: settings.Settings) -> metrics.Metrics:
    """Returns the destination of metrics that the settings name."""
    if not settings.statsd:
        return metrics.NullMetrics()
    host, _, port = settings.statsd.rpartition(":")
    return metrics.StatsdMetrics(host, int(port))


def build(settings: settings.Settings) -> Components:
    """Returns the components of a gateway that uses the system clock."""
    return Components(settings, clocks.SystemClock())
