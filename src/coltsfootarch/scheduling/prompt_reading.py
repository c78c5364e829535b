"""Pauses in the streams of a decode engine that reads a prompt itself.

Answers prompts that come while no prefill engine has room: a decode engine
reads them between the tokens of its streams, so that a long prompt, or two in
a row, makes all of its streams pause longer than their callers accept.
"""

from __future__ import annotations

# How many times longer than a prefill engine a decode engine takes.
READING_SLOWDOWN = 2.0
# Time per prompt token at a prefill engine before any was measured, in seconds.
DEFAULT_TOKEN_S = 0.00002
# Weight of the newest measurement in the mean.
WEIGHT = 0.05
# Part of the accepted pause that reading may take; the rest is the time between
# two events without it.
PAUSE_PART = 0.75


class ReadingTimes:
    """Measured times of prompts at prefill engines."""

    def __init__(self) -> None:
        self.token_times: dict[str, float] = {}

    def note(self, service: str, tokens: int, seconds: float) -> None:
        """Counts a prompt.

        Args:
            service: Its service.
            tokens: Its size.
            seconds: Time that a prefill engine took for it alone.
        """
        if tokens <= 0:
            return
        mean = self.token_times.get(service, DEFAULT_TOKEN_S)
        mean += WEIGHT * (seconds / tokens - mean)
        self.token_times[service] = mean

    def pause(self, service: str, tokens: int) -> float:
        """Returns the seconds that streams pause at a decode engine."""
        token_time = self.token_times.get(service, DEFAULT_TOKEN_S)
        return READING_SLOWDOWN * token_time * tokens

    def is_accepted(self, service: str, tokens: int, gap_s: float) -> bool:
        """Returns whether streams bear the pause.

        Args:
            service: Service of the prompt.
            tokens: Its size.
            gap_s: Longest pause that callers accept, in seconds.
        """
        return self.pause(service, tokens) <= PAUSE_PART * gap_s
