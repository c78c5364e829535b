"""Metrics sent to statsd; `docs/metrics.md` lists them."""

from __future__ import annotations

from typing import NamedTuple
from typing import Protocol

import statsd

PREFIX = "coltsfootarch"


class Metric(NamedTuple):
    """A metric that hosts send.

    Attributes:
        name: Name without the prefix.
        kind: "counter", "timing" (milliseconds) or "gauge".
        meaning: What it counts or measures.
    """

    name: str
    kind: str
    meaning: str


REQUESTS = Metric("requests", "counter", "requests that reached a pipeline")
REFUSALS = Metric(
    "refusals", "counter", "requests refused; the result number is appended"
)
FIRST_TOKEN = Metric("first_token", "timing", "time to first token")
TOKENS = Metric("tokens", "counter", "generated tokens relayed to callers")
STREAM_RESUMES = Metric(
    "stream_resumes", "counter", "engine streams resumed on a new connection"
)
REPLACEMENTS = Metric(
    "replacements", "counter", "requests placed again after an engine failed"
)
CALLER_RESUMES = Metric(
    "caller_resumes", "counter", "requests that a caller resumed at this host"
)
RESTARTS = Metric(
    "restarts", "counter", "resumed requests whose answer started over"
)
PREFILLS_WASTED = Metric(
    "prefills_wasted", "counter", "prefill results that no decode used"
)
CALLS = Metric("calls", "counter", "calls to plain services")
CALL_RETRIES = Metric(
    "call_retries", "counter", "idempotent calls sent to another upstream"
)
REPLAYS = Metric(
    "replays", "counter", "recorded outcomes returned for a repeated key"
)
IN_PROGRESS = Metric("in_progress", "gauge", "requests in progress")
SHARDS_HELD = Metric("shards_held", "gauge", "shards held by this host")
CONFIG_VERSION = Metric(
    "config_version", "gauge", "configuration version in force"
)
CONFIRMED_AGE = Metric(
    "confirmed_age", "gauge", "seconds since the configuration was confirmed"
)
TICK_FAILURES = Metric(
    "tick_failures", "counter", "periodic tasks that raised an error"
)


def all_metrics() -> list[Metric]:
    """Returns all metrics, sorted by name."""
    metrics = [
        value for value in globals().values() if isinstance(value, Metric)
    ]
    return sorted(metrics, key=lambda metric: metric.name)


class Metrics(Protocol):
    """Receiver of metrics."""

    def increment(
        self, metric: Metric, count: int = 1, suffix: str = ""
    ) -> None:
        """Adds `count` to a counter.

        Args:
            metric: The counter.
            count: Number to add.
            suffix: Appended to the metric's name after a dot, if not empty.
        """

    def timing(self, metric: Metric, seconds: float) -> None:
        """Records a duration in seconds."""

    def gauge(self, metric: Metric, value: float) -> None:
        """Sets the value of a gauge."""


class StatsdMetrics:
    """Sends metrics by UDP to a statsd daemon.

    Args:
        host: IP address of the daemon.
        port: UDP port of the daemon.
    """

    def __init__(self, host: str, port: int) -> None:
        self.client = statsd.StatsClient(host, port, prefix=PREFIX)

    def increment(
        self, metric: Metric, count: int = 1, suffix: str = ""
    ) -> None:
        """Sends an increment of a counter."""
        name = f"{metric.name}.{suffix}" if suffix else metric.name
        self.client.incr(name, count)

    def timing(self, metric: Metric, seconds: float) -> None:
        """Sends a duration, in milliseconds."""
        self.client.timing(metric.name, seconds * 1000)

    def gauge(self, metric: Metric, value: float) -> None:
        """Sends the value of a gauge."""
        self.client.gauge(metric.name, value)


class NullMetrics:
    """Discards metrics; for hosts without a statsd address."""

    def increment(
        self, metric: Metric, count: int = 1, suffix: str = ""
    ) -> None:
        """Does nothing."""

    def timing(self, metric: Metric, seconds: float) -> None:
        """Does nothing."""

    def gauge(self, metric: Metric, value: float) -> None:
        """Does nothing."""
