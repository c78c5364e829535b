"""Estimates the pause in a decode engine's streams during a local prefill.

A prompt may arrive while no prefill engine has capacity. A decode engine can
then prefill it locally, but generates no tokens meanwhile, so that all of its
streams pause. A long prompt, or two consecutive ones, would make them pause
longer than their callers accept. The estimate is based on measured times of
prefill engines.
"""

from __future__ import annotations

# Prefill time on a decode engine as a multiple of that on a prefill engine.
LOCAL_PREFILL_SLOWDOWN = 2.0
# Time per prompt token on a prefill engine before the first measurement, in
# seconds.
DEFAULT_SECONDS_PER_TOKEN = 0.00002
# Weight of the newest measurement in the moving mean.
NEW_SAMPLE_WEIGHT = 0.05
# Fraction of the accepted pause that a prefill may take. The rest is the time
# between two events without a prefill.
MAX_PAUSE_FRACTION = 0.75


class PrefillTimes:
    """Measured prefill times of prefill engines.

    Attributes:
        seconds_per_token: Moving mean of the time per prompt token by service,
            in seconds.
    """

    def __init__(self) -> None:
        self.seconds_per_token: dict[str, float] = {}

    def record(self, service: str, tokens: int, seconds: float) -> None:
        """Adds the prefill of a prompt to the moving mean.

        Args:
            service: Service of the prompt.
            tokens: Size of the prompt.
            seconds: Time that a prefill engine took for this prompt, without
                the prompts that were queued before it.
        """
        if tokens <= 0:
            return
        mean = self.seconds_per_token.get(service, DEFAULT_SECONDS_PER_TOKEN)
        mean += NEW_SAMPLE_WEIGHT * (seconds / tokens - mean)
        self.seconds_per_token[service] = mean

    def stream_pause(self, service: str, tokens: int) -> float:
        """Returns how many seconds a local prefill pauses the streams."""
        seconds_per_token = self.seconds_per_token.get(
            service, DEFAULT_SECONDS_PER_TOKEN
        )
        return LOCAL_PREFILL_SLOWDOWN * seconds_per_token * tokens

    def is_pause_accepted(
        self, service: str, tokens: int, max_gap_s: float
    ) -> bool:
        """Returns whether callers accept the pause that a local prefill causes.

        Args:
            service: Service of the prompt.
            tokens: Size of the prompt.
            max_gap_s: Maximum pause that callers accept, in seconds.
        """
        return (
            self.stream_pause(service, tokens) <= MAX_PAUSE_FRACTION * max_gap_s
        )
