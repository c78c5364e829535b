"""Rows of the store that name the software versions of a service."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import Protocol

if TYPE_CHECKING:
    from coltsfootarch.fleet import store_epochs


class VersionState(NamedTuple):
    """Row of a service.

    Attributes:
        base: Version of streams that aren't recorded.
        others: Other versions, with the instant at which each was added, by the
            store's clock in milliseconds.
        epoch: Epoch of the store in which the row was written.
        uncertain_until_ms: Instant until which unrecorded streams may be of any
            version, since a restoration of the store may have lost records; by
            the store's clock.
    """

    base: str
    others: dict[str, int]
    epoch: int = 0
    uncertain_until_ms: int = 0


class StoredVersions(NamedTuple):
    """Answer to the read of a service's row.

    Attributes:
        state: The row; None if there is none or it can't be decoded.
        position: Position of the row in the store's history; revision 0 if
            there is none.
        now_ms: The store's clock, in milliseconds.
    """

    state: VersionState | None
    position: store_epochs.Position
    now_ms: int


class ReadFailure(NamedTuple):
    """A read of a row that failed.

    Attributes:
        read_at: Instant at which it was sent, in seconds.
        reason: What failed.
    """

    read_at: float
    reason: str


class VersionTable(Protocol):
    """Durable rows of the services' versions."""

    def read(self, service: str) -> StoredVersions:
        """Returns the row of a service.

        Raises:
            errors.PlatformError: The store did not answer usably.
        """

    def replace(
        self, service: str, state: VersionState, position: store_epochs.Position
    ) -> bool:
        """Writes the row of a service if it is still at a position.

        Returns:
            Whether it was written.

        Raises:
            errors.PlatformError: It may or may not have been written.
        """


class KnownVersions:
    """What this host knows of a service's row.

    Args:
        state: The row.
        clock_offset_ms: The store's clock less this host's monotonic one, in
            milliseconds.
        read_at: Instant at which the last read was sent, in seconds.

    Attributes:
        absent_since: Instant since which no engine of a version has been
            registered, in seconds, by version.
        confirmed_at: Instant, in seconds, as of which the base is known to be
            the row's: that of the last read, or a later one at which no other
            version had been registered.
        is_outdated: Whether a version has been registered that it lacks.
    """

    def __init__(
        self, state: VersionState, clock_offset_ms: float, read_at: float
    ) -> None:
        self.state = state
        self.clock_offset_ms = clock_offset_ms
        self.read_at = read_at
        self.absent_since: dict[str, float] = {}
        self.confirmed_at = read_at
        self.is_outdated = False
