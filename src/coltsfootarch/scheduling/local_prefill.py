"""Pauses in the streams of a decode engine that prefills a prompt itself.

A prompt may arrive while no prefill engine has capacity. A decode engine then
prefills it between the tokens of its streams, so that a long prompt, or two
consecutive ones, makes all of its streams pause longer than their callers
accept.
"""

from __future__ import annotations

# Prefill time on a decode engine as a multiple of that on a prefill engine.
LOCAL_PREFILL_SLOWDOWN = 2.0
# Time per prompt token on a prefill engine until one was measured, in seconds.
DEFAULT_SECONDS_PER_TOKEN = 0.00002
# Weight of the newest measurement in the mean.
NEW_SAMPLE_WEIGHT = 0.05
# Fraction of the accepted pause that a prefill may take. The rest is the time
# between two events without a prefill.
MAX_PAUSE_FRACTION = 0.75


class PrefillTimes:
    """Measured prefill times.

    Attributes:
        seconds_per_token: Mean time per prompt token by service, in seconds.
    """

    def __init__(self) -> None:
        self.seconds_per_token: dict[str, float] = {}

    def record(self, service: str, tokens: int, seconds: float) -> None:
        """Adds the prefill of a prompt to the mean.

        Args:
            service: Service of the prompt.
            tokens: Size of the prompt.
            seconds: Time that a prefill engine took for this prompt alone.
        """
        if tokens <= 0:
            return
        mean = self.seconds_per_token.get(service, DEFAULT_SECONDS_PER_TOKEN)
        mean += NEW_SAMPLE_WEIGHT * (seconds / tokens - mean)
        self.seconds_per_token[service] = mean

    def stream_pause(self, service: str, tokens: int) -> float:
        """Returns how many seconds the prefill of a prompt pauses streams."""
        seconds_per_token = self.seconds_per_token.get(
            service, DEFAULT_SECONDS_PER_TOKEN
        )
        return LOCAL_PREFILL_SLOWDOWN * seconds_per_token * tokens

    def is_pause_accepted(
        self, service: str, tokens: int, max_gap_s: float
    ) -> bool:
        """Returns whether callers accept the pause that a prompt causes.

        Args:
            service: Service of the prompt.
            tokens: Size of the prompt.
            max_gap_s: Maximum pause that callers accept, in seconds.
        """
        return (
            self.stream_pause(service, tokens) <= MAX_PAUSE_FRACTION * max_gap_s
        )
