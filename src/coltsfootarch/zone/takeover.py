"""Detects dead zone peers and triggers their takeover."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import gevent.pool

from coltsfootarch.protocol import messages
from coltsfootarch.zone import records
from coltsfootarch.zone import timing

if TYPE_CHECKING:
    from coltsfootarch import clock
    from coltsfootarch.zone import claims
    from coltsfootarch.zone import directory
    from coltsfootarch.zone import membership
    from coltsfootarch.zone import session


class Suspicion:
    """Observations of an unresponsive host; instants are monotonic seconds.

    Attributes:
        record: Session of the host.
        version: Version of its session row.
        unchanged_since: Instant at which this version was first read.
        read_at: Instant at which the row was last read.
        unanswered_since: Instant at which the first of the consecutive
            unanswered probe rounds was sent.
        unanswered_at: Instant at which the last of these rounds was sent.
    """

    def __init__(self, record: records.SessionRecord) -> None:
        self.record = record
        self.version = 0
        self.unchanged_since = math.inf
        self.read_at = -math.inf
        self.unanswered_since = math.inf
        self.unanswered_at = -math.inf


class TakeoverMonitor:
    """Monitors unresponsive zone peers, probes them and takes them over.

    A live host that leaves a probe on a new connection unanswered was either
    paused for longer than `MAX_TICK_GAP`, and can't extend its session any
    more, or extends it on the acknowledgement of a peer that can't be reached
    from here. In both cases its last extension ends before its probes have been
    unanswered for `MIN_UNANSWERED_TIME`.

    Args:
        sender: This host.
        session: Session of this host.
        directory: The shard directory.
        membership: Last contacts with zone peers, and probes.
        claims: Performs the takeover.
        clock: Source of time.

    Attributes:
        suspicions: Observations by host and incarnation.
        taken_over: Number of hosts taken over.
    """

    def __init__(
        self,
        sender: messages.Sender,
        session: session.Session,
        directory: directory.Directory,
        membership: membership.Membership,
        claims: claims.ShardClaims,
        clock: clock.Clock,
    ) -> None:
        self.sender = sender
        self.session = session
        self.directory = directory
        self.membership = membership
        self.claims = claims
        self.clock = clock
        self.suspicions: dict[tuple[str, int], Suspicion] = {}
        self.probed_at = -math.inf
        self.taken_over = 0

    def reset(self) -> None:
        """Discards all observations; called after this host was paused."""
        self.suspicions.clear()

    def observe(self) -> None:
        """Updates the suspicions and reads the rows of suspected hosts.

        Raises:
            TableUnavailableError: The store did not answer.
        """
        self.update_suspicions()
        now = self.clock.monotonic()
        for suspicion in list(self.suspicions.values()):
            if now - suspicion.read_at >= timing.OBSERVE_INTERVAL:
                self.read_session(suspicion)

    def update_suspicions(self) -> None:
        """Adds and removes suspicions according to the last contacts."""
        unresponsive = {
            (record.host, record.incarnation): record
            for record in self.membership.predecessors()
            if self.membership.contact_age(record.host, record.incarnation)
            > timing.SUSPECT_AFTER
        }
        blocking = self.session.blocked_by
        if blocking is not None:
            unresponsive[(blocking.host, blocking.incarnation)] = blocking
        for key in list(self.suspicions):
            if key not in unresponsive:
                del self.suspicions[key]
        for key, record in unresponsive.items():
            if key not in self.suspicions:
                self.suspicions[key] = Suspicion(record)

    def read_session(self, suspicion: Suspicion) -> None:
        """Reads a session row; a new version restarts the observation."""
        record = suspicion.record
        key = records.session_key(record.availability_zone, record.host)
        row = self.directory.tables.get(records.HOSTS, key)
        now = self.clock.monotonic()
        suspicion.read_at = now
        if row is None:
            self.directory.next_poll_at = -math.inf
            if record.host == self.sender.host:
                self.session.blocked_by = None
            return
        if row.version != suspicion.version:
            suspicion.version = row.version
            suspicion.unchanged_since = now

    def probe(self) -> None:
        """Probes all suspected hosts, directly and through zone peers."""
        self.probed_at = self.clock.monotonic()
        pool = gevent.pool.Pool(timing.MAX_PARALLEL_PROBES)
        for suspicion in list(self.suspicions.values()):
            pool.spawn(self.probe_suspect, suspicion)
        pool.join()

    def probe_due(self) -> bool:
        """Returns whether a probe round is due and any host is suspected."""
        now = self.clock.monotonic()
        due = now - self.probed_at >= timing.PROBE_INTERVAL
        return due and bool(self.suspicions)

    def probe_suspect(self, suspicion: Suspicion) -> None:
        """Probes one suspected host and records the outcome."""
        record = suspicion.record
        sent_at = self.clock.monotonic()
        target = messages.Sender(
            record.host,
            record.incarnation,
            record.availability_zone,
            record.address,
        )
        if self.membership.has_recent_contact(target):
            suspicion.unanswered_since = math.inf
            suspicion.unanswered_at = -math.inf
            return
        suspicion.unanswered_since = min(suspicion.unanswered_since, sent_at)
        suspicion.unanswered_at = sent_at

    def is_confirmed(self, suspicion: Suspicion) -> bool:
        """Returns whether the host may be taken over.

        Whether its session row is still unchanged is checked by the transaction
        of the takeover.
        """
        now = self.clock.monotonic()
        unchanged = now - suspicion.unchanged_since
        if unchanged < timing.TAKEOVER_AFTER:
            return False
        unanswered = suspicion.unanswered_at - suspicion.unanswered_since
        if not unanswered >= timing.MIN_UNANSWERED_TIME:
            return False
        if now - suspicion.unanswered_at > timing.MAX_PROBE_AGE:
            return False
        own = suspicion.record.host == self.sender.host
        return own or self.session.store_valid()

    def take_over(self) -> None:
        """Takes over the hosts whose suspicion is confirmed.

        Raises:
            PlatformError: The store did not answer or a row has changed.
        """
        for key, suspicion in list(self.suspicions.items()):
            if self.is_confirmed(suspicion):
                self.claims.take_over(suspicion.record, suspicion.version)
                self.taken_over += 1
                self.suspicions.pop(key, None)
