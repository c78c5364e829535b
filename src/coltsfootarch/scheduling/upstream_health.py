"""Ejection of failing upstreams, with single requests as probes."""

from __future__ import annotations

# Duration of the first ejection; it doubles with each further one.
INITIAL_EJECTION_SECONDS = 1.0
MAX_EJECTION_SECONDS = 30.0
# Another probe may be sent if the previous one has no outcome after this time.
PROBE_TIMEOUT_SECONDS = 10.0


class Health:
    """Health of one upstream, derived from its consecutive failures.

    After `failure_threshold` consecutive failures the upstream is ejected for a
    time that doubles with each further ejection. Then a single request is sent
    as a probe; its success restores the upstream.

    Args:
        failure_threshold: Consecutive failures that cause an ejection.
        max_ejection_seconds: Maximum duration of an ejection.

    Attributes:
        failures: Consecutive failures since the last success or ejection.
        ejections: Ejections since the upstream was last healthy.
        ejected_until: Monotonic instant at which the ejection ends.
        probe_started: Monotonic instant of the probe, None without one.
    """

    def __init__(
        self,
        failure_threshold: int = 2,
        max_ejection_seconds: float = MAX_EJECTION_SECONDS,
    ) -> None:
        self.failure_threshold = failure_threshold
        self.max_ejection_seconds = max_ejection_seconds
        self.failures = 0
        self.ejections = 0
        self.ejected_until = 0.0
        self.probe_started: float | None = None

    def usable(self, now: float) -> bool:
        """Returns whether a request may be sent now."""
        if not self.ejections:
            return True
        if now < self.ejected_until:
            return False
        started = self.probe_started
        return started is None or now - started > PROBE_TIMEOUT_SECONDS

    def record_dispatch(self, now: float) -> None:
        """Records a request; after an ejection it is the probe."""
        if self.ejections:
            self.probe_started = now

    def withdraw_dispatch(self) -> None:
        """Records that the probe isn't sent, so that another one may be."""
        self.probe_started = None

    def record_success(self, now: float) -> None:
        """Records a success; it ends an ejection only if a probe was sent.

        A request from before the ejection does not restore the upstream.
        """
        self.failures = 0
        if self.probe_started is not None and now >= self.ejected_until:
            self.ejections = 0
            self.probe_started = None

    def record_failure(self, now: float) -> None:
        """Records a failure."""
        self.failures += 1
        if (
            self.probe_started is not None
            or self.failures >= self.failure_threshold
        ):
            self.eject(now)

    def eject(self, now: float) -> None:
        """Ejects the upstream; has no effect during an ejection."""
        if now < self.ejected_until:
            return
        seconds = INITIAL_EJECTION_SECONDS * 2 ** min(self.ejections, 10)
        self.ejected_until = now + min(seconds, self.max_ejection_seconds)
        self.ejections += 1
        self.failures = 0
        self.probe_started = None
