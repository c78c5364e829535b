"""Highest fill of a token bucket since an earlier observation."""

from __future__ import annotations

from typing import NamedTuple


class FillMaximum(NamedTuple):
    """An observed fill that is higher than all later ones.

    Attributes:
        sequence: Number of the observation.
        value: Fill in tokens, plus the refunds credited since.
    """

    sequence: int
    value: float


class FillMaxima:
    """Suffix maxima of the observed fills.

    A refund may be credited only as far as the bucket would be fuller now if
    the refunded tokens had never been taken. Refill that a full bucket would
    have discarded must not be credited, or the tokens of two bursts could be
    admitted in one instant.

    Attributes:
        sequence: Number of the last observation.
        entries: Maxima, oldest and highest first.
    """

    # Maxima kept. The two oldest are merged into an upper bound of both, which
    # can only reduce a refund.
    MAX_ENTRIES = 32

    def __init__(self) -> None:
        self.sequence = 0
        self.entries: list[FillMaximum] = []

    def observe(self, fill: float) -> None:
        """Records the current fill in tokens."""
        self.sequence += 1
        while self.entries and self.entries[-1].value <= fill:
            self.entries.pop()
        self.entries.append(FillMaximum(self.sequence, fill))
        if len(self.entries) > self.MAX_ENTRIES:
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
