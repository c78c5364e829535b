"""Prometheus metrics that a host serves on its metrics address."""

from __future__ import annotations

from typing import TYPE_CHECKING

import prometheus_client
from prometheus_client import core

if TYPE_CHECKING:
    from coltsfootarch.fleet import sources

PREFIX = "coltsfootarch"
# Upper bounds of latency buckets in seconds. They are close together around the
# latency objectives of calls (0.2 to 0.4 s) and streams (0.9 s).
LATENCY_BUCKETS = (0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.9, 1.4, 2, 4, 8, 14)


class MetricRegistry:
    """Prometheus metrics of one host; `docs/metrics.md` lists them."""

    def __init__(self) -> None:
        self.registry = core.CollectorRegistry()
        self.requests = self.counter(
            "requests", "answered requests", ("service", "result")
        )
        self.attempts = self.counter(
            "attempts", "requests sent to upstreams", ("service", "outcome")
        )
        self.resumes = self.counter(
            "resumes", "streams that went on at another engine", ("service",)
        )
        self.caller_closes = self.counter(
            "caller_closes", "closed connections of callers", ("reason",)
        )
        self.queue_time = self.histogram(
            "queue_seconds", "time that requests waited for an engine"
        )
        self.answer_time = self.histogram(
            "answer_seconds", "time to the answer or the first event"
        )
        self.dropped_log_lines = self.gauge(
            "dropped_log_lines", "log lines dropped since the start"
        )
        self.policy_age = self.gauge(
            "policy_age_seconds", "time since the policy was confirmed"
        )
        self.policy_version = self.gauge(
            "policy_version", "version of the policy in force"
        )
        self.store_epoch = self.gauge(
            "store_epoch", "newest epoch of the store that is known"
        )
        self.store_restorations = self.gauge(
            "store_restorations", "changes of the store's epoch since the start"
        )
        self.policy_bytes = self.gauge(
            "policy_read_bytes", "size of the answer that brought the policy"
        )
        self.policy_transfer = self.gauge(
            "policy_transfer_seconds", "transfer time of that answer"
        )
        self.read_failures = self.gauge(
            "read_failures", "failed reads of a source", ("source",)
        )
        self.response_bytes = self.gauge(
            "response_bytes", "memory of long responses of upstreams"
        )
        self.abandoned_responses = self.counter(
            "abandoned_responses", "responses given up for lack of memory"
        )
        self.request_bytes = self.gauge(
            "request_bytes", "memory of requests that are read or handled"
        )
        self.abandoned_requests = self.counter(
            "abandoned_requests", "requests given up for lack of memory"
        )
        self.reached_share = self.gauge(
            "reached_share", "part of the limits that the reached hosts have"
        )
        self.fallback_reads = self.gauge(
            "fallback_reads", "policy reads since relays confirmed it too late"
        )
        self.registrations_age = self.gauge(
            "registrations_age_seconds", "time since registrations were read"
        )
        self.hosts_reached = self.gauge(
            "hosts_reached", "hosts whose state arrives, with this one"
        )
        self.hosts_expected = self.gauge(
            "hosts_expected", "hosts that may be serving, with this one"
        )
        self.relaying = self.gauge("relaying", "1 if this host relays state")
        self.relays_heard = self.gauge(
            "relays", "relays that a relaying host knows, with itself"
        )
        self.refused_contents = self.gauge(
            "refused_contents", "requests refused after repeated breaks"
        )
        self.limited_upstreams = self.gauge(
            "limited_upstreams", "upstreams that name a limit"
        )
        labels = ("direction", "kind")
        self.exchange_messages = self.gauge(
            "exchange_messages", "messages between hosts", labels
        )
        self.exchange_bytes = self.gauge(
            "exchange_bytes", "bytes of these messages", labels
        )
        self.exchange_dropped = self.gauge(
            "exchange_dropped", "messages dropped, by reason", ("reason",)
        )

    def set_exchange(self, counts: sources.ExchangeCounts) -> None:
        """Sets the metrics of messages between hosts."""
        for direction, messages, sizes in (
            ("sent", counts.sent, counts.sent_bytes),
            ("received", counts.received, counts.received_bytes),
        ):
            for kind, count in messages.items():
                self.exchange_messages.labels(direction, kind).set(count)
                self.exchange_bytes.labels(direction, kind).set(sizes[kind])
        for reason, count in counts.dropped.items():
            self.exchange_dropped.labels(reason).set(count)

    def counter(
        self, name: str, meaning: str, labels: tuple[str, ...] = ()
    ) -> prometheus_client.Counter:
        """Registers and returns a counter."""
        return prometheus_client.Counter(
            name, meaning, labels, namespace=PREFIX, registry=self.registry
        )

    def gauge(
        self, name: str, meaning: str, labels: tuple[str, ...] = ()
    ) -> prometheus_client.Gauge:
        """Registers and returns a gauge."""
        return prometheus_client.Gauge(
            name, meaning, labels, namespace=PREFIX, registry=self.registry
        )

    def histogram(self, name: str, meaning: str) -> prometheus_client.Histogram:
        """Registers and returns a histogram of seconds, by service."""
        return prometheus_client.Histogram(
            name,
            meaning,
            ("service",),
            namespace=PREFIX,
            registry=self.registry,
            buckets=LATENCY_BUCKETS,
        )

    def render(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        text: bytes = prometheus_client.generate_latest(self.registry)
        return text
