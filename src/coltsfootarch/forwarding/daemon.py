"""Process of an entry host: builds its components, runs and stops them."""

from __future__ import annotations

import datetime
import os
import random
import signal
from typing import TYPE_CHECKING

import gevent
import gevent.event
import structlog

from coltsfootarch import periodic
from coltsfootarch.config import edge_settings
from coltsfootarch.fleet import followers
from coltsfootarch.fleet import hosts
from coltsfootarch.fleet import policy
from coltsfootarch.fleet import reports
from coltsfootarch.fleet import stage_orders
from coltsfootarch.fleet import upstreams
from coltsfootarch.forwarding import context
from coltsfootarch.forwarding import forwarder
from coltsfootarch.forwarding import listener
from coltsfootarch.forwarding import status
from coltsfootarch.http1 import pool
from coltsfootarch.limits import shared_bucket
from coltsfootarch.observability import registry
from coltsfootarch.retries import shared_budget
from coltsfootarch.scheduling import backlog
from coltsfootarch.scheduling import break_counts
from coltsfootarch.scheduling import call_placement
from coltsfootarch.scheduling import dispatch_queue
from coltsfootarch.scheduling import engine_placement
from coltsfootarch.scheduling import load_view
from coltsfootarch.scheduling import outcomes
from coltsfootarch.scheduling import prompt_reading
from coltsfootarch.scheduling import refusals
from coltsfootarch.scheduling import sampling
from coltsfootarch.scheduling import stage_balance

if TYPE_CHECKING:
    import pathlib

    from coltsfootarch import clock as clocks
    from coltsfootarch.forwarding import attachment
    from coltsfootarch.observability import log_writer

# The load balancer checks once a second and takes a host out after two
# misses; callers that it sends until then are still served.
ROTATION_S = 2.6
# From then on answers end their connections, so that busy callers have moved to
# other hosts before idle connections are closed.
DRAIN_S = 1.0
# A connection that was in use this lately is left to end with an answer.
IDLE_S = 0.3
# After this the requests that still come are refused, since a long one could
# not end before the process must.
REFUSAL_S = 3.0
# Time to write the last answers before the process is killed.
EXIT_MARGIN_S = 0.4
HOUSEKEEPING_S = 1.0
POLL_S = 0.05
# Part of the excess that the platform's users allow for differences between
# the hosts' copies of a bucket. The rest covers what is admitted in the time of
# a report, and restarts. Many hosts admit more in that time.
OVERDRAFT_PART = 0.6
OVERDRAFT_PART_MANY = 0.2
# Part of the time for which keys are accepted within which a confirmation must
# have been renewed.
CONFIRMATION_PART = 0.85
# Part of the time for which keys are accepted after which a host that can't
# confirm them takes no new callers.
READY_CONFIRMATION_PART = 0.9

logger = structlog.get_logger(__name__)


class EdgeDaemon:
    """One entry host.

    Args:
        settings: Settings of this process.
        platform: Connection to the platform.
        clock: Source of time.
        writer: Where log lines go.
        settings_path: File of the settings, read again on SIGHUP.
    """

    def __init__(
        self,
        settings: edge_settings.EdgeSettings,
        platform: attachment.Attachment,
        clock: clocks.Clock,
        writer: log_writer.LogWriter,
        settings_path: pathlib.Path,
    ) -> None:
        self.settings = settings
        self.platform = platform
        self.clock = clock
        self.writer = writer
        self.settings_path = settings_path
        self.stopping = gevent.event.Event()
        limits = settings.limits
        own = hosts.HostRecord(
            settings.name,
            settings.reports,
            settings.availability_zone,
            int(clock.now().timestamp() * 1000),
            0,
        )
        self.hosts = hosts.HostDirectory(own, clock)
        self.sampler = sampling.Sampler(self.hosts.count, random.Random())
        self.upstreams = upstreams.UpstreamDirectory(clock)
        self.tracker = followers.PolicyTracker(clock)
        self.buckets = shared_bucket.SharedBuckets(
            clock,
            self.hosts.share,
            self.find_account,
            self.overdraft,
            self.hurry,
        )
        self.parts = self.build_parts(limits)
        self.confirmation_s = (
            limits.key_confirmation.total_seconds()
            if limits.key_confirmation
            else None
        )
        self.forwarder = forwarder.Forwarder(
            self.parts,
            platform.callers,
            self.tracker,
            self.buckets,
            random.Random(),
            self.confirmation_s,
        )
        self.exchange = reports.ReportExchange(
            self.hosts,
            [
                self.buckets,
                self.parts.loads,
                self.parts.breaks,
                self.parts.refusals,
                self.parts.tracker,
                self.parts.queue.backlog,
                self.upstreams,
            ],
            clock,
        )
        self.followers = [
            followers.PolicyFollower(
                platform.policies, self.tracker, clock, self.policy_wait()
            ),
            followers.UpstreamFollower(
                platform.upstreams,
                self.upstreams,
                clock,
                self.hosts.rank,
                self.exchange.send,
            ),
        ]
        self.renewer = hosts.HostRenewer(platform.hosts, self.hosts, clock)
        self.stages = stage_orders.StageKeeper(
            self.tracker,
            self.upstreams,
            self.parts.balancer,
            self.parts.queue,
            self.hosts,
            platform.claims,
            platform.orders,
            self.parts.tracker,
            clock,
        )
        self.callers = listener.CallerListener(
            settings.listen, self.forwarder, clock, self.caller_limits
        )
        self.others = self.build_listeners()
        self.housekeeper = periodic.PeriodicTask(
            "housekeeping",
            datetime.timedelta(seconds=HOUSEKEEPING_S),
            self.keep_house,
            clock,
        )

    def find_account(self, name: str) -> policy.ClientAccount | None:
        """Returns an account of the policy in force."""
        current = self.tracker.policy
        return current.accounts.get(name) if current else None

    def overdraft(self) -> float:
        """Returns the tokens by which buckets may go below zero."""
        many = self.sampler.many_hosts
        part = OVERDRAFT_PART_MANY if many else OVERDRAFT_PART
        return self.settings.limits.rate_slack * part

    def hurry(self) -> None:
        """Reports soon, if the usual interval is long."""
        if self.sampler.many_hosts:
            self.exchange.hurry()

    def policy_wait(self) -> float:
        """Returns how long a call for policy changes waits, in seconds."""
        if self.confirmation_s is None:
            return followers.POLICY_WAIT_S
        # A confirmation is up to a wait and a feed's gap old when the next one
        # comes; short waits confirm from their start only.
        usable = self.confirmation_s * CONFIRMATION_PART
        wait = max(usable - followers.FEED_GAP_S, usable / 2)
        return min(followers.POLICY_WAIT_S, wait)

    def build_parts(self, limits: edge_settings.Limits) -> context.Context:
        """Returns what the pipelines share."""
        clock = self.clock
        loads = load_view.LoadView(clock)
        tracker = outcomes.OutcomeTracker(clock)
        zone = self.settings.availability_zone
        reading_times = prompt_reading.ReadingTimes()
        placer = engine_placement.EnginePlacer(
            self.upstreams, loads, tracker, zone, self.sampler, reading_times
        )
        queue = dispatch_queue.DispatchQueue(
            placer, loads, backlog.Backlog(clock), clock
        )
        self.upstreams.on_change.append(queue.place_waiting)
        return context.Context(
            clock=clock,
            wire=self.platform.wire,
            connections=pool.ConnectionPool(clock),
            directory=self.upstreams,
            loads=loads,
            tracker=tracker,
            breaks=break_counts.BreakCounts(clock),
            refusals=refusals.RecentRefusals(clock),
            budget=shared_budget.SharedRetryBudget(
                clock,
                self.hosts.count,
                limits.retry_ratio,
                limits.retry_minimum,
                limits.retry_window.total_seconds(),
            ),
            call_placer=call_placement.CallPlacer(
                self.upstreams, loads, tracker, zone, self.sampler
            ),
            engine_placer=placer,
            queue=queue,
            balancer=stage_balance.StageBalancer(),
            reading_times=reading_times,
            metrics=registry.MetricRegistry(),
        )

    def build_listeners(self) -> list[listener.CallerListener]:
        """Returns the listeners for checks and metrics."""
        ready = status.ReadinessHandler(self.platform.ready_path, self.is_ready)
        found = [
            listener.CallerListener(
                self.settings.ready, ready, self.clock, self.caller_limits
            )
        ]
        if self.settings.metrics:
            metrics = status.MetricsHandler(self.render_metrics)
            found.append(
                listener.CallerListener(
                    self.settings.metrics,
                    metrics,
                    self.clock,
                    self.caller_limits,
                )
            )
        return found

    def caller_limits(self) -> policy.CallerLimits:
        """Returns the limits for callers that are in force."""
        current = self.tracker.policy
        return current.limits if current else policy.CallerLimits()

    def is_ready(self) -> bool:
        """Returns whether the host takes new callers."""
        current = self.tracker.policy
        if self.stopping.is_set() or current is None:
            return False
        if not self.upstreams.upstreams:
            return False
        if self.confirmation_s is None or not current.accounts:
            return True
        limit = self.confirmation_s * READY_CONFIRMATION_PART
        return self.tracker.age() < limit

    def render_metrics(self) -> bytes:
        """Returns all metrics as text."""
        metrics = self.parts.metrics
        metrics.dropped_log_lines.set(self.writer.dropped)
        if self.tracker.policy is not None:
            metrics.policy_age.set(self.tracker.age())
        metrics.hosts_share.set(self.hosts.share())
        return metrics.render()

    def start(self) -> None:
        """Starts all components."""
        self.writer.start()
        for follower in self.followers:
            follower.start()
        self.renewer.start()
        self.stages.start()
        self.exchange.start()
        self.callers.start()
        for each in self.others:
            each.start()
        self.housekeeper.start()
        logger.info(
            "host started",
            availability_zone=self.settings.availability_zone,
            listen=self.settings.listen,
            incarnation=self.hosts.own.incarnation,
            process=os.getpid(),
        )

    def keep_house(self) -> None:
        """Drops what is out of date."""
        self.parts.connections.prune()
        self.parts.loads.sum_up()
        self.parts.breaks.expire()
        self.parts.tracker.forget_except(self.upstreams.upstreams)
        self.upstreams.expire()

    def close(self) -> None:
        """Stops gracefully: serves until the balancer sends no more callers."""
        self.stopping.set()
        started = self.clock.monotonic()
        grace = self.settings.limits.grace.total_seconds()
        logger.info("host stops", in_progress=self.forwarder.in_progress)
        self.clock.sleep(datetime.timedelta(seconds=DRAIN_S))
        self.callers.drain()
        self.clock.sleep(datetime.timedelta(seconds=ROTATION_S - DRAIN_S))
        while True:
            elapsed = self.clock.monotonic() - started
            self.callers.close_idle(IDLE_S)
            if elapsed >= REFUSAL_S:
                self.forwarder.stopping = True
                if not self.forwarder.in_progress:
                    break
            if elapsed >= grace - EXIT_MARGIN_S:
                break
            self.clock.sleep(datetime.timedelta(seconds=POLL_S))
        logger.info(
            "host stopped",
            unfinished=self.forwarder.in_progress,
            took_s=round(self.clock.monotonic() - started, 3),
        )
        self.clock.sleep(datetime.timedelta(seconds=POLL_S))
        self.callers.close()
        for each in self.others:
            each.close()
        self.renewer.close()
        self.stages.close()
        self.exchange.close()
        for follower in self.followers:
            follower.close()
        self.housekeeper.close()
        self.parts.connections.close()
        self.platform.close()
        self.writer.close()

    def run(self) -> None:
        """Runs until SIGTERM or SIGINT and then stops gracefully."""
        requested = gevent.event.Event()
        gevent.signal_handler(signal.SIGTERM, requested.set)
        gevent.signal_handler(signal.SIGINT, requested.set)
        gevent.signal_handler(signal.SIGHUP, self.reload)
        self.start()
        requested.wait()
        self.close()

    def reload(self) -> None:
        """Reads the settings again; what needs a restart is only logged."""
        try:
            text = self.settings_path.read_text()
            newer = edge_settings.parse(text, str(self.settings_path))
        except Exception as error:
            logger.error("settings not reloaded", reason=str(error))
            return
        changed = [
            name
            for name, old, new in zip(
                newer._fields, self.settings, newer, strict=True
            )
            if old != new
        ]
        limits = newer.limits
        self.settings = self.settings._replace(limits=limits)
        budget = self.parts.budget
        budget.ratio = limits.retry_ratio
        budget.minimum = limits.retry_minimum
        budget.window_s = limits.retry_window.total_seconds()
        logger.info(
            "settings reloaded",
            changed=changed,
            need_restart=[name for name in changed if name != "limits"],
        )
