"""The gateway process: starts, runs and stops the components of a host."""

from __future__ import annotations

import datetime
import signal
from typing import TYPE_CHECKING

import gevent
import gevent.event
import structlog

from coltsfootarch import periodic
from coltsfootarch import results
from coltsfootarch.gateway import application
from coltsfootarch.gateway import components
from coltsfootarch.gateway import server
from coltsfootarch.observability import metrics

if TYPE_CHECKING:
    from collections.abc import Callable

    from coltsfootarch.config import register
    from coltsfootarch.config import settings

BUSY_INTERVAL = datetime.timedelta(milliseconds=20)
# Each wake-up costs about 100 µs of the processor time budgeted for control
# work, so a host without work in progress wakes up less often.
IDLE_INTERVAL = datetime.timedelta(milliseconds=100)
CONTROL_INTERVAL = datetime.timedelta(milliseconds=250)
SLOW_INTERVAL = datetime.timedelta(seconds=1)
GAUGE_INTERVAL = datetime.timedelta(seconds=10)
# How long a stopping host waits for the table service to accept outcomes before
# it drops them.
RECORD_TIMEOUT = datetime.timedelta(seconds=30)
# Time for the load balancer to notice that the host is no longer ready.
DRAIN_DELAY = datetime.timedelta(seconds=2)

logger = structlog.get_logger(__name__)


class Gateway:
    """Process of one entry host.

    Args:
        settings: Settings of this process.
        drain_delay: Time between reporting not ready and closing the listening
            socket.

    Attributes:
        ready: Whether the host was started and is not stopping.
    """

    def __init__(
        self,
        settings: settings.Settings,
        drain_delay: datetime.timedelta = DRAIN_DELAY,
    ) -> None:
        self.settings = settings
        self.drain_delay = drain_delay
        self.components = components.build(settings)
        self.stopping = gevent.event.Event()
        self.ready = False
        self.application = application.GatewayApplication(
            self.components.admission,
            self.components.completion_pipeline,
            self.components.call_pipeline,
            self.components.requests,
            self.components.canceller,
            self.status,
            self.components.metrics,
        )
        self.server = server.GatewayServer(
            settings.listen,
            self.application.wsgi,
            settings.queue.max_connections,
        )
        self.tasks = [
            self.fast_task(),
            self.task("zone", CONTROL_INTERVAL, self.components.agent.tick),
            self.task("config", CONTROL_INTERVAL, self.components.tracker.tick),
            self.task(
                "readiness", CONTROL_INTERVAL, self.components.readiness.tick
            ),
            self.task("ledgers", SLOW_INTERVAL, self.ledger_tick),
            self.task("hosts", SLOW_INTERVAL, self.components.watcher.tick),
            self.task(
                "engines", CONTROL_INTERVAL, self.components.monitor.tick
            ),
            self.task("orphans", SLOW_INTERVAL, self.orphan_tick),
            self.task(
                "claims", SLOW_INTERVAL, self.components.claim_store.tick
            ),
            self.task("sweep", SLOW_INTERVAL, self.components.sweeper.tick),
            self.task(
                "connections",
                GAUGE_INTERVAL,
                self.components.network.close_idle_connections,
            ),
            self.task("gauges", GAUGE_INTERVAL, self.emit_gauges),
        ]

    def task(
        self,
        name: str,
        interval: datetime.timedelta,
        function: Callable[[], object],
    ) -> periodic.PeriodicTask:
        """Returns a periodic task whose failures are counted."""
        return periodic.PeriodicTask(
            name, interval, function, self.components.clock, self.count_failure
        )

    def count_failure(self, name: str) -> None:
        """Counts a failed call of a periodic task."""
        self.components.metrics.increment(metrics.TICK_FAILURES, suffix=name)

    def fast_task(self) -> periodic.PeriodicTask:
        """Returns the task whose interval depends on the work in progress."""
        task = self.task("fast", BUSY_INTERVAL, self.fast_tick)
        task.pause = lambda: BUSY_INTERVAL if self.is_busy() else IDLE_INTERVAL
        return task

    def is_busy(self) -> bool:
        """Returns whether requests or their messages are in progress."""
        host_components = self.components
        return bool(
            host_components.requests.handles
            or host_components.scheduler.pending
            or host_components.pool_service.waiting()
            or host_components.local_schedulers.runners
        )

    def start(self) -> None:
        """Joins the zone and starts to accept callers."""
        self.components.start()
        self.components.tracker.listeners.append(self.on_register)
        for task in self.tasks:
            task.start()
        self.server.start()
        self.ready = True
        logger.info(
            "gateway started",
            host=self.settings.name,
            listen=self.server.address,
        )

    def close(self) -> None:
        """Stops gracefully: requests in progress are finished first."""
        self.ready = False
        self.server.drain()
        self.components.clock.sleep(self.drain_delay)
        self.server.stop_accepting()
        self.components.agent.release_shards()
        self.components.requests.wait_idle()
        self.server.wait_answered()
        self.components.completion_pipeline.wait_background()
        self.wait_recorded()
        self.components.agent.hand_over()
        for task in self.tasks:
            task.close()
        self.components.close()
        self.server.close()
        logger.info("gateway stopped", host=self.settings.name)

    def wait_recorded(self) -> None:
        """Waits until the outcomes of claimed calls are recorded.

        A retry of a call without a recorded outcome is told that the outcome is
        unknown. After `RECORD_TIMEOUT` the outcomes are dropped.
        """
        deadline = self.components.clock.monotonic()
        deadline += RECORD_TIMEOUT.total_seconds()
        while self.components.claim_store.pending:
            if self.components.clock.monotonic() > deadline:
                logger.warning(
                    "outcomes of claimed calls were not recorded",
                    count=len(self.components.claim_store.pending),
                )
                return
            self.components.clock.sleep(CONTROL_INTERVAL)

    def run(self) -> None:
        """Runs until SIGTERM or SIGINT and then stops gracefully."""
        gevent.signal_handler(signal.SIGTERM, self.stopping.set)
        gevent.signal_handler(signal.SIGINT, self.stopping.set)
        self.start()
        self.stopping.wait()
        self.close()

    def status(self) -> application.HostStatus:
        """Returns the status for `/-/status`."""
        host_components = self.components
        age = host_components.tracker.confirmed_age()
        return application.HostStatus(
            host=self.settings.name,
            availability_zone=self.settings.availability_zone,
            incarnation=host_components.sender.incarnation,
            config_version=host_components.tracker.version,
            confirmed_age=age if age >= 0 else None,
            shards=host_components.agent.leases.valid_shards(),
            in_progress=len(host_components.requests.handles),
            ready=self.ready
            and host_components.tracker.version > 0
            and host_components.readiness.ready,
        )

    def on_register(self, current: register.Register) -> None:
        """Applies the retry budget and ends requests whose key is withdrawn."""
        self.components.budget.ratio = current.rules.retry_budget
        ended = self.components.requests.end_invalid_keys(
            self.components.keys.is_valid, results.KEY_WITHDRAWN
        )
        if ended:
            logger.info("ended requests of withdrawn keys", count=ended)

    def fast_tick(self) -> None:
        """Delivers scheduling decisions and batched messages."""
        self.components.pool_service.tick()
        self.components.local_schedulers.tick()
        self.components.scheduler.tick()
        self.components.limiter.tick()

    def ledger_tick(self) -> None:
        """Runs the tick of the ledgers once there is a configuration."""
        if self.components.tracker.version:
            self.components.ledger_server.tick()

    def orphan_tick(self) -> None:
        """Collects orphans once there is a configuration."""
        if self.components.tracker.version:
            self.components.orphans.tick()

    def emit_gauges(self) -> None:
        """Emits this host's gauge metrics."""
        status = self.status()
        emit = self.components.metrics.gauge
        emit(metrics.IN_PROGRESS, status.in_progress)
        emit(metrics.SHARDS_HELD, len(status.shards))
        emit(metrics.CONFIG_VERSION, status.config_version)
        if status.confirmed_age is not None:
            emit(metrics.CONFIRMED_AGE, status.confirmed_age)
