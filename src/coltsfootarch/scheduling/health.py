"""Ejection of failing upstreams with single probes."""

from __future__ import annotations

FIRST_EJECTION_SECONDS = 1.0
LONGEST_EJECTION_SECONDS = 30.0
PROBE_SECONDS = 10.0


class Health:
    """Whether one upstream may get work, from its consecutive failures.

    After `threshold` failures in a row the upstream is ejected for a time that
    doubles with each further ejection. Then one request probes it; its success
    restores the upstream.

    Args:
        threshold: Consecutive failures that eject.
        longest: Longest ejection in seconds.
    """

    def __init__(
        self, threshold: int = 2, longest: float = LONGEST_EJECTION_SECONDS
    ) -> None:
        self.threshold = threshold
        self.longest = longest
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
        return started is None or now - started > PROBE_SECONDS

    def dispatched(self, now: float) -> None:
        """Records a request; after an ejection it is the probe."""
        if self.ejections:
            self.probe_started = now

    def succeeded(self, now: float) -> None:
        """Records a success; one from before the ejection does not restore."""
        self.failures = 0
        if self.probe_started is not None and now >= self.ejected_until:
            self.ejections = 0
            self.probe_started = None

    def failed(self, now: float) -> None:
        """Records a failure."""
        self.failures += 1
        if self.probe_started is not None or self.failures >= self.threshold:
            self.eject(now)

    def eject(self, now: float) -> None:
        """Ejects at once; no effect while already ejected."""
        if now < self.ejected_until:
            return
        length = FIRST_EJECTION_SECONDS * 2 ** min(self.ejections, 10)
        self.ejected_until = now + min(length, self.longest)
        self.ejections += 1
        self.failures = 0
        self.probe_started = None
