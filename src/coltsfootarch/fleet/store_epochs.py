"""Epochs of the store's history, which a restoration from a copy divides."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

import structlog

if TYPE_CHECKING:
    from collections.abc import Callable

    from coltsfootarch import clock as clocks
    from coltsfootarch.fleet import reports

# Epoch of a store that was never restored. Reports state later ones only, so
# that hosts of earlier builds can decode them until the first restoration.
FIRST_EPOCH = 1

logger = structlog.get_logger(__name__)


class Position(NamedTuple):
    """Place in the store's history; positions compare in its order.

    Attributes:
        epoch: Epoch of the store. A store that is restored from a copy begins
            a new one, in which it gives out revisions again.
        revision: Revision of the store in this epoch.
    """

    epoch: int
    revision: int


class StoreEpochs:
    """Newest epoch of the store that this host knows.

    Args:
        clock: Source of time.

    Attributes:
        epoch: The epoch; 0 until the store has stated one.
        is_known: Whether it was stated.
        restored_at: Instant at which this host learned of the last
            restoration, in seconds.
        restorations: Number of restorations since this host started.
        on_restored: Called after each change of a known epoch.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.clock = clock
        self.epoch = 0
        self.is_known = False
        self.restored_at = float("-inf")
        self.restorations = 0
        self.on_restored: list[Callable[[], object]] = []

    def observe(self, epoch: int, source: str) -> None:
        """Records an epoch that the store or another host has stated.

        Args:
            epoch: The epoch.
            source: Who stated it, for the log.
        """
        previous = self.epoch
        if self.is_known and epoch <= previous:
            return
        was_known, self.is_known = self.is_known, True
        self.epoch = epoch
        if not was_known:
            logger.info("store epoch", epoch=epoch, source=source)
            return
        self.restored_at = self.clock.monotonic()
        self.restorations += 1
        logger.warning(
            "store restored", epoch=epoch, previous=previous, source=source
        )
        for notify in self.on_restored:
            notify()

    def add_to_report(self, report: reports.Report) -> reports.Report:
        """Adds the epoch after a restoration; see `reports.Participant`."""
        if self.epoch <= FIRST_EPOCH:
            return report
        return report._replace(store_epoch=self.epoch)

    def apply_report(self, report: reports.Report, continuous: bool) -> None:
        """Notes the epoch that a peer knows; see `reports.Participant`."""
        if report.store_epoch:
            self.observe(report.store_epoch, report.host)

    def since_restoration_s(self) -> float:
        """Returns the seconds since the last restoration, if there was one.

        Returns:
            Infinity if this host knows of none.
        """
        return self.clock.monotonic() - self.restored_at
