"""The upstreams that may get requests."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING
from typing import NamedTuple

import structlog
import xxhash

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from coltsfootarch import clock as clocks
    from coltsfootarch.fleet import reports

# After an outage of the table service live upstreams register again within
# about this time, in seconds; until then a missing entry proves nothing.
REREGISTRATION_S = 2.0
# Reads that are older than this are not reported.
MAX_REPORTED_AGE_S = 1.0
# A change is reported for this time; it covers lost reports.
CHANGE_REPORTED_S = 1.5
# Longer changes, as after a start, are read by each host.
MAX_REPORTED_ENTRIES = 20
# Longest usual time between sending a report and reading it, in seconds.
DELIVERY_S = 0.1
# A read that comes this long after the one before counts as after an outage.
OUTAGE_S = 2.5

logger = structlog.get_logger(__name__)


class Stage(enum.Enum):
    """Part of the work that a model engine does."""

    PREFILL = "prefill"
    DECODE = "decode"


class Upstream(NamedTuple):
    """One incarnation of a back end.

    Attributes:
        id: Identity of this incarnation.
        service: Service that it belongs to.
        address: "ip:port".
        availability_zone: Where it runs.
        ready: Whether it takes new requests; False while it drains.
        slots: Requests that it runs at once.
        stage: Stage of a model engine; None for a plain service.
        started_ms: Unix time of its start in milliseconds, 0 if unknown.
    """

    id: str
    service: str
    address: str
    availability_zone: str
    ready: bool
    slots: int
    stage: Stage | None = None
    started_ms: int = 0


class Change(NamedTuple):
    """Last change of the entries.

    Attributes:
        at: Instant of the change, in seconds.
        base: Digest of the entries before it.
        changed: Entries that it added or replaced.
        removed: Ids of the entries that it removed.
    """

    at: float
    base: int
    changed: tuple[Upstream, ...]
    removed: tuple[str, ...]


class UpstreamDirectory:
    """Registered upstreams, as last read from the table service.

    Args:
        clock: Source of time.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.clock = clock
        self.upstreams: dict[str, Upstream] = {}
        self.by_service: dict[str, list[Upstream]] = {}
        self.absent_since: dict[str, float] = {}
        self.rejected: set[str] = set()
        self.read_at = float("-inf")
        self.grace_until = float("-inf")
        self.digest = 0
        self.outdated = False
        self.revision: int | None = None
        self.change: Change | None = None
        self.on_change: list[Callable[[], object]] = []

    def replace(self, entries: dict[str, Upstream], revision: int = 0) -> None:
        """Takes a whole list; entries that it lacks are gone."""
        removed = [key for key in self.upstreams if key not in entries]
        self.update(entries.values(), removed, revision)

    def update(
        self,
        entries: Iterable[Upstream],
        removed: Iterable[str],
        revision: int = 0,
    ) -> None:
        """Takes the changes since the read before.

        Args:
            entries: Entries that may be new or changed.
            removed: Ids of entries that are gone.
            revision: Revision of the table service that this shows.
        """
        self.record_read()
        self.revision = revision
        now = self.clock.monotonic()
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
        """Changes entries and remembers how."""
        base = self.digest
        known = {
            upstream.id: upstream
            for upstream in changed
            if self.upstreams.get(upstream.id) != upstream
        }
        gone = [key for key in removed if key in self.upstreams]
        for key in gone:
            del self.upstreams[key]
            self.absent_since.pop(key, None)
            self.rejected.discard(key)
            logger.info("upstream removed", upstream=key)
        for upstream in known.values():
            self.put(upstream)
        if not known and not gone:
            return
        self.rebuild()
        self.change = Change(
            self.clock.monotonic(), base, tuple(known.values()), tuple(gone)
        )

    def record_read(self) -> None:
        """Starts the time for registering again after an outage."""
        now = self.clock.monotonic()
        self.outdated = False
        if self.upstreams and now - self.read_at > OUTAGE_S:
            self.grace_until = now + REREGISTRATION_S
        self.read_at = now

    def put(self, upstream: Upstream) -> None:
        """Adds or changes an entry."""
        self.upstreams[upstream.id] = upstream
        self.rejected.discard(upstream.id)
        logger.info(
            "upstream registered",
            upstream=upstream.id,
            service=upstream.service,
            address=upstream.address,
            ready=upstream.ready,
            stage=upstream.stage.value if upstream.stage else None,
        )

    def reject(self, upstream_id: str) -> None:
        """Notes that another upstream answered at this one's address."""
        self.rejected.add(upstream_id)

    def expire(self) -> None:
        """Removes absent entries once their absence means that they left."""
        self.apply((), self.expired())

    def expired(self) -> list[str]:
        """Returns the absent entries that had time to register again."""
        if self.clock.monotonic() < self.grace_until:
            return []
        return list(self.absent_since)

    def rebuild(self) -> None:
        """Groups the ready upstreams by service."""
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
        """Returns the seconds since a read showed this state."""
        return self.clock.monotonic() - self.read_at

    def contribute(self, report: reports.Report) -> reports.Report:
        """Adds a digest of the entries; see `reports.Participant`."""
        age = self.age()
        if not self.upstreams or age > MAX_REPORTED_AGE_S:
            return report
        report = report._replace(
            directory=self.digest,
            directory_age_ms=int(age * 1000),
            directory_revision=self.revision or 0,
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

    def absorb(self, report: reports.Report, continuous: bool) -> None:
        """Takes what a peer has read; see `reports.Participant`.

        A peer that has just read the same entries saves this host a read, and
        so does one that tells the one change in between. Otherwise this host
        reads at once.
        """
        if report.directory_age_ms < 0 or not continuous:
            return
        age = report.directory_age_ms / 1000 + DELIVERY_S
        read_at = self.clock.monotonic() - age
        if read_at <= self.read_at or self.revision is None:
            return
        if report.directory_base == self.digest != report.directory:
            self.apply(report.directory_changed, report.directory_removed)
        if report.directory != self.digest:
            self.outdated = True
            return
        self.read_at = read_at
        self.revision = max(self.revision, report.directory_revision)

    def candidates(self, service: str) -> list[Upstream]:
        """Returns the upstreams of a service that take new requests."""
        return [
            upstream
            for upstream in self.by_service.get(service, ())
            if upstream.id not in self.rejected
        ]

    def is_serving(self, upstream_id: str) -> bool:
        """Returns whether an upstream still takes new requests."""
        upstream = self.upstreams.get(upstream_id)
        return (
            upstream is not None
            and upstream.ready
            and upstream_id not in self.rejected
        )
