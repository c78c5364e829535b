"""Keeps the newest committed configuration version in force on this host."""

from __future__ import annotations

import datetime
from collections.abc import Callable
from typing import TYPE_CHECKING
from typing import NamedTuple

import structlog
from gevent import lock

from coltsfootarch import errors
from coltsfootarch import results
from coltsfootarch.config import parser
from coltsfootarch.config import register as registers
from coltsfootarch.config import routes as route_tables
from coltsfootarch.config import versions

if TYPE_CHECKING:
    from coltsfootarch import clock as clocks
    from coltsfootarch.protocol import messages
    from coltsfootarch.storage import tables

POLL_INTERVAL = datetime.timedelta(seconds=2)
# The timeouts of one call of the table service and of one request to zone
# peers add up to less than this, so a longer attempt means that the process
# was paused, or that a large document arrived slowly.
MAX_ATTEMPT_DURATION = datetime.timedelta(seconds=5)
CONFIRM_ATTEMPTS = 2
NEVER_CONFIRMED = -1.0

Listener = Callable[[registers.Register], None]
Parse = Callable[[str, str], registers.Register]
AskPeers = Callable[[], "messages.ConfigReply | None"]

logger = structlog.get_logger(__name__)


class ActiveVersion(NamedTuple):
    """The version in force with everything derived from it.

    It is immutable and replaced as a whole, so that readers never combine the
    register of one version with the routes of another.

    Attributes:
        version: Number of the version.
        document: TOML text of the register.
        register: The parsed document.
        routes: Routes derived from the register.
    """

    version: int
    document: str
    register: registers.Register
    routes: route_tables.RouteTable


class ConfigTracker:
    """Applies newer committed versions and never reverts to an older one.

    A confirmation records that at some instant no version newer than the one
    in force was committed. That instant is taken before the request is sent,
    so that an answer that waited while this host was paused doesn't count as
    recent.

    Args:
        clock: Clock of this host.
        service: Table service.
        ask_peers: Asks zone peers for their version; None if there are none.
        poll_interval: Time between two polls of the table service.
        parse: Parses a document. A process that serves requests passes
            `background.parse`, which doesn't block the other greenlets.

    Attributes:
        refused_documents: Number of times that a committed document or the
            head row was missing, damaged or invalid; the same document that
            doesn't parse is counted once.
        failed_polls: Number of polls that the table service did not answer.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        service: tables.TableService,
        ask_peers: AskPeers | None = None,
        poll_interval: datetime.timedelta = POLL_INTERVAL,
        parse: Parse = parser.parse,
    ) -> None:
        self.clock = clock
        self.service = service
        self.ask_peers = ask_peers
        self.poll_interval = poll_interval.total_seconds()
        self.parse = parse
        self.listeners: list[Listener] = []
        self.refused_documents = 0
        self.failed_polls = 0
        self.in_force: ActiveVersion | None = None
        self.confirmed_at: float | None = None
        self.polled_at: float | None = None
        self.failed_at: float | None = None
        self.last_refused: tuple[int, str] | None = None
        self.confirmation_lock = lock.BoundedSemaphore(1)

    @property
    def version(self) -> int:
        """Number of the version in force; 0 if there is none yet."""
        return self.in_force.version if self.in_force else 0

    @property
    def document(self) -> str:
        """TOML text of the version in force; empty if there is none yet."""
        return self.in_force.document if self.in_force else ""

    @property
    def register(self) -> registers.Register:
        """Register in force.

        Raises:
            RefusedError: Code NO_CONFIGURATION; no version is in force yet.
        """
        return self.current().register

    @property
    def routes(self) -> route_tables.RouteTable:
        """Routes in force.

        Raises:
            RefusedError: Code NO_CONFIGURATION; no version is in force yet.
        """
        return self.current().routes

    def current(self) -> ActiveVersion:
        """Returns the version in force.

        Raises:
            RefusedError: Code NO_CONFIGURATION; no version is in force yet.
        """
        if self.in_force is None:
            raise errors.RefusedError(results.NO_CONFIGURATION)
        return self.in_force

    def confirmed_age(self) -> float:
        """Returns the seconds since the last confirmation; -1 without one."""
        if self.confirmed_at is None:
            return NEVER_CONFIRMED
        return max(self.clock.monotonic() - self.confirmed_at, 0.0)

    def is_fresh(self) -> bool:
        """Returns whether the last confirmation is within `rules.freshness`."""
        if self.in_force is None or self.confirmed_at is None:
            return False
        limit = self.in_force.register.rules.freshness.total_seconds()
        return self.confirmed_age() <= limit

    def tick(self) -> None:
        """Polls the table service when the poll interval has passed.

        A host without a version also asks zone peers here. Otherwise only
        requests make a host ask peers, and a host without a version gets
        none, because it is not ready.
        """
        if self.polled_at is not None:
            waited = self.clock.monotonic() - self.polled_at
            if waited < self.poll_interval:
                return
        if not self.confirm() and self.version == 0:
            self.confirm_with_peers()

    def confirm(self) -> bool:
        """Confirms the version with the table service; applies a newer one.

        Returns:
            Whether the newest version that was committed when the table
            service was asked, or a newer one, is now in force.
        """
        asked_at = self.clock.monotonic()
        self.polled_at = asked_at
        try:
            head = self.read_head()
            if head > self.version:
                self.fetch(head)
        except errors.TableUnavailableError:
            self.failed_polls += 1
            return False
        except errors.ConfigurationError as error:
            self.record_refusal(None, error)
            return False
        if self.in_force is None or self.version < head:
            return False
        self.record_confirmation(asked_at)
        return True

    def ensure_fresh(self) -> bool:
        """Confirms the version if the last confirmation is too old.

        Called before new work starts. Concurrent callers share one attempt.
        After a failed one the next is made only when the poll interval has
        passed, so that requests don't wait for an unreachable table service.

        Returns:
            Whether the confirmation is recent enough. If not, the newest
            known version stays in force.
        """
        if self.is_fresh():
            return True
        with self.confirmation_lock:
            if self.is_fresh():
                return True
            if self.has_recent_failure():
                return False
            for _ in range(CONFIRM_ATTEMPTS):
                started = self.clock.monotonic()
                if self.confirm() or self.confirm_with_peers():
                    return self.is_fresh()
                if not self.was_paused_since(started):
                    break
            self.failed_at = self.clock.monotonic()
            return False

    def was_paused_since(self, started: float) -> bool:
        """Returns whether an attempt took longer than its timeouts allow.

        The process was then paused. The attempt failed because of the pause
        and says nothing about the table service, so it is repeated at once.

        Args:
            started: Monotonic instant at which the attempt started.
        """
        elapsed = self.clock.monotonic() - started
        return elapsed > MAX_ATTEMPT_DURATION.total_seconds()

    def has_recent_failure(self) -> bool:
        """Returns whether an attempt failed within the poll interval."""
        if self.failed_at is None:
            return False
        return self.clock.monotonic() - self.failed_at < self.poll_interval

    def confirm_with_peers(self) -> bool:
        """Asks zone peers for their version and applies or confirms it.

        Returns:
            Whether the last confirmation is now recent enough.
        """
        if self.ask_peers is None:
            return False
        asked_at = self.clock.monotonic()
        reply = self.ask_peers()
        if reply is None:
            return False
        self.handle_peer_version(
            reply.version, reply.document, reply.confirmed_age, asked_at
        )
        return self.is_fresh()

    def handle_peer_version(
        self,
        version: int,
        document: str,
        confirmed_age: float,
        asked_at: float | None = None,
    ) -> bool:
        """Applies a peer's version if it is newer, and its confirmation.

        Args:
            version: Version in force on the peer.
            document: Its TOML text; may be empty if it is not newer.
            confirmed_age: Seconds since the peer's last confirmation; negative
                without one.
            asked_at: Monotonic instant at which the peer was asked. Without
                it the message confirms nothing, because its time in transit
                is unknown.

        Returns:
            Whether the version was applied.
        """
        applied = False
        if version > self.version and document:
            applied = self.apply(version, document)
        confirms = asked_at is not None and confirmed_age >= 0
        if confirms and self.in_force and version <= self.version:
            # No version newer than the peer's existed at that instant, so none
            # newer than the one in force here either.
            self.record_confirmation((asked_at or 0.0) - confirmed_age)
        return applied

    def read_head(self) -> int:
        """Returns the committed version, 0 if there is none."""
        row = self.service.get(versions.HEADS_TABLE, versions.HEADS_KEY)
        return 0 if row is None else versions.decode_head(row.value)

    def fetch(self, version: int) -> None:
        """Reads and applies a committed version.

        A missing or damaged row is recorded as a refusal.

        Raises:
            TableUnavailableError: The table service did not answer.
        """
        key = versions.version_key(version)
        row = self.service.get(versions.TABLE, key)
        if row is None:
            self.record_refusal(
                version,
                errors.ConfigurationError(
                    f"the row of version {version} is missing from the table "
                    "service"
                ),
            )
            return
        try:
            stored = versions.decode_version(row.value)
        except errors.ConfigurationError as error:
            self.record_refusal(version, error)
            return
        self.apply(version, stored.document)

    def apply(self, version: int, document: str) -> bool:
        """Parses a version and puts it in force if it is newer.

        A version that failed to parse is not parsed again, unless another
        version failed after it.

        Returns:
            Whether the version was put in force.
        """
        candidate = (version, versions.digest_of(document))
        if candidate == self.last_refused:
            return False
        try:
            register = self.parse(document, f"version {version}")
        except errors.ConfigurationError as error:
            self.last_refused = candidate
            self.record_refusal(version, error)
            return False
        routes = route_tables.RouteTable(register)
        if version <= self.version:
            return False
        self.in_force = ActiveVersion(version, document, register, routes)
        logger.info("configuration in force", version=version)
        self.notify(version, register)
        return True

    def notify(self, version: int, register: registers.Register) -> None:
        """Calls the listeners until a newer version is in force.

        A listener may let other greenlets run, so that a newer version can be
        applied in between. The remaining listeners are then called only for
        the newer version.
        """
        for listener in list(self.listeners):
            if self.version != version:
                return
            try:
                listener(register)
            except Exception:
                logger.exception(
                    "configuration listener failed", version=version
                )

    def record_refusal(
        self, version: int | None, error: errors.ConfigurationError
    ) -> None:
        """Counts and logs a document that is not put in force.

        Args:
            version: Number of the version; None if the head row is damaged.
            error: Why it is refused.
        """
        self.refused_documents += 1
        logger.error(
            "configuration refused",
            version=version,
            running_version=self.version,
            code=error.code.number,
            reason=error.message,
        )

    def record_confirmation(self, instant: float) -> None:
        """Records that no newer version existed at a monotonic instant."""
        if self.confirmed_at is None or instant > self.confirmed_at:
            self.confirmed_at = instant
