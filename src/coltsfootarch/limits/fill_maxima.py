"""Highest fill of a token bucket since a moment in its past."""

from __future__ import annotations

from typing import NamedTuple


class FillMaximum(NamedTuple):
    """A fill that no later one has reached.

    Attributes:
        sequence: Number of the observation.
        value: Fill in tokens, with the refunds credited since.
    """

    sequence: int
    value: float


class FillMaxima:
    """Suffix maxima of the observed fills.

    A refund may be credited only as far as the bucket would be fuller now,
    had the refunded tokens never been taken. Refill that the bucket would
    have had to discard must not come back, or the tokens of two bursts could
    be admitted in one instant.
    """

    LIMIT = 32  # maxima kept; older ones are merged to the safe side

    def __init__(self) -> None:
        self.sequence = 0
        self.entries: list[FillMaximum] = []

    def observe(self, fill: float) -> None:
        """Records the current fill in tokens."""
        self.sequence += 1
        while self.entries and self.entries[-1].value <= fill:
            self.entries.pop()
        self.entries.append(FillMaximum(self.sequence, fill))
        if len(self.entries) > self.LIMIT:
            oldest, second = self.entries[:2]
            self.entries[:2] = [FillMaximum(second.sequence, oldest.value)]

    def highest_since(self, sequence: int) -> float:
        """Returns the highest fill observed after observation `sequence`."""
        for maximum in self.entries:
            if maximum.sequence > sequence:
                return maximum.value
        return 0.0

    def credit(self, sequence: int, tokens: float) -> None:
        """Adds a refund to every fill observed after `sequence`."""
        raised: list[FillMaximum] = []
        for maximum in self.entries:
            if maximum.sequence > sequence:
                maximum = FillMaximum(maximum.sequence, maximum.value + tokens)
            while raised and raised[-1].value <= maximum.value:
                raised.pop()
            raised.append(maximum)
        self.entries = raised
