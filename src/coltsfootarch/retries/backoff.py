"""Exponential backoff with full jitter."""

from __future__ import annotations

import datetime
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

DEFAULT_BASE = datetime.timedelta(milliseconds=25)
DEFAULT_LIMIT = datetime.timedelta(seconds=1)
# Limits the doubling, since `timedelta` overflows with large exponents.
MAX_EXPONENT = 30


class Backoff:
    """Computes random delays before retries.

    Args:
        generator: Source of randomness for the jitter.
        base: Upper bound of the first delay.
        limit: Upper bound of every delay.
    """

    def __init__(
        self,
        generator: random.Random,
        base: datetime.timedelta = DEFAULT_BASE,
        limit: datetime.timedelta = DEFAULT_LIMIT,
    ) -> None:
        self.generator = generator
        self.base = base
        self.limit = limit

    def delay(self, retry: int) -> datetime.timedelta:
        """Returns a random delay between zero and the bound of a retry.

        The bound doubles with each retry, up to the limit.

        Args:
            retry: Number of the retry, starting at 1.

        Raises:
            ValueError: `retry` is below 1.
        """
        if retry < 1:
            raise ValueError("retries are counted from 1")
        exponent = min(retry - 1, MAX_EXPONENT)
        bound = min(self.base * (1 << exponent), self.limit)
        return bound * self.generator.random()
