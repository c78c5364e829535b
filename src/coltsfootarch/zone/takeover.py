"""Decides when an unresponsive zone peer may be taken over."""

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
    """What was observed of an unresponsive host.

    Attributes:
        record: Its session.
        version: Version of its session row.
        unchanged_since: When this version was first read.
        read_at: When the row was last read.
        unanswered_since: When the first of an unbroken series of unanswered
            probe rounds was sent.
        unanswered_at: When the last round of this series was sent.
    """

    def __init__(self, record: records.SessionRecord) -> None:
        self.record = record
        self.version = 0
        self.unchanged_since = math.inf
        self.read_at = -math.inf
        self.unanswered_since = math.inf
        self.unanswered_at = -math.inf


class TakeoverWatch:
    """Observes unresponsive zone peers, probes them and takes them over.

    A host whose probe on a new connection went unanswered was paused for longer
    than `CONTINUOUS_GAP` and can't extend its session any more, or extends it
    on the acknowledgement of a peer that can't be asked. In both cases what it
    had extended ends before the probes were unanswered for `UNANSWERED`.

    Args:
        sender: This host.
        session: Its session.
        directory: The directory.
        membership: Heartbeats and probes.
        claims: Does the takeover.
        clock: Source of time.

    Attributes:
        taken_over: Hosts taken over.
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
        """Removes all observations, since this host was paused."""
        self.suspicions.clear()

    def observe(self) -> None:
        """Reads the rows of unresponsive hosts.

        Raises:
            TableUnavailableError: The store did not answer.
        """
        self.update_suspicions()
        now = self.clock.monotonic()
        for suspicion in list(self.suspicions.values()):
            if now - suspicion.read_at >= timing.OBSERVE_INTERVAL:
                self.read(suspicion)

    def update_suspicions(self) -> None:
        """Starts and ends suspicions by who was heard."""
        unheard = {
            (record.host, record.incarnation): record
            for record in self.membership.predecessors()
            if self.membership.heard_age(record.host, record.incarnation)
            > timing.SUSPECT_AFTER
        }
        earlier = self.session.blocked_by
        if earlier is not None:
            unheard[(earlier.host, earlier.incarnation)] = earlier
        for key in list(self.suspicions):
            if key not in unheard:
                del self.suspicions[key]
        for key, record in unheard.items():
            if key not in self.suspicions:
                self.suspicions[key] = Suspicion(record)

    def read(self, suspicion: Suspicion) -> None:
        """Reads a host's session row; a new version restarts the time."""
        record = suspicion.record
        key = records.session_key(record.availability_zone, record.host)
        row = self.directory.tables.get(records.HOSTS, key)
        now = self.clock.monotonic()
        suspicion.read_at = now
        if row is None:
            self.directory.next_poll = -math.inf
            if record.host == self.sender.host:
                self.session.blocked_by = None
            return
        if row.version != suspicion.version:
            suspicion.version = row.version
            suspicion.unchanged_since = now

    def probe(self) -> None:
        """Probes all unresponsive hosts directly and through zone peers."""
        self.probed_at = self.clock.monotonic()
        pool = gevent.pool.Pool(timing.MAX_PARALLEL_PROBES)
        for suspicion in list(self.suspicions.values()):
            pool.spawn(self.probe_one, suspicion)
        pool.join()

    def probe_due(self) -> bool:
        """Returns whether there is someone to probe now."""
        now = self.clock.monotonic()
        due = now - self.probed_at >= timing.PROBE_INTERVAL
        return due and bool(self.suspicions)

    def probe_one(self, suspicion: Suspicion) -> None:
        """Probes one unresponsive host."""
        record = suspicion.record
        sent = self.clock.monotonic()
        target = messages.Sender(
            record.host,
            record.incarnation,
            record.availability_zone,
            record.address,
        )
        if self.membership.heard_by_anyone(target):
            suspicion.unanswered_since = math.inf
            suspicion.unanswered_at = -math.inf
            return
        suspicion.unanswered_since = min(suspicion.unanswered_since, sent)
        suspicion.unanswered_at = sent

    def ready(self, suspicion: Suspicion) -> bool:
        """Returns whether all conditions but the transaction are met."""
        now = self.clock.monotonic()
        unchanged = now - suspicion.unchanged_since
        if unchanged < timing.TAKEOVER_AFTER:
            return False
        unanswered = suspicion.unanswered_at - suspicion.unanswered_since
        if not unanswered >= timing.UNANSWERED:
            return False
        if now - suspicion.unanswered_at > timing.PROBE_FRESHNESS:
            return False
        own = suspicion.record.host == self.sender.host
        return own or self.session.store_valid()

    def take_over(self) -> None:
        """Takes over the hosts for which all conditions are met.

        Raises:
            PlatformError: The store did not answer or a row has changed.
        """
        for key, suspicion in list(self.suspicions.items()):
            if self.ready(suspicion):
                self.claims.take_over(suspicion.record, suspicion.version)
                self.taken_over += 1
                self.suspicions.pop(key, None)
