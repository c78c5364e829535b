"""Directory of registered upstreams and which of them take requests."""

from __future__ import annotations

import enum
import types
from typing import TYPE_CHECKING
from typing import NamedTuple

import structlog
import xxhash

from coltsfootarch.fleet import departures
from coltsfootarch.fleet import store_epochs

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping

    from coltsfootarch import clock as clocks
    from coltsfootarch.fleet import reports

# Time in which running upstreams register again after an outage of the table
# service, in seconds. Until then a missing entry doesn't mean that an upstream
# left.
REREGISTRATION_S = 2.0
# Time after the start of the last failed read until which missing entries are
# kept at the latest. The outage may have ended right after that start, and it
# may have been one of this host only: then the upstreams have left for good.
RETAINED_AFTER_FAILURE_S = 2.5
# A read that is older than this is not reported to peers.
MAX_REPORTED_AGE_S = 1.0
# A change is included in reports for this time, which covers lost reports.
CHANGE_REPORTED_S = 1.5
# Larger changes, as after a start, are not reported; each host reads them.
MAX_REPORTED_ENTRIES = 20
# Usual upper bound of the time from sending a report to handling it, in
# seconds.
DELIVERY_S = 0.1
# A read that follows the previous one after a longer time counts as the first
# after an outage.
OUTAGE_S = 2.5
START = store_epochs.Position(0, 0)
NO_REVISIONS: Mapping[str, int] = types.MappingProxyType({})

logger = structlog.get_logger(__name__)


class Stage(enum.Enum):
    """Stage of inference that a model engine runs."""

    PREFILL = "prefill"
    DECODE = "decode"


class Upstream(NamedTuple):
    """Registration of one incarnation of a back end.

    Attributes:
        id: Id of this incarnation.
        service: Name of the service that it belongs to.
        address: "ip:port".
        availability_zone: Availability zone in which it runs.
        ready: Whether it accepts new requests; False while it drains.
        slots: Number of requests that it runs at once.
        stage: Stage of a model engine; None for a plain service.
        started_ms: Unix time of its start in milliseconds, 0 if unknown.
        version: Version of its software; empty if unknown.
    """

    id: str
    service: str
    address: str
    availability_zone: str
    ready: bool
    slots: int
    stage: Stage | None = None
    started_ms: int = 0
    version: str = ""

    @property
    def incarnation(self) -> str:
        """Name of this incarnation; empty if its start isn't known."""
        return f"{self.id}@{self.started_ms}" if self.started_ms else ""


class Change(NamedTuple):
    """A change of the directory's entries.

    Attributes:
        at: Instant of the change, in seconds.
        base: Digest of the entries before the change.
        changed: Entries that were added or replaced.
        removed: Ids of the entries that were removed.
    """

    at: float
    base: int
    changed: tuple[Upstream, ...]
    removed: tuple[str, ...]


class UpstreamDirectory:
    """Registered upstreams as of the last read of the table service.

    Args:
        clock: Source of time.
        epochs: Epochs of the table service.

    Attributes:
        accepts: Returns whether an upstream may get requests from this host at
            present, by what it has stated itself.
        is_open: The same for a request that is prepared for an upstream.
        failed_at: Instant at which the last failed read began, in seconds.
        departures: Upstreams that drain or have left.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        epochs: store_epochs.StoreEpochs | None = None,
    ) -> None:
        self.clock = clock
        self.epochs = epochs or store_epochs.StoreEpochs(clock)
        self.departures = departures.Departures(clock)
        self.accepts: Callable[[Upstream], bool] = lambda _: True
        self.is_open: Callable[[Upstream], bool] = lambda _: True
        self.upstreams: dict[str, Upstream] = {}
        self.by_service: dict[str, list[Upstream]] = {}
        self.absent_since: dict[str, float] = {}
        self.rejected: set[str] = set()
        self.read_at = float("-inf")
        self.failed_at = float("-inf")
        self.grace_until = float("-inf")
        self.digest = 0
        self.outdated = False
        self.position: store_epochs.Position | None = None
        self.change: Change | None = None
        self.on_change: list[Callable[[], object]] = []

    def replace(
        self,
        entries: dict[str, Upstream],
        position: store_epochs.Position = START,
        revisions: Mapping[str, int] = NO_REVISIONS,
    ) -> None:
        """Applies a complete list; entries missing from it are removed.

        After a restoration of the table service, entries of upstreams that are
        known to drain or to have left don't count, and missing ones have time
        to register again.
        """
        is_restored = (
            self.position is not None and position.epoch > self.position.epoch
        )
        if is_restored or self.position is None:
            self.departures.begin_epoch()
            for entry in entries.values():
                if self.departures.has_left(entry):
                    self.departures.mark_outdated(
                        entry.id, revisions.get(entry.id, position.revision)
                    )
        removed = [key for key in self.upstreams if key not in entries]
        self.update(entries.values(), removed, position, revisions, is_restored)

    def update(
        self,
        entries: Iterable[Upstream],
        removed: Iterable[str],
        position: store_epochs.Position = START,
        revisions: Mapping[str, int] = NO_REVISIONS,
        is_restored: bool = False,
    ) -> None:
        """Applies the changes since the previous read.

        Args:
            entries: Entries that may be new or changed.
            removed: Ids of removed entries. After an outage they are kept until
                upstreams had time to register again.
            position: Place in the store's history as of this read.
            revisions: Revision of each entry's row by its id.
            is_restored: Whether the table service was restored from a copy
                since the previous read.
        """
        self.record_read()
        self.position = position
        now = self.clock.monotonic()
        if is_restored:
            self.grace_until = max(self.grace_until, now + REREGISTRATION_S)
        entries = [
            upstream
            for upstream in entries
            if not self.departures.is_outdated(
                upstream.id, revisions.get(upstream.id, position.revision)
            )
        ]
        for key in removed:
            if key in self.upstreams:
                self.absent_since.setdefault(key, now)
        changed = [
            upstream
            for upstream in entries
            if self.absent_since.pop(upstream.id, None) is not None
            or self.upstreams.get(upstream.id) != upstream
        ]
        self.apply(changed, self.expired())

    def apply(
        self, changed: Iterable[Upstream], removed: Iterable[str]
    ) -> None:
        """Changes entries and keeps the change for reports to peers."""
        base = self.digest
        updated = {
            upstream.id: upstream
            for upstream in changed
            if self.upstreams.get(upstream.id) != upstream
        }
        dropped = [key for key in removed if key in self.upstreams]
        for key in dropped:
            self.departures.record(self.upstreams.pop(key))
            self.absent_since.pop(key, None)
            self.rejected.discard(key)
            logger.info("upstream removed", upstream=key)
        for upstream in updated.values():
            self.put(upstream)
        if not updated and not dropped:
            return
        self.rebuild()
        self.change = Change(
            self.clock.monotonic(),
            base,
            tuple(updated.values()),
            tuple(dropped),
        )

    def record_read(self) -> None:
        """Records a read; starts the grace period if it ends an outage."""
        now = self.clock.monotonic()
        self.outdated = False
        if self.upstreams and now - self.read_at > OUTAGE_S:
            self.grace_until = now + REREGISTRATION_S
            if self.failed_at > self.read_at:
                self.grace_until = min(
                    self.grace_until, self.failed_at + RETAINED_AFTER_FAILURE_S
                )
        self.read_at = now

    def put(self, upstream: Upstream) -> None:
        """Adds or replaces an entry."""
        self.upstreams[upstream.id] = upstream
        if upstream.ready:
            self.departures.forget(upstream)
        else:
            self.departures.record(upstream)
        self.rejected.discard(upstream.id)
        logger.info(
            "upstream registered",
            upstream=upstream.id,
            service=upstream.service,
            address=upstream.address,
            ready=upstream.ready,
            stage=upstream.stage.value if upstream.stage else None,
            version=upstream.version,
        )

    def reject(self, upstream_id: str) -> None:
        """Excludes an upstream whose address another one now uses."""
        self.rejected.add(upstream_id)

    def expire(self) -> None:
        """Removes entries that stayed absent after the grace period."""
        self.apply((), self.expired())

    def expired(self) -> list[str]:
        """Returns the ids of absent entries; none during the grace period."""
        if self.clock.monotonic() < self.grace_until:
            return []
        return list(self.absent_since)

    def rebuild(self) -> None:
        """Groups the ready upstreams by service and updates the digest.

        Peers compare the digest. It covers the field names of `Upstream` too,
        so that hosts whose versions differ in them read entries themselves.
        """
        groups: dict[str, list[Upstream]] = {}
        for upstream in self.upstreams.values():
            if upstream.ready:
                groups.setdefault(upstream.service, []).append(upstream)
        self.by_service = groups
        seed = repr(sorted(self.upstreams.values(), key=lambda each: each.id))
        self.digest = xxhash.xxh64_intdigest(seed.encode())
        for notify in self.on_change:
            notify()

    def age(self) -> float:
        """Returns the seconds since the last read, here or by a peer."""
        return self.clock.monotonic() - self.read_at

    def add_to_report(self, report: reports.Report) -> reports.Report:
        """Adds the digest and last change; see `reports.Participant`."""
        if self.epochs.since_restoration_s() <= departures.TOLD_S:
            report = report._replace(departed=self.departures.told())
        age = self.age()
        if not self.upstreams or age > MAX_REPORTED_AGE_S:
            return report
        position = self.position or START
        if position.epoch < report.store_epoch:
            # Read before the restoration that this host knows of.
            return report
        report = report._replace(
            directory=self.digest,
            directory_age_ms=int(age * 1000),
            directory_revision=position.revision,
        )
        change = self.change
        if (
            change is None
            or len(change.changed) > MAX_REPORTED_ENTRIES
            or self.clock.monotonic() - change.at > CHANGE_REPORTED_S
        ):
            return report
        return report._replace(
            directory_base=change.base,
            directory_changed=change.changed,
            directory_removed=change.removed,
        )

    def apply_report(self, report: reports.Report, continuous: bool) -> None:
        """Merges a peer's read of the entries; see `reports.Participant`.

        This host needs no read of its own if the peer's read was later and
        either shows the same entries or differs by the one change that the
        peer reports. If it differs otherwise, the entries are marked as
        outdated, so that this host reads them at once.
        """
        if report.departed:
            self.learn_departures(report.departed)
        if report.directory_age_ms < 0 or not continuous:
            return
        age = report.directory_age_ms / 1000 + DELIVERY_S
        read_at = self.clock.monotonic() - age
        if read_at <= self.read_at or self.position is None:
            return
        # A report that states no epoch is of the first one.
        epoch = report.store_epoch or min(
            self.position.epoch, store_epochs.FIRST_EPOCH
        )
        if epoch < self.position.epoch:
            return
        if report.directory_base == self.digest != report.directory:
            self.apply(report.directory_changed, report.directory_removed)
        if report.directory != self.digest:
            self.outdated = True
            return
        self.read_at = read_at
        self.position = max(
            self.position,
            store_epochs.Position(epoch, report.directory_revision),
        )

    def learn_departures(self, names: tuple[str, ...]) -> None:
        """Drops entries whose upstreams have left, as another host knows.

        A host that started after a restoration has read them from the copy.
        """
        learned = self.departures.learn(names)
        left = [
            upstream
            for upstream in self.upstreams.values()
            if upstream.ready and departures.incarnation(upstream) in learned
        ]
        position = self.position or START
        for upstream in left:
            self.departures.mark_outdated(upstream.id, position.revision)
        if left:
            self.apply((), [upstream.id for upstream in left])

    def candidates(self, service: str) -> list[Upstream]:
        """Returns the upstreams of a service that accept new requests."""
        return list(filter(self.accepts, self.members(service)))

    def members(self, service: str) -> list[Upstream]:
        """Returns the ready upstreams of a service.

        Some may accept no new requests at the moment.
        """
        return [
            upstream
            for upstream in self.by_service.get(service, ())
            if upstream.id not in self.rejected
        ]

    def is_serving(self, upstream_id: str) -> bool:
        """Returns whether an upstream accepts new requests."""
        upstream = self.upstreams.get(upstream_id)
        return (
            upstream is not None
            and upstream.ready
            and upstream_id not in self.rejected
            and self.is_open(upstream)
        )
