"""Software versions of a service's engines, as all hosts agree on them.

Streams can't go on at another version than the one that began them. One row of
the store for each service names its base version and the others. Streams that
begin at another version than the base are recorded (`stream_records`), so that
any host knows the version of a stream: the recorded one, else the base. While
a service has one version only, nothing is recorded or looked up.

A version is added to the row before a stream begins at it, and streams begin at
it only after all hosts have seen it. The base changes when its engines have
been gone for longer than a stream can last. Other hosts see the change up to
`MAX_COPY_AGE_S` later and may begin unrecorded streams at the base of before if
that is back. Until those can't be taken up any more, all streams are recorded
and what isn't recorded may be of any version.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
import gevent.event
import structlog
from gevent import lock

from coltsfootarch import errors
from coltsfootarch.fleet import policy
from coltsfootarch.fleet import store_epochs
from coltsfootarch.fleet import version_rows

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from coltsfootarch import clock as clocks
    from coltsfootarch.fleet import active_policy
    from coltsfootarch.fleet import hosts
    from coltsfootarch.fleet import upstreams

CHECK_INTERVAL_S = 0.25
# Time after the addition of a version until streams begin at it. By then each
# host that others hear knows its registrations, which take 0.6 s at most.
OPEN_DELAY_S = 0.8
# Time after which hosts that add nothing themselves read a row that lacks a
# version, plus up to as much again at random.
READ_DELAY_S = 0.3
# Interval at which a row with several versions is read again, as another host
# may have changed it.
READ_INTERVAL_S = 10.0
# Age that the copy of a row at any host doesn't exceed, as long as that reaches
# the store: the interval, delays and tries that fail.
MAX_COPY_AGE_S = 2 * READ_INTERVAL_S
# Greatest age of the registrations by which versions count as absent.
MAX_DIRECTORY_AGE_S = 2.0
# Greatest age of the reports by which this host has heard of all versions at
# which streams may begin elsewhere; less than `OPEN_DELAY_S` by the time in
# which a host that has seen a version reports it.
IN_STEP_S = 0.4
RETRY_S = 0.5
# Time after a read that failed in which the store counts as failing.
FAILING_S = 5.0
# Tries to read and change a row that other hosts change at the same time.
MAX_REFRESHES = 3
# Callers take a stream up within their deadline, which can exceed the timeout
# of the route a little. A stream lasts for at most so many timeouts.
LIFETIME_TIMEOUTS = 2.0
MIN_LIFETIME_S = 30.0
MS_PER_S = 1000.0

logger = structlog.get_logger(__name__)


class ServiceVersions:
    """Keeps the rows of the services and answers questions about versions.

    Args:
        table: Durable rows.
        directory: Registered upstreams.
        policy_tracker: Holds the active policy.
        peers: Directory of the other hosts.
        epochs: Epochs of the store.
        clock: Source of time.
        generator: Source of randomness.
        unreachable_delay_s: Time after the addition of a version until streams
            begin at it while hosts are unreachable. They can't confirm keys
            any more by then.

    Attributes:
        services: What is known, by service.
        missing: Services whose row was missing once.
        failures: Last read that failed, by service.
        on_change: Called after a change of what is known.
        on_restored: Called with a service whose row was written again after a
            restoration of the store.
        on_base_changed: Called with a service and the base version that it had.
    """

    def __init__(
        self,
        table: version_rows.VersionTable,
        directory: upstreams.UpstreamDirectory,
        policy_tracker: active_policy.PolicyTracker,
        peers: hosts.HostDirectory,
        epochs: store_epochs.StoreEpochs,
        clock: clocks.Clock,
        generator: random.Random,
        unreachable_delay_s: float,
    ) -> None:
        self.table = table
        self.directory = directory
        self.policy_tracker = policy_tracker
        self.peers = peers
        self.epochs = epochs
        self.clock = clock
        self.generator = generator
        self.unreachable_delay_s = unreachable_delay_s
        self.services: dict[str, version_rows.KnownVersions] = {}
        self.due_at: dict[str, float] = {}
        self.missing: set[str] = set()
        self.on_change: list[Callable[[], object]] = []
        self.on_restored: list[Callable[[str], object]] = []
        self.on_base_changed: list[Callable[[str, str], object]] = []
        self.wake_event = gevent.event.Event()
        self.changed = gevent.event.Event()
        self.greenlet: gevent.Greenlet | None = None
        # Calls of the table must not run concurrently.
        self.table_lock = lock.BoundedSemaphore()
        self.failures: dict[str, version_rows.ReadFailure] = {}
        # Whether `are_all_open` holds, and the services with streams of the
        # policy for which they were looked up.
        self.all_open: dict[str, bool] = {}
        self.streaming: list[str] = []
        self.streaming_policy: policy.Policy | None = None
        self.registrations_changed = gevent.event.Event()
        directory.on_change.append(self.wake_event.set)
        directory.on_change.append(self.notify_registrations)
        policy_tracker.on_change.append(self.notify_policy)
        directory.on_change.append(self.all_open.clear)

    def start(self) -> None:
        """Starts to check the rows."""
        self.greenlet = gevent.spawn(self.run)

    def close(self) -> None:
        """Stops checking."""
        if self.greenlet is not None:
            self.greenlet.kill()
            self.greenlet = None

    def run(self) -> None:
        """Checks the rows after each change of the registrations."""
        while True:
            try:
                self.check()
            except Exception:
                logger.exception("check of versions failed unexpectedly")
            self.wake_event.wait(CHECK_INTERVAL_S)
            self.wake_event.clear()

    # Questions.

    def wait_known(self, service: str, timeout: float) -> None:
        """Waits until the row of a service is known, as after a start.

        Args:
            service: The service.
            timeout: Longest wait in seconds.
        """
        deadline = self.clock.monotonic() + timeout
        while service not in self.services:
            remaining = deadline - self.clock.monotonic()
            if remaining <= 0:
                return
            self.changed.wait(remaining)

    def wait_registered(
        self, service: str, version: str, timeout: float
    ) -> bool:
        """Waits until a version has a ready engine, as this host knows.

        Args:
            service: The service.
            version: The version.
            timeout: Longest wait in seconds.

        Returns:
            Whether it has one.
        """
        with gevent.Timeout(timeout, False):
            while not self.has_member(service, version):
                self.registrations_changed.wait()
        return self.has_member(service, version)

    def has_member(self, service: str, version: str) -> bool:
        """Returns whether a version has a ready engine."""
        return any(
            engine.version == version
            for engine in self.directory.members(service)
        )

    def has_recent_registrations(self) -> bool:
        """Returns whether this host has heard of new engines."""
        return (
            not self.directory.outdated
            and self.directory.age() <= MAX_DIRECTORY_AGE_S
        )

    def base(self, service: str) -> str | None:
        """Returns the base version of a service; None if it isn't known."""
        known = self.services.get(service)
        return known.state.base if known else None

    def is_single(self, service: str) -> bool:
        """Returns whether all streams of a service are of its base version."""
        known = self.services.get(service)
        return (
            known is not None
            and not known.state.others
            and not self.is_uncertain(service)
            and known.state.epoch >= self.epochs.epoch
            and self.registered(service) <= {known.state.base}
        )

    def is_in_step(self, service: str) -> bool:
        """Returns whether no other host knows of further versions.

        While the store fails only that shows that the copy of the row is
        current: no host begins streams at a version before `OPEN_DELAY_S`, in
        which its reports tell of the registrations.
        """
        known = self.services.get(service)
        return (
            known is not None
            and not known.is_outdated
            and not self.directory.outdated
            and self.peers.known
            and self.peers.all_heard(IN_STEP_S)
        )

    def is_failing(self, service: str) -> bool:
        """Returns whether the last read of a row failed a moment ago."""
        failure = self.failures.get(service)
        known = self.services.get(service)
        return (
            failure is not None
            and (known is None or failure.read_at > known.read_at)
            and self.clock.monotonic() - failure.read_at <= FAILING_S
        )

    def is_current(self, known: version_rows.KnownVersions) -> bool:
        """Returns whether another base can't have come into force since."""
        return (
            known.state.epoch >= self.epochs.epoch
            and not known.is_outdated
            and self.clock.monotonic() - known.confirmed_at <= MAX_COPY_AGE_S
        )

    def is_uncertain(self, service: str) -> bool:
        """Returns whether records of a service may have been lost."""
        known = self.services.get(service)
        return known is not None and (
            self.store_now_ms(known) < known.state.uncertain_until_ms
        )

    def needs_record(self, service: str, version: str) -> bool:
        """Returns whether streams that begin at a version are recorded."""
        known = self.services.get(service)
        return known is not None and (
            version != known.state.base
            or self.is_uncertain(service)
            or not self.is_current(known)
        )

    def is_open(self, engine: upstreams.Upstream) -> bool:
        """Returns whether streams may begin at an engine's version."""
        known = self.services.get(engine.service)
        if known is None:
            return False
        if engine.version == known.state.base:
            return True
        added_ms = known.state.others.get(engine.version)
        if added_ms is None:
            return False
        delay_s = (
            OPEN_DELAY_S
            if self.peers.all_reachable()
            else self.unreachable_delay_s
        )
        return self.store_now_ms(known) - added_ms >= delay_s * MS_PER_S

    def are_all_open(self, service: str) -> bool:
        """Returns whether streams may begin at all registered engines.

        Placement asks it for each request, so that the answer is kept until
        the registrations or the row change.
        """
        if service not in self.all_open:
            known = self.services.get(service)
            self.all_open[service] = known is not None and (
                self.registered(service) <= {known.state.base}
            )
        return self.all_open[service]

    def registered(self, service: str) -> set[str]:
        """Returns the versions of a service's registered engines."""
        return {
            upstream.version
            for upstream in self.directory.upstreams.values()
            if upstream.service == service
        }

    def lifetime_s(self) -> float:
        """Returns for how long a stream can be taken up, in seconds."""
        current = self.policy_tracker.policy
        if current is None:
            return MIN_LIFETIME_S
        longest = max(
            (route.timeout_s for route in current.routes if route.resumable),
            default=0.0,
        )
        return max(LIFETIME_TIMEOUTS * longest, MIN_LIFETIME_S)

    def store_now_ms(self, known: version_rows.KnownVersions) -> float:
        """Returns the store's clock, as far as this host knows it."""
        return self.clock.monotonic() * MS_PER_S + known.clock_offset_ms

    def notify_policy(self, _: policy.Policy) -> None:
        """Lets the rows of a new policy's services be read at once."""
        self.wake_event.set()

    def notify_registrations(self) -> None:
        """Wakes those who wait for a change of the registrations."""
        self.registrations_changed.set()
        self.registrations_changed.clear()

    # Keeping the rows.

    def check(self) -> None:
        """Reads and changes the rows of all services as far as needed."""
        current = self.policy_tracker.policy
        if current is None:
            return
        if current is not self.streaming_policy:
            self.streaming_policy = current
            self.streaming = sorted(
                {
                    target.service
                    for route in current.routes
                    if route.repeat is policy.Repeat.STREAM
                    for target in route.targets
                }
            )
        for service in self.streaming:
            try:
                self.check_service(service)
            except errors.PlatformError as error:
                self.due_at[service] = self.clock.monotonic() + RETRY_S
                logger.info(
                    "versions of a service not read or written",
                    service=service,
                    reason=error.message,
                )

    def check_service(self, service: str) -> None:
        """Reads or changes the row of one service if that is needed and due.

        Raises:
            errors.PlatformError: The store did not answer usably.
        """
        now = self.clock.monotonic()
        registered = self.registered(service)
        if not registered:
            return
        known = self.services.get(service)
        if known is not None:
            self.note_absent(known, registered, now)
            self.confirm(known, registered)
        if not self.needs_check(service, known, registered, now):
            self.due_at.pop(service, None)
            return
        if known is not None:
            self.due_at.setdefault(service, now + self.read_delay_s())
        if now < self.due_at.get(service, now):
            return
        with self.table_lock:
            self.update(service)

    def refresh(self, service: str) -> version_rows.KnownVersions | None:
        """Reads the row of a service, so that it is as of this call or later.

        Calls that wait for the same read share it.

        Returns:
            What is known; None if there is no row yet.

        Raises:
            errors.PlatformError: The store did not answer usably.
        """
        if not self.registered(service):
            return self.services.get(service)
        called_at = self.clock.monotonic()
        with self.table_lock:
            for _ in range(MAX_REFRESHES):
                known = self.services.get(service)
                if known is not None and known.read_at > called_at:
                    return known
                failure = self.failures.get(service)
                if failure is not None and failure.read_at > called_at:
                    raise errors.TableUnavailableError(failure.reason)
                if self.update(service):
                    break
        return self.services.get(service)

    def update(self, service: str) -> bool:
        """Reads the row of a service and changes it if that is needed.

        Returns:
            Whether the row is known as of this read.

        Raises:
            errors.PlatformError: The store did not answer usably.
        """
        now = self.clock.monotonic()
        try:
            stored = self.table.read(service)
            if stored.state is None and service not in self.missing:
                # Of many hosts that start together one creates the row.
                self.missing.add(service)
                delay_s = self.read_delay_s()
                if delay_s:
                    self.due_at[service] = now + delay_s
                    return False
            wanted = self.wanted_state(
                service,
                self.services.get(service),
                stored,
                self.registered(service),
            )
            is_written = wanted != stored.state
            if is_written and not self.table.replace(
                service, wanted, stored.position
            ):
                self.due_at[service] = now + RETRY_S * self.generator.random()
                return False
        except errors.PlatformError as error:
            self.failures[service] = version_rows.ReadFailure(
                now, error.message
            )
            raise
        self.due_at.pop(service, None)
        self.adopt(service, wanted, stored.now_ms, is_written, now)
        return True

    def read_delay_s(self) -> float:
        """Returns how long this host leaves changes to the first one by name.

        It is in seconds. A host that doesn't know the others yet can't tell
        which is the first; changes are conditional.
        """
        if not self.peers.known or self.peers.rank() == 0:
            return 0.0
        return READ_DELAY_S * (1.0 + self.generator.random())

    def note_absent(
        self,
        known: version_rows.KnownVersions,
        registered: set[str],
        now: float,
    ) -> None:
        """Records since when versions have had no registered engine."""
        for version in (known.state.base, *known.state.others):
            if version in registered:
                known.absent_since.pop(version, None)
            else:
                known.absent_since.setdefault(version, now)

    def confirm(
        self, known: version_rows.KnownVersions, registered: set[str]
    ) -> None:
        """Confirms the copy of a row of one version by the registrations.

        The base changes only while another version is registered, which this
        host sees unless it was out of step meanwhile.
        """
        if registered - {known.state.base, *known.state.others}:
            known.is_outdated = True
        read_at = self.directory.read_at
        if (
            not known.state.others
            and not known.is_outdated
            and read_at - known.confirmed_at <= MAX_COPY_AGE_S
        ):
            known.confirmed_at = max(known.confirmed_at, read_at)

    def needs_check(
        self,
        service: str,
        known: version_rows.KnownVersions | None,
        registered: set[str],
        now: float,
    ) -> bool:
        """Returns whether the row has to be read."""
        if known is None or known.state.epoch < self.epochs.epoch:
            return True
        state = known.state
        if registered - {state.base, *state.others} or known.is_outdated:
            return True
        if not state.others:
            return self.directory.read_at - known.confirmed_at > MAX_COPY_AGE_S
        if self.peers.rank() == 0 and self.expired(known):
            return True
        return now - known.read_at > READ_INTERVAL_S

    def expired(self, known: version_rows.KnownVersions) -> set[str]:
        """Returns the versions whose streams can't be taken up any more."""
        if self.directory.age() > MAX_DIRECTORY_AGE_S:
            return set()
        oldest = self.clock.monotonic() - self.lifetime_s()
        return {
            version
            for version, since in known.absent_since.items()
            if since < oldest
        }

    def wanted_state(
        self,
        service: str,
        known: version_rows.KnownVersions | None,
        stored: version_rows.StoredVersions,
        registered: set[str],
    ) -> version_rows.VersionState:
        """Returns what the row should hold.

        Args:
            service: The service.
            known: What this host has known; None if it has just started.
            stored: What the store holds.
            registered: Versions of the registered engines.
        """
        epoch = stored.position.epoch
        lifetime_ms = int(self.lifetime_s() * MS_PER_S)
        state = stored.state
        if state is None and known is not None:
            state = known.state
        if state is None:
            # Of several versions the oldest engine has the one of before.
            base = self.oldest_version(service)
            is_new = epoch <= store_epochs.FIRST_EPOCH
            return version_rows.VersionState(
                base,
                dict.fromkeys(registered - {base}, stored.now_ms),
                epoch,
                0 if is_new else stored.now_ms + lifetime_ms,
            )
        # The clock of a restored store may have gone back.
        others = {
            version: min(added_ms, stored.now_ms)
            for version, added_ms in state.others.items()
        }
        base_change_ms = lifetime_ms + int(MAX_COPY_AGE_S * MS_PER_S)
        uncertain_until_ms = min(
            state.uncertain_until_ms, stored.now_ms + base_change_ms
        )
        if known is not None:
            for version in {known.state.base, *known.state.others} - {
                state.base
            }:
                if known.state.epoch < epoch:
                    # A restoration has taken the row back.
                    others.setdefault(version, stored.now_ms)
        if state.epoch < epoch and (
            known is None or others or known.state.others
        ):
            uncertain_until_ms = max(
                uncertain_until_ms, stored.now_ms + lifetime_ms
            )
        for version in registered - {state.base}:
            others.setdefault(version, stored.now_ms)
        base = state.base
        if known is not None and self.peers.rank() == 0:
            for version in self.expired(known) & others.keys():
                del others[version]
            if base in self.expired(known) and others:
                base = self.most_common_version(service, others)
                del others[base]
                uncertain_until_ms = stored.now_ms + base_change_ms
        return version_rows.VersionState(
            base, others, epoch, uncertain_until_ms
        )

    def oldest_version(self, service: str) -> str:
        """Returns the version of the engine that started first."""
        first = min(
            (
                upstream
                for upstream in self.directory.upstreams.values()
                if upstream.service == service
            ),
            key=lambda upstream: (upstream.started_ms, upstream.id),
        )
        return first.version

    def most_common_version(
        self, service: str, versions: dict[str, int]
    ) -> str:
        """Returns the one of some versions that most engines have."""
        counts = dict.fromkeys(versions, 0)
        for upstream in self.directory.upstreams.values():
            if upstream.service == service and upstream.version in counts:
                counts[upstream.version] += 1
        return max(counts, key=lambda version: (counts[version], version))

    def adopt(
        self,
        service: str,
        state: version_rows.VersionState,
        now_ms: int,
        is_written: bool,
        read_at: float,
    ) -> None:
        """Takes over a row that was read or written.

        Args:
            service: The service.
            state: The row.
            now_ms: The store's clock, in milliseconds.
            is_written: Whether this host has written it.
            read_at: Instant at which the read was sent, in seconds.
        """
        now = self.clock.monotonic()
        known = self.services.get(service)
        previous = known.state if known else None
        offset_ms = now_ms - now * MS_PER_S
        if known is None:
            known = self.services[service] = version_rows.KnownVersions(
                state, offset_ms, read_at
            )
        known.state = state
        known.clock_offset_ms = offset_ms
        known.read_at = known.confirmed_at = read_at
        known.is_outdated = False
        versions = {state.base, *state.others}
        known.absent_since = {
            version: since
            for version, since in known.absent_since.items()
            if version in versions
        }
        if state == previous:
            return
        logger.info(
            "versions of a service",
            service=service,
            base=state.base,
            others=sorted(state.others),
            epoch=state.epoch,
            uncertain_s=round(
                max(state.uncertain_until_ms - now_ms, 0) / MS_PER_S, 1
            ),
            written=is_written,
        )
        self.all_open.clear()
        self.changed.set()
        self.changed.clear()
        for notify_change in self.on_change:
            notify_change()
        if previous is None:
            return
        if previous.epoch < state.epoch:
            for notify_restored in self.on_restored:
                notify_restored(service)
        elif previous.base != state.base:
            for notify_base in self.on_base_changed:
                notify_base(service, previous.base)
