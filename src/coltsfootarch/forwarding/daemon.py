"""Process of an entry host: builds, runs and stops its components."""

from __future__ import annotations

import datetime
import os
import random
import signal
from typing import TYPE_CHECKING

import gevent
import gevent.event
import msgspec
import structlog

from coltsfootarch import periodic
from coltsfootarch.config import edge_settings
from coltsfootarch.fleet import active_policy
from coltsfootarch.fleet import followers
from coltsfootarch.fleet import host_renewal
from coltsfootarch.fleet import hosts
from coltsfootarch.fleet import policy
from coltsfootarch.fleet import report_exchange
from coltsfootarch.fleet import service_versions
from coltsfootarch.fleet import stage_orders
from coltsfootarch.fleet import stream_records
from coltsfootarch.fleet import upstreams
from coltsfootarch.forwarding import context
from coltsfootarch.forwarding import crash_checks
from coltsfootarch.forwarding import descriptors
from coltsfootarch.forwarding import fleet_join
from coltsfootarch.forwarding import forwarder
from coltsfootarch.forwarding import host_status
from coltsfootarch.forwarding import listener
from coltsfootarch.forwarding import prompt_holders
from coltsfootarch.forwarding import recent_limits
from coltsfootarch.forwarding import response_memory
from coltsfootarch.forwarding import status
from coltsfootarch.forwarding import stream_versions
from coltsfootarch.http1 import pool
from coltsfootarch.http1 import request_memory
from coltsfootarch.limits import shared_bucket
from coltsfootarch.limits import upstream_limits
from coltsfootarch.observability import registry
from coltsfootarch.retries import shared_budget
from coltsfootarch.scheduling import backlog
from coltsfootarch.scheduling import break_counts
from coltsfootarch.scheduling import call_placement
from coltsfootarch.scheduling import crashing_parts
from coltsfootarch.scheduling import dispatch_queue
from coltsfootarch.scheduling import engine_placement
from coltsfootarch.scheduling import load_view
from coltsfootarch.scheduling import local_prefill
from coltsfootarch.scheduling import outcomes
from coltsfootarch.scheduling import refusals
from coltsfootarch.scheduling import sampling
from coltsfootarch.scheduling import stage_balance
from coltsfootarch.scheduling import upstream_notices

if TYPE_CHECKING:
    import pathlib

    from coltsfootarch import clock as clocks
    from coltsfootarch.forwarding import platform_interface
    from coltsfootarch.observability import log_writer

# Time until the load balancer sends no more callers: it checks readiness once a
# second and removes a host after two failures. Callers that it sends until then
# are still served.
BALANCER_REMOVAL_S = 2.6
# After this time responses close their connections, so that busy callers have
# moved to other hosts before idle connections are closed.
DRAIN_S = 1.0
# Idle time below which a connection isn't closed, since its next request may
# already be on the way; it closes after its next response instead.
MIN_IDLE_S = 0.3
# Time from the start of the shutdown after which new requests are refused,
# since a long one could not finish before the process has to exit. One that is
# sent up to 3 s after the signal may be cut; the process notices the signal
# some time after it was sent.
REFUSE_AFTER_S = 2.8
# Part of the grace period that is kept to write the last responses before the
# process is killed.
EXIT_MARGIN_S = 0.4
# Part of the grace period that is kept to end the process, and the longest time
# in which the last connections end by themselves.
KILL_MARGIN_S = 0.15
MAX_END_S = 1.5
HOUSEKEEPING_S = 1.0
# Longest time for which a request beyond a limit waits for a newer policy, in
# seconds. Most hosts have a new version within a second.
POLICY_WAIT_S = 2.0
POLL_S = 0.05
# Fraction of the `rate_slack` setting by which the hosts' copies of a rate
# limit bucket may be overdrawn because they differ. The rest of the slack
# covers requests admitted until the next report arrives, and restarts. Many
# hosts admit more in that time.
OVERDRAFT_FRACTION = 0.6
OVERDRAFT_FRACTION_MANY_HOSTS = 0.2
# Further fraction for requests that take up a stream; none among many hosts.
TAKE_UP_FRACTION = 0.2
# Fraction of the key confirmation time within which the confirmation must have
# been renewed.
CONFIRMATION_FRACTION = 0.85
# Time for which keys are taken to be valid without a confirmation if the
# settings don't limit it.
DEFAULT_KEY_CONFIRMATION = datetime.timedelta(seconds=5)
# Smallest part of the longest wait for policy changes that a relay uses.
MIN_WAIT_FRACTION = 0.5
# Fraction of the key confirmation time after which a host that can't confirm
# the keys reports that it is not ready for new callers.
READY_CONFIRMATION_FRACTION = 0.9

logger = structlog.get_logger(__name__)


class EdgeDaemon:
    """All components of one entry host.

    Args:
        settings: Settings of this process.
        platform: Interface to the platform.
        clock: Source of time.
        writer: Writes the log lines.
        settings_path: Settings file, which is read again on SIGHUP.
    """

    def __init__(
        self,
        settings: edge_settings.EdgeSettings,
        platform: platform_interface.PlatformInterface,
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
        self.generator = random.Random()
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
        self.upstreams = upstreams.UpstreamDirectory(clock, platform.epochs)
        self.policy_tracker = active_policy.PolicyTracker(
            clock, platform.epochs
        )
        self.buckets = shared_bucket.SharedBuckets(
            clock,
            self.hosts.share,
            self.find_account,
            self.overdraft,
            self.report_soon,
            self.take_up_overdraft,
        )
        self.versions = service_versions.ServiceVersions(
            platform.versions,
            self.upstreams,
            self.policy_tracker,
            self.hosts,
            platform.epochs,
            clock,
            random.Random(),
            (
                limits.key_confirmation or DEFAULT_KEY_CONFIRMATION
            ).total_seconds(),
        )
        self.records = stream_records.StreamRecords(
            platform.streams,
            clock,
            self.versions.lifetime_s,
            lambda: self.hosts.rank() == 0,
        )
        self.versions.on_restored.append(self.records.write_again)
        self.versions.on_base_changed.append(self.records.write_version)
        self.context = self.build_context(limits)
        self.confirmation_s = (
            limits.key_confirmation.total_seconds()
            if limits.key_confirmation
            else None
        )
        self.join = fleet_join.FleetJoin(self.hosts, self.policy_tracker, clock)
        self.forwarder = forwarder.Forwarder(
            self.context,
            platform.callers,
            self.policy_tracker,
            self.buckets,
            random.Random(),
            self.confirmation_s,
            self.join,
        )
        self.report_exchange = report_exchange.ReportExchange(
            self.hosts,
            [
                platform.epochs,
                self.buckets,
                self.context.notices.limits,
                self.context.loads,
                self.context.break_counts,
                self.context.crashing_parts,
                self.context.refusals,
                self.context.outcome_tracker,
                self.context.queue.backlog,
                self.upstreams,
                self.policy_tracker,
            ],
            clock,
            self.policy_tracker,
        )
        policy_follower = followers.PolicyFollower(
            platform.policies,
            self.policy_tracker,
            clock,
            self.policy_wait_s(),
            self.is_member,
            self.policy_wait_fraction,
        )
        self.status_reporter = host_status.StatusReporter(
            self.hosts,
            self.report_exchange,
            policy_follower,
            self.context,
            self.buckets,
        )
        self.followers = [
            policy_follower,
            followers.UpstreamFollower(
                platform.upstreams,
                self.upstreams,
                clock,
                self.hosts.rank,
                self.report_exchange.send,
                self.hosts.is_relayed,
                lambda failed_at: policy_follower.abandon_wait(
                    failed_at, "another connection to the store was silent"
                ),
            ),
        ]
        platform.epochs.on_restored.append(
            lambda: policy_follower.abandon_wait(
                self.clock.monotonic(), "the store was restored"
            )
        )
        self.renewer = host_renewal.HostRenewer(
            platform.hosts, self.hosts, clock, self.generator
        )
        platform.epochs.on_restored.append(self.renewer.write_again)
        self.stage_controller = stage_orders.StageController(
            self.policy_tracker,
            self.upstreams,
            self.context.balancer,
            self.context.queue,
            self.hosts,
            platform.claims,
            platform.orders,
            self.context.outcome_tracker,
            clock,
        )
        self.recent_limits = recent_limits.RecentLimits(
            self.caller_limits, clock
        )
        self.policy_tracker.on_change.append(
            lambda _: self.recent_limits.record_change()
        )
        self.request_memory = request_memory.RequestMemory(
            self.context.metrics.abandoned_requests.inc
        )
        self.caller_listener = listener.CallerListener(
            settings.listen,
            self.forwarder,
            clock,
            self.recent_limits.current,
            platform.callers.request_id,
            lambda reason: self.context.metrics.caller_closes.labels(
                reason
            ).inc(),
            self.await_policy,
            descriptors.DescriptorBudget(clock),
            self.recent_limits.keep_idle_s,
            self.request_memory,
        )
        self.internal_listeners = self.build_listeners()
        self.housekeeper = periodic.PeriodicTask(
            "housekeeping",
            datetime.timedelta(seconds=HOUSEKEEPING_S),
            self.drop_stale_state,
            clock,
        )

    def find_account(self, name: str) -> policy.ClientAccount | None:
        """Returns a client account of the active policy; None if unknown."""
        current = self.policy_tracker.policy
        return current.accounts.get(name) if current else None

    def overdraft(self) -> float:
        """Returns the number of tokens by which a bucket may be overdrawn."""
        many_hosts = self.sampler.many_hosts
        fraction = (
            OVERDRAFT_FRACTION_MANY_HOSTS if many_hosts else OVERDRAFT_FRACTION
        )
        return self.settings.limits.rate_slack * fraction

    def take_up_overdraft(self) -> float:
        """Returns the further overdraft for streams that are taken up."""
        if self.sampler.many_hosts:
            return 0.0
        return self.settings.limits.rate_slack * TAKE_UP_FRACTION

    def is_member(self) -> bool:
        """Returns whether a relay passes on the policy's confirmations."""
        return self.report_exchange.relayed.choice.relay is not None

    def policy_wait_fraction(self) -> float:
        """Returns the part of the longest wait that a read may block."""
        if self.hosts.is_relayed():
            return self.generator.uniform(MIN_WAIT_FRACTION, 1.0)
        return 1.0

    def report_soon(self) -> None:
        """Sends the next report early where the usual interval is long."""
        if self.sampler.many_hosts:
            self.report_exchange.send_soon()

    def policy_wait_s(self) -> float:
        """Returns how long a read of policy changes may block, in seconds."""
        if self.confirmation_s is None:
            return followers.POLICY_WAIT_S
        # When the next confirmation arrives, the last one is up to one wait
        # plus `FEED_GAP_S` old. A wait shorter than the gap confirms the policy
        # only as of its start.
        usable = self.confirmation_s * CONFIRMATION_FRACTION
        wait = max(usable - followers.FEED_GAP_S, usable / 2)
        return min(followers.POLICY_WAIT_S, wait)

    def build_context(self, limits: edge_settings.Limits) -> context.Context:
        """Returns the components that the pipelines share."""
        clock = self.clock
        loads = load_view.LoadView(clock)
        outcome_tracker = outcomes.OutcomeTracker(clock)
        zone = self.settings.availability_zone
        prefill_times = local_prefill.PrefillTimes()
        placer = engine_placement.EnginePlacer(
            self.upstreams,
            loads,
            outcome_tracker,
            zone,
            self.sampler,
            prefill_times,
        )
        queue = dispatch_queue.DispatchQueue(
            placer, loads, backlog.Backlog(clock), clock
        )
        self.upstreams.on_change.append(queue.place_waiting)
        self.versions.on_change.append(queue.place_waiting)
        versions = stream_versions.StreamVersions(
            self.versions,
            self.records,
            prompt_holders.PromptHolders(
                self.upstreams, self.platform.wire, clock, self.hosts.count
            ),
        )
        placer.may_begin = versions.may_begin
        placer.are_all_open = self.versions.are_all_open
        notices = upstream_notices.UpstreamNotices(
            clock,
            upstream_limits.UpstreamLimits(
                clock,
                self.hosts.share,
                lambda: self.report_exchange.send_soon(),
            ),
        )
        self.upstreams.accepts = notices.accepts
        self.upstreams.is_open = notices.is_open
        breaks = break_counts.BreakCounts(
            clock,
            f"{self.hosts.own.name}@{self.hosts.own.incarnation}",
            lambda: self.report_exchange.send_soon(),
        )
        return context.Context(
            clock=clock,
            wire=self.platform.wire,
            connections=pool.ConnectionPool(clock),
            directory=self.upstreams,
            loads=loads,
            outcome_tracker=outcome_tracker,
            break_counts=breaks,
            crash_check=crash_checks.CrashCheck(breaks, clock, self.upstreams),
            crashing_parts=crashing_parts.CrashingParts(
                clock,
                lambda: self.hosts.rank() == 0,
                lambda: self.report_exchange.send_soon(),
            ),
            notices=notices,
            response_memory=response_memory.ResponseMemory(
                self.record_abandoned_response
            ),
            refusals=refusals.RecentRefusals(clock),
            budget=shared_budget.SharedRetryBudget(
                clock,
                self.hosts.count,
                limits.retry_ratio,
                limits.retry_minimum,
                limits.retry_window.total_seconds(),
            ),
            call_placer=call_placement.CallPlacer(
                self.upstreams, loads, outcome_tracker, zone, self.sampler
            ),
            engine_placer=placer,
            queue=queue,
            balancer=stage_balance.StageBalancer(),
            stream_versions=versions,
            prefill_times=prefill_times,
            metrics=registry.MetricRegistry(),
        )

    def record_abandoned_response(
        self, holding: response_memory.Holding, upstream_bytes: int
    ) -> None:
        """Logs and counts a response that was given up for others."""
        memory = self.context.response_memory
        self.context.metrics.abandoned_responses.inc()
        logger.warning(
            "response given up: memory for responses is full",
            upstream=holding.upstream,
            bytes=holding.size,
            upstream_bytes=upstream_bytes,
            limit_bytes=memory.capacity,
        )

    def build_listeners(self) -> list[listener.CallerListener]:
        """Returns the listeners for readiness checks and metrics."""
        ready = status.ReadinessHandler(self.platform.ready_path, self.is_ready)
        listeners = [
            listener.CallerListener(
                self.settings.ready,
                ready,
                self.clock,
                self.recent_limits.current,
                memory=self.request_memory,
            )
        ]
        if self.settings.metrics:
            metrics = status.MetricsHandler(
                self.render_metrics, self.render_status
            )
            listeners.append(
                listener.CallerListener(
                    self.settings.metrics,
                    metrics,
                    self.clock,
                    self.recent_limits.current,
                    memory=self.request_memory,
                )
            )
        return listeners

    def caller_limits(self) -> policy.CallerLimits | None:
        """Returns the limits of the active policy; None without a policy."""
        current = self.policy_tracker.policy
        return current.limits if current else None

    def await_policy(self) -> None:
        """Waits for a newer policy or the confirmation that there is none."""
        self.policy_tracker.wait_newer(POLICY_WAIT_S)

    def is_ready(self) -> bool:
        """Returns whether the host is ready for new callers."""
        current = self.policy_tracker.usable_policy()
        if self.stopping.is_set() or current is None:
            return False
        if not self.upstreams.upstreams or not self.join.is_complete():
            return False
        if self.confirmation_s is None or not current.accounts:
            return True
        limit = self.confirmation_s * READY_CONFIRMATION_FRACTION
        return self.policy_tracker.age() < limit

    def render_metrics(self) -> bytes:
        """Updates the gauges and returns all metrics as text."""
        metrics = self.context.metrics
        metrics.dropped_log_lines.set(self.writer.dropped)
        tracker = self.policy_tracker
        if tracker.policy is not None:
            metrics.policy_age.set(tracker.age())
            metrics.policy_version.set(tracker.policy.version)
            metrics.policy_bytes.set(tracker.last_transfer.size_bytes)
            metrics.policy_transfer.set(tracker.last_transfer.received_s)
        metrics.store_epoch.set(self.platform.epochs.epoch)
        metrics.store_restorations.set(self.platform.epochs.restorations)
        for follower in self.followers:
            metrics.read_failures.labels(follower.name).set(follower.failures)
        metrics.response_bytes.set(self.context.response_memory.used)
        metrics.request_bytes.set(self.request_memory.used)
        metrics.reached_share.set(self.hosts.share())
        metrics.fallback_reads.set(self.status_reporter.fallback_reads())
        metrics.registrations_age.set(self.upstreams.age())
        metrics.hosts_reached.set(self.hosts.reached())
        metrics.hosts_expected.set(self.hosts.count())
        metrics.relaying.set(self.report_exchange.relayed.choice.relaying)
        metrics.relays_heard.set(len(self.hosts.relays or ()))
        metrics.refused_contents.set(self.context.break_counts.refused())
        limited = self.context.notices.limits.limited()
        metrics.limited_upstreams.set(len(limited))
        metrics.set_exchange(self.report_exchange.counts)
        return metrics.render()

    def render_status(self) -> bytes:
        """Returns the status as a JSON document."""
        return msgspec.json.encode(self.status_reporter.describe())

    def start(self) -> None:
        """Starts all components."""
        self.writer.start()
        for follower in self.followers:
            follower.start()
        self.renewer.start()
        self.versions.start()
        self.records.start()
        self.stage_controller.start()
        self.report_exchange.start()
        self.caller_listener.start()
        for each in self.internal_listeners:
            each.start()
        self.housekeeper.start()
        logger.info(
            "host started",
            availability_zone=self.settings.availability_zone,
            listen=self.settings.listen,
            incarnation=self.hosts.own.incarnation,
            process=os.getpid(),
        )

    def drop_stale_state(self) -> None:
        """Drops expired connections, counts and upstreams."""
        self.context.connections.prune()
        self.context.loads.recompute_total()
        self.context.break_counts.expire()
        self.context.crashing_parts.expire()
        self.context.outcome_tracker.retain_only(self.upstreams.upstreams)
        self.context.notices.retain_only(self.upstreams.upstreams)
        self.upstreams.expire()

    def close(self) -> None:
        """Shuts down gracefully.

        Requests are served until the load balancer sends no more callers, and
        those in progress until the grace period ends.
        """
        self.stopping.set()
        started = self.clock.monotonic()
        grace = self.settings.limits.grace.total_seconds()
        logger.info("host stopping", in_progress=self.forwarder.in_progress)
        self.forwarder.limit_calls(started + grace - EXIT_MARGIN_S)
        self.forwarder.refuse_from = started + REFUSE_AFTER_S
        self.clock.sleep(datetime.timedelta(seconds=DRAIN_S))
        self.caller_listener.drain()
        self.clock.sleep(
            datetime.timedelta(seconds=BALANCER_REMOVAL_S - DRAIN_S)
        )
        while True:
            elapsed = self.clock.monotonic() - started
            self.caller_listener.close_idle(MIN_IDLE_S)
            if elapsed >= REFUSE_AFTER_S and not (
                self.forwarder.in_progress or self.caller_listener.receiving
            ):
                break
            if elapsed >= grace - EXIT_MARGIN_S:
                break
            self.clock.sleep(datetime.timedelta(seconds=POLL_S))
        logger.info(
            "host stopped",
            unfinished=self.forwarder.in_progress,
            took_s=round(self.clock.monotonic() - started, 3),
        )
        self.forwarder.interrupt_calls()
        self.end_connections(started + grace - KILL_MARGIN_S)
        self.caller_listener.close()
        for each in self.internal_listeners:
            each.close()
        self.renewer.close()
        self.versions.close()
        self.records.close()
        self.stage_controller.close()
        self.report_exchange.close()
        for follower in self.followers:
            follower.close()
        self.housekeeper.close()
        self.context.connections.close()
        self.platform.close()
        self.writer.close()

    def end_connections(self, latest: float) -> None:
        """Answers what has arrived from callers and closes idle connections.

        Args:
            latest: Instant until which it may last, in seconds.
        """
        self.caller_listener.stop_accepting()
        latest = min(latest, self.clock.monotonic() + MAX_END_S)
        while True:
            self.clock.sleep(datetime.timedelta(seconds=POLL_S))
            self.caller_listener.close_idle(MIN_IDLE_S)
            if (
                not self.caller_listener.connections
                or self.clock.monotonic() >= latest
            ):
                return

    def run(self) -> None:
        """Runs until SIGTERM or SIGINT and then shuts down gracefully."""
        requested = gevent.event.Event()
        gevent.signal_handler(signal.SIGTERM, requested.set)
        gevent.signal_handler(signal.SIGINT, requested.set)
        gevent.signal_handler(signal.SIGHUP, self.reload)
        self.start()
        requested.wait()
        self.close()

    def reload(self) -> None:
        """Reads the settings again and applies the limits.

        Other changed settings need a restart and are only logged.
        """
        try:
            text = self.settings_path.read_text()
            reloaded = edge_settings.parse(text, str(self.settings_path))
        except Exception as error:
            logger.error("settings not reloaded", reason=str(error))
            return
        changed = [
            name
            for name, old, new in zip(
                reloaded._fields, self.settings, reloaded, strict=True
            )
            if old != new
        ]
        limits = reloaded.limits
        self.settings = self.settings._replace(limits=limits)
        budget = self.context.budget
        budget.ratio = limits.retry_ratio
        budget.minimum = limits.retry_minimum
        budget.window_s = limits.retry_window.total_seconds()
        logger.info(
            "settings reloaded",
            changed=changed,
            need_restart=[name for name in changed if name != "limits"],
        )
