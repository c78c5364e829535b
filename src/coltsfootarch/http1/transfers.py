"""Limits and measurement of the transfer of a response."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from coltsfootarch import clock as clocks


class Transfer(NamedTuple):
    """Size and duration of a response, which may be incomplete.

    Attributes:
        size_bytes: Bytes of the body.
        first_byte_s: Time from sending the request to the first byte of the
            response, in seconds.
        received_s: Time from the first to the last byte, in seconds.
        silent_s: Time since the last byte, or since the request was sent, when
            the transfer ended, in seconds.
    """

    size_bytes: int = 0
    first_byte_s: float = 0.0
    received_s: float = 0.0
    silent_s: float = 0.0

    def plus(self, other: Transfer) -> Transfer:
        """Returns this transfer followed by another one."""
        return Transfer(
            self.size_bytes + other.size_bytes,
            self.first_byte_s + other.first_byte_s,
            self.received_s + other.received_s,
            other.silent_s,
        )

    def __str__(self) -> str:
        return (
            f"{self.size_bytes} bytes received in {self.received_s:.3f} s, "
            f"first after {self.first_byte_s:.3f} s, "
            f"silent for {self.silent_s:.3f} s"
        )


class TransferLimits(NamedTuple):
    """Limits for a response whose size isn't known beforehand.

    The time for the first byte is limited by itself. From then on a response
    may take as long as its bytes keep arriving, since a repeated request would
    take as long again.

    Attributes:
        first_byte_s: Longest time until the first byte, in seconds.
        silence_s: Longest time between two bytes, in seconds.
        min_bytes_per_s: Lowest mean rate of the body after `silence_s`, so that
            single bytes don't extend the transfer forever.
        max_bytes: Largest size of the body, in bytes.
    """

    first_byte_s: float
    silence_s: float
    min_bytes_per_s: float
    max_bytes: int


class ResponseTooLargeError(Exception):
    """The body is longer than `TransferLimits.max_bytes`."""


class Progress:
    """Records the progress of the response to a request sent now.

    Args:
        clock: Source of time.
        limits: Limits of the transfer.
    """

    def __init__(self, clock: clocks.Clock, limits: TransferLimits) -> None:
        self.clock = clock
        self.limits = limits
        self.size_bytes = 0
        self.sent_at = clock.monotonic()
        self.first_at: float | None = None
        self.last_at = self.sent_at

    def time_left(self) -> float:
        """Returns the seconds in which more bytes must arrive."""
        limits = self.limits
        if self.first_at is None:
            ends_at = self.sent_at + limits.first_byte_s
        else:
            expected_s = self.size_bytes / limits.min_bytes_per_s
            ends_at = limits.silence_s + min(
                self.last_at, self.first_at + expected_s
            )
        return ends_at - self.clock.monotonic()

    def record(self, size_bytes: int) -> None:
        """Records the arrival of a head or of bytes of the body.

        Raises:
            ResponseTooLargeError: The body exceeds its limit.
        """
        self.last_at = self.clock.monotonic()
        if self.first_at is None:
            self.first_at = self.last_at
        self.size_bytes += size_bytes
        self.expect(self.size_bytes)

    def expect(self, size_bytes: int) -> None:
        """Checks the size of the body, as far as it is known.

        Raises:
            ResponseTooLargeError: The body exceeds its limit.
        """
        if size_bytes > self.limits.max_bytes:
            raise ResponseTooLargeError(
                f"body longer than {self.limits.max_bytes} bytes"
            )

    def transfer(self) -> Transfer:
        """Returns the size and duration up to now."""
        first_at = self.sent_at if self.first_at is None else self.first_at
        return Transfer(
            self.size_bytes,
            first_at - self.sent_at,
            self.last_at - first_at,
            self.clock.monotonic() - self.last_at,
        )
