"""Records which software version began a stream, for take-ups at any host.

A write without an answer may be carried out seconds later, when the stream has
begun at another engine. So a record gets its version only once the stream has
begun there. Before, a placeholder is created: a record without a version, whose
stream may be of any. A placeholder never replaces a record.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import Protocol

import gevent
import gevent.event
import structlog
import xxhash
from gevent import lock

from coltsfootarch import errors

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection
    from collections.abc import Iterable
    from collections.abc import Mapping

    from coltsfootarch import clock as clocks

# Streams whose version this host remembers at most.
MAX_REMEMBERED = 20_000
# Entries of a transaction for records that it writes and removes at most; the
# store takes 100. A placeholder needs a second entry for its condition.
MAX_WRITES = 60
MAX_REMOVALS = 40
PLACEHOLDER_ENTRIES = 2
# Version of a placeholder.
NO_VERSION = ""
# Pause after a write that failed, in seconds. While it lasts, the store counts
# as failing.
RETRY_S = 0.5
# Longest wait of a lookup for its turn, in seconds.
LOOKUP_TURN_S = 1.0
# Interval at which old records are removed while nothing is written, and of the
# search for records of hosts that are gone, in seconds.
REMOVAL_INTERVAL_S = 10.0
SWEEP_INTERVAL_S = 30.0

logger = structlog.get_logger(__name__)


class StoredRecord(NamedTuple):
    """Answer to the lookup of a stream's record.

    Attributes:
        version: Version of the stream; `NO_VERSION` for a placeholder; None if
            there is no record.
        epoch: Epoch of the store that answered; 0 if it wasn't asked.
    """

    version: str | None
    epoch: int


class RecordTable(Protocol):
    """Durable records: a version by the key of a stream."""

    def write(
        self,
        records: Mapping[str, str],
        placeholders: Collection[str],
        removed: Iterable[str],
    ) -> Collection[str]:
        """Writes records and removes others in one transaction.

        Args:
            records: Versions by key.
            placeholders: Keys of records to create without a version.
            removed: Keys of records to remove.

        Returns:
            Empty if that was done. If records of placeholders exist, nothing
            was done; then their keys.

        Raises:
            errors.PlatformError: That may or may not have been done.
        """

    def find(self, key: str) -> StoredRecord:
        """Looks up a stream.

        Raises:
            errors.PlatformError: The store did not answer usably.
        """

    def keys(self) -> list[str]:
        """Returns the keys of all records.

        Raises:
            errors.PlatformError: The store did not answer usably.
        """


class Stream(NamedTuple):
    """A stream that began, or went on, at this host.

    Attributes:
        service: Its service.
        version: Version that began it.
        at: Instant at which that was noted, in seconds.
    """

    service: str
    version: str
    at: float


class Ticket:
    """A write that is waited for.

    Attributes:
        version: Version that is written; `NO_VERSION` for a placeholder.
        done: Set when the write has succeeded or failed.
        succeeded: Whether it has succeeded.
    """

    def __init__(self, version: str) -> None:
        self.version = version
        self.done = gevent.event.Event()
        self.succeeded = False

    @property
    def has_failed(self) -> bool:
        """Whether the write has failed."""
        return self.done.is_set() and not self.succeeded

    def end(self, succeeded: bool) -> None:
        """Records the outcome."""
        self.succeeded = succeeded
        self.done.set()


def stream_key(account: str, service: str, request_id: str) -> str:
    """Returns the key of a stream; callers of other accounts can't name it."""
    name = f"{account}\0{service}\0{request_id}"
    return xxhash.xxh3_128_hexdigest(name.encode())


class StreamRecords:
    """Remembers and records the versions of streams.

    Writes of many streams share transactions: one is under way at a time, and
    what comes meanwhile is in the next one.

    Args:
        table: Durable records.
        clock: Source of time.
        lifetime_s: Returns for how long a stream can be taken up, in seconds.
        is_sweeper: Returns whether this host removes records of hosts that are
            gone.

    Attributes:
        remembered: Streams by key, the oldest first.
        failing_until: Instant until which the store counts as failing.
    """

    def __init__(
        self,
        table: RecordTable,
        clock: clocks.Clock,
        lifetime_s: Callable[[], float],
        is_sweeper: Callable[[], bool],
    ) -> None:
        self.table = table
        self.clock = clock
        self.lifetime_s = lifetime_s
        self.is_sweeper = is_sweeper
        self.remembered: collections.OrderedDict[str, Stream] = (
            collections.OrderedDict()
        )
        self.pending: dict[str, Ticket] = {}
        self.written: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self.work = gevent.event.Event()
        self.failing_until = float("-inf")
        self.swept: dict[str, float] = {}
        self.swept_at = float("-inf")
        # Hosts that are gone may have left some.
        self.has_records = True
        # Calls of the table must not run concurrently.
        self.lookup_lock = lock.BoundedSemaphore()
        self.greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Starts to write."""
        self.greenlet = gevent.spawn(self.run)

    def close(self) -> None:
        """Stops writing."""
        if self.greenlet is not None:
            self.greenlet.kill()
            self.greenlet = None

    @property
    def is_failing(self) -> bool:
        """Whether a write failed a moment ago."""
        return self.clock.monotonic() < self.failing_until

    def remember(self, key: str, service: str, version: str) -> None:
        """Notes in memory which version began a stream."""
        now = self.clock.monotonic()
        self.remembered.pop(key, None)
        self.remembered[key] = Stream(service, version, now)
        oldest = now - self.lifetime_s()
        while self.remembered:
            first = next(iter(self.remembered))
            if (
                len(self.remembered) <= MAX_REMEMBERED
                and self.remembered[first].at >= oldest
            ):
                break
            del self.remembered[first]

    def write(self, key: str, version: str) -> Ticket:
        """Begins to write a record; a write of the same record is shared."""
        ticket = self.pending.get(key)
        if ticket is not None and ticket.version == version:
            return ticket
        if ticket is not None:
            ticket.end(succeeded=False)
        ticket = self.pending[key] = Ticket(version)
        self.work.set()
        return ticket

    def reserve(self, key: str) -> Ticket:
        """Begins to create a placeholder for a stream that may begin."""
        return self.pending.get(key) or self.write(key, NO_VERSION)

    def write_again(self, service: str) -> None:
        """Writes all remembered streams of a service.

        A restoration of the store may have lost their records, and what is
        certain without a record may not be so afterwards.
        """
        for key, stream in self.remembered.items():
            if stream.service == service:
                self.write(key, stream.version)

    def write_version(self, service: str, version: str) -> None:
        """Writes the remembered streams of a version that was the base.

        They were certain without a record until then.
        """
        for key, stream in self.remembered.items():
            if stream.service == service and stream.version == version:
                self.write(key, stream.version)

    def find(self, key: str) -> StoredRecord:
        """Looks up a stream in memory, then in the store.

        Raises:
            errors.PlatformError: The store did not answer usably.
        """
        stream = self.remembered.get(key)
        if stream is not None:
            return StoredRecord(stream.version, 0)
        if not self.lookup_lock.acquire(timeout=LOOKUP_TURN_S):
            raise errors.TableUnavailableError("lookups of streams are waiting")
        try:
            return self.table.find(key)
        finally:
            self.lookup_lock.release()

    def run(self) -> None:
        """Writes and removes records until the greenlet is killed."""
        while True:
            self.work.wait(REMOVAL_INTERVAL_S)
            self.work.clear()
            try:
                self.flush()
                self.sweep()
            except errors.PlatformError as error:
                if not self.is_failing:
                    logger.warning(
                        "versions of streams not recorded",
                        reason=error.message,
                        waiting=len(self.pending),
                    )
                self.failing_until = self.clock.monotonic() + 2 * RETRY_S
                gevent.sleep(RETRY_S)
                self.work.set()
            except Exception:
                logger.exception("records of streams failed unexpectedly")
                gevent.sleep(RETRY_S)

    def flush(self) -> None:
        """Writes what is pending and removes what has expired.

        A transaction without an answer is repeated once at once, as streams
        wait for it.

        Raises:
            errors.PlatformError: The store did not answer usably. What was to
                be written stays pending; nobody waits for it any more.
        """
        is_repeated = False
        while True:
            batch = self.next_batch()
            removed = self.expired()
            if not batch and not removed:
                return
            try:
                existing = self.table.write(
                    {
                        key: ticket.version
                        for key, ticket in batch.items()
                        if ticket.version != NO_VERSION
                    },
                    [
                        key
                        for key, ticket in batch.items()
                        if ticket.version == NO_VERSION
                    ],
                    removed,
                )
            except errors.PlatformError as error:
                if not is_repeated and not isinstance(
                    error, errors.TableRefusedError
                ):
                    logger.info(
                        "write of stream versions repeated",
                        reason=error.message,
                        records=len(batch),
                    )
                    is_repeated = True
                    continue
                for ticket in batch.values():
                    ticket.end(succeeded=False)
                self.forget_old()
                raise
            is_repeated = False
            self.failing_until = float("-inf")
            if existing:
                logger.info(
                    "placeholders of streams exist already",
                    records=len(existing),
                )
                self.complete({key: batch[key] for key in existing})
                continue
            for key in removed:
                self.written.pop(key, None)
                self.swept.pop(key, None)
            self.complete(batch)

    def next_batch(self) -> dict[str, Ticket]:
        """Returns the writes of the next transaction, the oldest first."""
        batch = {}
        entries = 0
        for key, ticket in self.pending.items():
            entries += (
                PLACEHOLDER_ENTRIES if ticket.version == NO_VERSION else 1
            )
            if entries > MAX_WRITES:
                break
            batch[key] = ticket
        return batch

    def complete(self, batch: Mapping[str, Ticket]) -> None:
        """Notes that records are in the store."""
        now = self.clock.monotonic()
        self.has_records = self.has_records or bool(batch)
        for key, ticket in batch.items():
            self.written.pop(key, None)
            self.written[key] = now
            if self.pending.get(key) is ticket:
                del self.pending[key]
            ticket.end(succeeded=True)

    def forget_old(self) -> None:
        """Gives up writes of streams that can't be taken up any more."""
        for key in tuple(self.pending):
            if key not in self.remembered:
                self.pending.pop(key).end(succeeded=False)

    def expired(self) -> list[str]:
        """Returns the keys of records that aren't needed any more."""
        now = self.clock.monotonic()
        oldest = now - self.lifetime_s()
        own: list[str] = []
        for key, at in self.written.items():
            if at >= oldest or len(own) >= MAX_REMOVALS:
                break
            own.append(key)
        foreign = [
            key
            for key, seen_at in self.swept.items()
            if seen_at < oldest and key not in self.written
        ]
        return [key for key in own + foreign if key not in self.pending][
            :MAX_REMOVALS
        ]

    def sweep(self) -> None:
        """Looks for records of hosts that are gone, if it is time.

        What is still there a stream's lifetime later is removed.

        Raises:
            errors.PlatformError: The store did not answer usably.
        """
        now = self.clock.monotonic()
        if (
            now - self.swept_at < SWEEP_INTERVAL_S
            or not self.has_records
            or not self.is_sweeper()
        ):
            return
        self.swept_at = now
        keys = self.table.keys()
        self.has_records = bool(keys)
        self.swept = {key: self.swept.get(key, now) for key in keys}
