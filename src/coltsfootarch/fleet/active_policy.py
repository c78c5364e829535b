"""Policy in force on this host, and what other hosts say about theirs."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

import gevent.event
import structlog

from coltsfootarch.fleet import store_epochs
from coltsfootarch.http1 import transfers

if TYPE_CHECKING:
    from collections.abc import Callable

    from coltsfootarch import clock as clocks
    from coltsfootarch.fleet import policy
    from coltsfootarch.fleet import reports

# Time for which reports name this host's version after its activation, after a
# host was heard for the first time, and after a restoration of the store. It
# covers several lost reports.
ANNOUNCEMENT_S = 3.0
# Time in which the operator writes again what a restored store has lost. Until
# then a row of the copy doesn't show that there is no newer one.
REWRITE_S = 2.0

logger = structlog.get_logger(__name__)


class PolicyReadResult(NamedTuple):
    """Result of reading the policy from the store.

    Attributes:
        policy: Newest valid policy in the result; None if there is none.
        revision: Revision of the store as of which it is current.
        sent_at: Instant at which the read was sent, in seconds. After a long
            wait without a change `PolicyFollower` replaces it by a later one.
        readable: Whether the newest policy could be decoded.
        transfer: Size and duration of the answer.
        rows: Number of rows in the answer.
        decode_s: Time that decoding took, in seconds.
        epoch: Epoch of the store in which the revision was given out.
        digest: Digest of the stored policy.
        complete: Whether all that the store holds was read, and not only
            changes.
        row_revision: Revision of the policy's row.
    """

    policy: policy.Policy | None
    revision: int
    sent_at: float
    readable: bool
    transfer: transfers.Transfer = transfers.Transfer()
    rows: int = 0
    decode_s: float = 0.0
    epoch: int = 0
    digest: int = 0
    complete: bool = False
    row_revision: int = 0

    @property
    def position(self) -> store_epochs.Position:
        """Place in the store's history as of which it is current."""
        return store_epochs.Position(self.epoch, self.revision)


class Edition(NamedTuple):
    """Identifies the content of a policy.

    A store that was restored from a copy may give out a version again, with
    other content.

    Attributes:
        version: Version of the policy; -1 for none.
        epoch: Epoch of the store in which it was last seen.
        digest: Digest of the stored policy; 0 if unknown.
    """

    version: int = -1
    epoch: int = 0
    digest: int = 0

    def is_newer_than(self, other: Edition) -> bool:
        """Returns whether this edition replaces another one."""
        if self.version != other.version:
            return self.version > other.version
        return self.epoch > other.epoch and not self.has_content_of(other)

    def has_content_of(self, other: Edition) -> bool:
        """Returns whether two editions are the same policy."""
        return self.version == other.version and (
            self.digest == other.digest or not (self.digest and other.digest)
        )


class PolicyTracker:
    """Holds the active policy of this host.

    It is never replaced by an older version, also if the store was restored
    from a copy that holds one: the operator writes the newest one again.

    Args:
        clock: Source of time.
        epochs: Epochs of the store.

    Attributes:
        policy: The active policy; None if there is none yet.
        edition: Its edition.
        stored: Edition that the store held at the last read; None if that
            could not be decoded.
        confirmed_at: Instant, in seconds, as of which a read last confirmed
            this edition to be the newest; see `PolicyReadResult.sent_at`.
        row: Position at which the row of this edition was last seen.
        is_copied: Whether that row stood in the store before a restoration, so
            that the operator's newest one may be lost.
        announced: Newest edition that other hosts have.
        unobtainable: Newest edition that a read did not bring.
        last_transfer: Size and duration of the answer with the policy.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        epochs: store_epochs.StoreEpochs | None = None,
    ) -> None:
        self.clock = clock
        self.epochs = epochs or store_epochs.StoreEpochs(clock)
        self.policy: policy.Policy | None = None
        self.edition = Edition()
        self.stored: Edition | None = None
        self.row = store_epochs.Position(0, 0)
        self.is_copied = False
        self.last_transfer = transfers.Transfer()
        self.confirmed_at = float("-inf")
        self.confirmed = gevent.event.Event()
        self.announced = Edition()
        self.announcement = gevent.event.Event()
        self.unobtainable = Edition()
        self.on_change: list[Callable[[policy.Policy], object]] = []
        self.on_announced: list[Callable[[], object]] = []
        self.activated_at = float("-inf")
        self.announce_until = float("-inf")

    def apply(self, result: PolicyReadResult) -> None:
        """Applies the result of a read."""
        newer = result.policy
        read = Edition()
        if newer is not None:
            read = Edition(newer.version, result.epoch, result.digest)
        if not result.readable:
            self.stored = None
        elif newer is not None or result.complete:
            self.stored = read
        if newer is None:
            pass
        elif self.policy is None and self.announced.is_newer_than(read):
            # The store was restored; this host must not begin with what others
            # know to be withdrawn.
            self.log_older(result, newer.version, self.announced.version)
        elif self.policy is None or read.is_newer_than(self.edition):
            self.activate(newer, read, result)
        elif read.has_content_of(self.edition):
            self.edition = max(self.edition, read)
        else:
            self.log_older(result, newer.version, self.edition.version)
        if newer is not None and read.has_content_of(self.edition):
            self.note_row(result)
        if (
            self.policy is not None
            and result.readable
            and not self.is_lost()
            and not self.may_be_lost(result.sent_at)
        ):
            self.confirm(result.sent_at)

    def note_row(self, result: PolicyReadResult) -> None:
        """Notes whether the row of the policy was written again.

        A row of the copy keeps its revision.
        """
        row = store_epochs.Position(result.epoch, result.row_revision)
        if row.epoch > self.row.epoch:
            self.is_copied = row.revision == self.row.revision
        elif row != self.row:
            self.is_copied = False
        self.row = row

    def may_be_lost(self, sent_at: float) -> bool:
        """Returns whether a newer policy may be missing from the store.

        Args:
            sent_at: Instant at which the read was sent, in seconds.
        """
        return self.is_copied and (
            sent_at < self.epochs.restored_at + REWRITE_S
        )

    def is_lost(self) -> bool:
        """Returns whether the store held an older policy at the last read.

        The store was restored. The policy stays in force, but the read doesn't
        show that it is the newest.
        """
        return self.stored is not None and not self.stored.has_content_of(
            self.edition
        )

    def activate(
        self, newer: policy.Policy, edition: Edition, result: PolicyReadResult
    ) -> None:
        """Puts a policy into force."""
        now = self.clock.monotonic()
        previous = self.policy.version if self.policy else None
        self.policy = newer
        self.edition = edition
        self.row = store_epochs.Position(result.epoch, result.row_revision)
        self.is_copied = False
        self.activated_at = now
        self.announce_until = now + ANNOUNCEMENT_S
        logger.info(
            "policy activated",
            version=newer.version,
            previous=previous,
            revision=result.revision,
            epoch=result.epoch,
            age_s=round(now - result.sent_at, 3),
            rows=result.rows,
            bytes=result.transfer.size_bytes,
            first_byte_ms=round(result.transfer.first_byte_s * 1000),
            transfer_ms=round(result.transfer.received_s * 1000),
            decode_ms=round(result.decode_s * 1000),
        )
        self.last_transfer = result.transfer
        for notify in self.on_change:
            notify(newer)

    def log_older(
        self, result: PolicyReadResult, version: int, newest: int
    ) -> None:
        """Logs that the store holds an older policy than is known."""
        logger.warning(
            "store holds an older policy than the one in force",
            version=version,
            newest=newest,
            in_force=self.version(),
            revision=result.revision,
            epoch=result.epoch,
        )

    def confirm(self, at: float) -> None:
        """Records that the policy was the newest one at an instant."""
        self.confirmed_at = max(self.confirmed_at, at)
        self.confirmed.set()
        self.confirmed.clear()

    def version(self) -> int:
        """Returns the version of the policy; -1 if there is none."""
        return self.edition.version

    def is_behind(self) -> bool:
        """Returns whether another host has a newer edition to read."""
        return (
            self.announced.is_newer_than(self.edition)
            and self.announced != self.unobtainable
        )

    def is_superseded(self) -> bool:
        """Returns whether another host has a newer policy that is lost.

        The store was restored from a copy without it. Requests must not be
        handled by an older one, so that this host waits for the operator to
        write the policy again.
        """
        return (
            self.stored is not None
            and self.announced.is_newer_than(self.edition)
            and self.announced == self.unobtainable
        )

    def usable_policy(self) -> policy.Policy | None:
        """Returns the policy by which requests may be handled, if any."""
        return None if self.is_superseded() else self.policy

    def give_up_announced(self) -> None:
        """Records that a read did not bring the announced edition.

        This host can't decode it, the announcement was false, or the store was
        restored. Reading again at once would bring the same.
        """
        if self.unobtainable == self.announced:
            return
        self.unobtainable = self.announced
        logger.warning(
            "policy of other hosts is not in the store",
            announced=self.announced.version,
            in_force=self.version(),
            superseded=self.is_superseded(),
        )

    def confirm_passed(
        self, version: int, at: float, epoch: int = 0, digest: int = 0
    ) -> None:
        """Records a confirmation by another host.

        Args:
            version: Version that was confirmed, or that the other host has.
            at: Instant, in seconds, not later than the confirmation; minus
                infinity if the version was not confirmed.
            epoch: Epoch of the store in which the other host last saw it; 0 if
                the store was never restored.
            digest: Digest of the other host's policy; 0 if unknown.
        """
        passed = Edition(version, epoch, digest)
        self.announce(passed)
        if self.policy is None or not passed.has_content_of(self.edition):
            return
        if epoch > self.edition.epoch:
            self.edition = self.edition._replace(epoch=epoch)
        if at <= self.clock.monotonic():
            self.confirm(at)

    def announce(self, edition: Edition) -> None:
        """Records that another host has an edition of the policy."""
        if not edition.is_newer_than(self.announced):
            return
        self.announced = edition
        self.announcement.set()
        if self.is_behind():
            for notify in self.on_announced:
                notify()

    def add_to_report(self, report: reports.Report) -> reports.Report:
        """Adds the edition for a while; see `reports.Participant`."""
        if self.policy is None:
            return report
        if self.epochs.epoch > store_epochs.FIRST_EPOCH:
            report = report._replace(
                policy_epoch=self.edition.epoch,
                policy_digest=self.edition.digest,
            )
        now = self.clock.monotonic()
        if (
            now > self.announce_until
            and self.epochs.since_restoration_s() > ANNOUNCEMENT_S
        ):
            return report
        return report._replace(policy_version=self.policy.version)

    def apply_report(self, report: reports.Report, continuous: bool) -> None:
        """Notes a peer's edition; see `reports.Participant`."""
        if not continuous:
            # The peer may have started and read a copy of the store.
            self.announce_until = max(
                self.announce_until, self.clock.monotonic() + ANNOUNCEMENT_S
            )
        if report.policy_version:
            self.announce(
                Edition(
                    report.policy_version,
                    report.policy_epoch,
                    report.policy_digest,
                )
            )

    def age(self) -> float:
        """Returns the seconds since the policy was last confirmed."""
        return self.clock.monotonic() - self.confirmed_at

    def wait_announced(self, timeout: float) -> None:
        """Waits until another host has told its version.

        Args:
            timeout: Longest wait in seconds.
        """
        self.announcement.wait(timeout)

    def wait_newer(self, timeout: float) -> None:
        """Waits for a newer policy, or the confirmation that there is none.

        Args:
            timeout: Longest wait in seconds.
        """
        now = self.clock.monotonic()
        version = self.version()
        deadline = now + timeout
        while self.version() == version and self.confirmed_at < now:
            remaining = deadline - self.clock.monotonic()
            if remaining <= 0:
                return
            self.confirmed.wait(remaining)

    def wait_confirmed(self, since: float, timeout: float) -> bool:
        """Waits for a confirmation by a read sent at or after an instant.

        Args:
            since: The instant, in seconds.
            timeout: Longest wait in seconds.

        Returns:
            Whether the policy was confirmed.
        """
        deadline = self.clock.monotonic() + timeout
        while self.confirmed_at < since:
            remaining = deadline - self.clock.monotonic()
            if remaining <= 0:
                return False
            self.confirmed.wait(remaining)
        return True
