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
        self.parts = components.build(settings)
        self.stopping = gevent.event.Event()
        self.ready = False
        self.application = application.GatewayApplication(
            self.parts.admission,
            self.parts.completion_pipeline,
            self.parts.call_pipeline,
            self.parts.requests,
            self.parts.canceller,
            self.status,
            self.parts.metrics,
        )
        self.server = server.GatewayServer(
            settings.listen,
            self.application.wsgi,
            settings.queue.max_connections,
        )
        self.tasks = [
            self.fast_task(),
            self.task("zone", CONTROL_INTERVAL, self.parts.agent.tick),
            self.task("config", CONTROL_INTERVAL, self.parts.tracker.tick),
            self.task("readiness", CONTROL_INTERVAL, self.parts.readiness.tick),
            self.task("ledgers", SLOW_INTERVAL, self.ledger_tick),
            self.task("hosts", SLOW_INTERVAL, self.parts.watcher.tick),
            self.task("engines", CONTROL_INTERVAL, self.parts.monitor.tick),
            self.task("orphans", SLOW_INTERVAL, self.orphan_tick),
            self.task("claims", SLOW_INTERVAL, self.parts.claim_store.tick),
            self.task("sweep", SLOW_INTERVAL, self.parts.sweeper.tick),
            self.task(
                "connections",
                GAUGE_INTERVAL,
                self.parts.network.close_idle_connections,
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
            name, interval, function, self.parts.clock, self.count_failure
        )

    def count_failure(self, name: str) -> None:
        """Counts a failed call of a periodic task."""
        self.parts.metrics.increment(metrics.TICK_FAILURES, suffix=name)

    def fast_task(self) -> periodic.PeriodicTask:
        """Returns the task whose interval depends on the work in progress."""
        task = self.task("fast", BUSY_INTERVAL, self.fast_tick)
        task.pause = lambda: BUSY_INTERVAL if self.is_busy() else IDLE_INTERVAL
        return task

    def is_busy(self) -> bool:
        """Returns whether requests or their messages are in progress."""
        parts = self.parts
        return bool(
            parts.requests.handles
            or parts.scheduler.pending
            or parts.pool_service.waiting()
            or parts.local_schedulers.runners
        )

    def start(self) -> None:
        """Joins the zone and starts to accept callers."""
        self.parts.start()
        self.parts.tracker.listeners.append(self.on_register)
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
        self.parts.clock.sleep(self.drain_delay)
        self.server.stop_accepting()
        self.parts.agent.release_shards()
        self.parts.requests.wait_idle()
        self.server.wait_answered()
        self.parts.completion_pipeline.wait_background()
        self.wait_recorded()
        self.parts.agent.hand_over()
        for task in self.tasks:
            task.close()
        self.parts.close()
        self.server.close()
        logger.info("gateway stopped", host=self.settings.name)

    def wait_recorded(self) -> None:
        """Waits until the outcomes of claimed calls are recorded.

        A retry of a call without a recorded outcome is told that the outcome is
        unknown. After `RECORD_TIMEOUT` the outcomes are dropped.
        """
        deadline = self.parts.clock.monotonic()
        deadline += RECORD_TIMEOUT.total_seconds()
        while self.parts.claim_store.pending:
            if self.parts.clock.monotonic() > deadline:
                logger.warning(
                    "outcomes of claimed calls were not recorded",
                    count=len(self.parts.claim_store.pending),
                )
                return
            self.parts.clock.sleep(CONTROL_INTERVAL)

    def run(self) -> None:
        """Runs until SIGTERM or SIGINT and then stops gracefully."""
        gevent.signal_handler(signal.SIGTERM, self.stopping.set)
        gevent.signal_handler(signal.SIGINT, self.stopping.set)
        self.start()
        self.stopping.wait()
        self.close()

    def status(self) -> application.HostStatus:
        """Returns the status for `/-/status`."""
        parts = self.parts
        age = parts.tracker.confirmed_age()
        return application.HostStatus(
            host=self.settings.name,
            availability_zone=self.settings.availability_zone,
            incarnation=parts.sender.incarnation,
            config_version=parts.tracker.version,
            confirmed_age=age if age >= 0 else None,
            shards=parts.agent.leases.valid_shards(),
            in_progress=len(parts.requests.handles),
            ready=self.ready
            and parts.tracker.version > 0
            and parts.readiness.ready,
        )

    def on_register(self, current: register.Register) -> None:
        """Applies the retry budget and ends requests whose key is withdrawn."""
        self.parts.budget.ratio = current.rules.retry_budget
        ended = self.parts.requests.end_invalid_keys(
            self.parts.keys.is_valid, results.KEY_WITHDRAWN
        )
        if ended:
            logger.info("ended requests of withdrawn keys", count=ended)

    def fast_tick(self) -> None:
        """Delivers scheduling decisions and batched messages."""
        self.parts.pool_service.tick()
        self.parts.local_schedulers.tick()
        self.parts.scheduler.tick()
        self.parts.limiter.tick()

    def ledger_tick(self) -> None:
        """Runs the tick of the ledgers once there is a configuration."""
        if self.parts.tracker.version:
            self.parts.ledger_server.tick()

    def orphan_tick(self) -> None:
        """Collects orphans once there is a configuration."""
        if self.parts.tracker.version:
            self.parts.orphans.tick()

    def emit_gauges(self) -> None:
        """Emits this host's gauge metrics."""
        status = self.status()
        emit = self.parts.metrics.gauge
        emit(metrics.IN_PROGRESS, status.in_progress)
        emit(metrics.SHARDS_HELD, len(status.shards))
        emit(metrics.CONFIG_VERSION, status.config_version)
        if status.confirmed_age is not None:
            emit(metrics.CONFIRMED_AGE, status.confirmed_age)
