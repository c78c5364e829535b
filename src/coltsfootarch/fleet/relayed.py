"""Exchange of state through relays; `docs/exchange.md` describes the design.

This module decides who sends what to whom and when. It needs neither a socket
nor a clock of its own, so that tests can step hundreds of hosts.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING
from typing import Protocol

import structlog

from coltsfootarch.fleet import envelopes
from coltsfootarch.fleet import hosts
from coltsfootarch.fleet import merging
from coltsfootarch.fleet import relay_choice
from coltsfootarch.fleet import reports
from coltsfootarch.fleet import sources
from coltsfootarch.fleet import topology

if TYPE_CHECKING:
    import random
    from collections.abc import Callable
    from collections.abc import Iterable

    from coltsfootarch import clock as clocks

# Interval of messages. It grows with the fleet, since sums and the number of
# relays do, up to a limit at which loads are still recent enough to place by.
MIN_TICK_S = 0.12
MAX_TICK_S = 0.25
TICK_PER_HOST_S = 0.0013
# Hosts that were reached within this time count as possibly serving.
PEAK_S = 25.0
# Hosts of a zone without an answering relay that are tried with each message.
RANDOM_TARGETS = 2
# Sum of the hosts behind this host's relay, as the sender of its report.
FLEET = "fleet"
# Part of its messages by which a relay moves the first one on at each tick. A
# full link drops the last datagrams of a tick; without this the same members
# would lose all messages and take the relay for down.
TURN_FRACTION = 0.618
# A sender is logged as unreadable at most once in this time, in seconds.
LOG_INTERVAL_S = 60.0

logger = structlog.get_logger(__name__)

Kind = envelopes.Kind


def tick_s(hosts_in_fleet: int) -> float:
    """Returns the interval of messages in a fleet, in seconds."""
    return min(max(hosts_in_fleet * TICK_PER_HOST_S, MIN_TICK_S), MAX_TICK_S)


class PolicyConfirmations(Protocol):
    """Policy of this host, whose confirmation is passed on."""

    def version(self) -> int:
        """Returns the version in force; -1 if there is none."""

    def age(self) -> float:
        """Returns the seconds since it was last confirmed."""

    def confirm_passed(
        self, version: int, at: float, epoch: int = 0, digest: int = 0
    ) -> None:
        """Records that another host confirmed a version.

        Args:
            version: The version.
            at: Instant, in seconds of this host's clock, not later than the
                confirmation.
            epoch: Epoch of the store in which the version was last seen; 0 if
                the store was never restored.
            digest: Digest of the stored policy; 0 if unknown.
        """


class RelayedExchange:
    """One host's part in the exchange through relays.

    Args:
        directory: Directory of the other hosts.
        clock: Source of time.
        make_report: Returns a report of this host's own state.
        apply_report: Merges a report; see `reports.Participant`.
        send: Sends a datagram to an address.
        confirmations: Policy of this host.
        is_excluded: Returns whether a host, given by its name, reports directly
            and can't relay.
        generator: Source of randomness.

    Attributes:
        topology: Relays of each zone.
        choice: Role of this host.
        relaying: Whether it relayed at the last tick.
        counts: Numbers of messages and bytes.
        latest: Latest message of each host by its name.
        members: Hosts that have joined this one, with their latest messages.
        groups: Other relays, with their latest messages; also hosts that answer
            without relaying, which include no hosts.
        unanswered_since: Instant of the first unanswered message to a relay.
        fleet_source: Last sum of all other hosts that was applied.
        usage: Usage of all hosts.
        group_usage: Usage of this host and its members.
    """

    def __init__(
        self,
        directory: hosts.HostDirectory,
        clock: clocks.Clock,
        make_report: Callable[[], reports.Report],
        apply_report: Callable[[reports.Report, bool], object],
        send: Callable[[bytes, str], object],
        confirmations: PolicyConfirmations,
        is_excluded: Callable[[str], bool],
        generator: random.Random,
    ) -> None:
        self.is_excluded = is_excluded
        self.generator = generator
        self.directory = directory
        self.clock = clock
        self.make_report = make_report
        self.apply_report = apply_report
        self.send_datagram = send
        self.confirmations = confirmations
        self.topology = topology.Topology(directory, clock, is_excluded)
        self.assembler = envelopes.PageAssembler()
        self.usage = merging.UsageTotals(clock.monotonic)
        self.group_usage = merging.UsageTotals(clock.monotonic)
        self.counts = sources.ExchangeCounts()
        self.sequence = 0
        self.turn = 0
        self.choice = relay_choice.RelayChoice(
            directory.own.name, self.topology, clock, self.heard_relay
        )
        self.relaying = False
        self.latest: dict[str, sources.Source] = {}
        self.members: dict[str, sources.Source] = {}
        self.groups: dict[str, sources.Source] = {}
        self.unanswered_since: dict[str, float] = {}
        self.fleet_source: sources.Source | None = None
        self.reached_history: collections.deque[tuple[float, int]] = (
            collections.deque()
        )
        self.logged_at = float("-inf")

    # Sending.

    def tick(self) -> None:
        """Sends what is due; called every `tick_s` and on important changes."""
        self.expire()
        self.update_role()
        if self.relaying:
            self.send_sums()
        else:
            self.send_to_relay()
        probe = self.choice.next_probe()
        if probe is not None:
            self.send(probe, Kind.PROBE)

    def update_role(self) -> None:
        """Updates this host's role; ends sums that no longer apply."""
        choice = self.choice
        source = self.latest.get(choice.relay or "")
        heard_at = source.received_at if source else float("-inf")
        choice.update(bool(self.members), heard_at)
        if choice.relaying == self.relaying:
            return
        self.relaying = choice.relaying
        if self.relaying:
            self.clear(FLEET)
            logger.info("relaying started", members=len(self.members))
        else:
            self.end_relaying()

    def heard_relay(self) -> str | None:
        """Returns a relay of this zone that answers this relaying host.

        Only one that precedes this host, so that no two join each other.
        """
        own = self.directory.own
        heard = [
            name
            for name, source in self.groups.items()
            if source.envelope.hosts
            and source.envelope.availability_zone == own.availability_zone
            and topology.score(name) < topology.score(own.name)
        ]
        return min(heard, key=topology.score, default=None)

    def end_relaying(self) -> None:
        """Drops the sums of other relays, which its own relay includes."""
        self.directory.relays = None
        for source in self.groups.values():
            self.clear(source.report.host)
        self.groups.clear()
        self.unanswered_since.clear()
        logger.info("relaying stopped", relay=self.choice.relay)

    def clear(self, name: str) -> None:
        """Ends the effect of the last report under a name."""
        self.apply_report(reports.empty_report(name, 0, 0), False)

    def send_to_relay(self) -> None:
        """Sends this host's state to its relay."""
        target = self.choice.relay or self.choice.joining
        if target is not None:
            report = reports.encode(self.make_report())
            self.send(target, Kind.MEMBER, report, hosts_included=1)

    def send_sums(self) -> None:
        """Sends the sum of the group to relays and all others to members."""
        own = self.make_report()
        own_usage = self.usage.differences("", own.usage, True)
        self.usage.add(own_usage)
        self.group_usage.add(own_usage)
        now = self.clock.monotonic()
        included = 1 + len(self.members)
        reached = included + sum(
            source.envelope.hosts for source in self.groups.values()
        )
        reached += sum(map(self.is_excluded, self.directory.peers))
        self.record_reached(reached)
        own_received = merging.Received(own)
        of_members = {
            name: source.with_age(now) for name, source in self.members.items()
        }
        group = self.add_own(
            merging.merge([own_received, *of_members.values()]),
            own,
            self.group_usage.usage(),
        )
        data = reports.encode(group)
        others = merging.Received(
            merging.merge(
                source.with_age(now) for source in self.groups.values()
            )
        )
        relays = list(self.relay_targets())
        targets = [(name, False) for name in relays]
        targets += [(name, True) for name in self.members]
        if not targets:
            return
        self.turn += 1
        first = int(self.turn * TURN_FRACTION * len(targets)) % len(targets)
        for name, is_member in targets[first:] + targets[:first]:
            if is_member:
                self.send_fleet(name, own, others, of_members)
            else:
                self.send(name, Kind.GROUP, data, included)
        for name in relays:
            self.note_unanswered(name, now)

    def send_fleet(
        self,
        member: str,
        own: reports.Report,
        others: merging.Received,
        of_members: dict[str, merging.Received],
    ) -> None:
        """Sends a member the sum of all other hosts."""
        merged = merging.merge(
            [
                merging.Received(own),
                others,
                *(each for name, each in of_members.items() if name != member),
            ]
        )
        report = self.add_own(merged, own, self.usage.usage(without=member))
        passed = self.directory.passed
        self.send(
            member,
            Kind.FLEET,
            reports.encode(report),
            hosts_included=passed.reached if passed else 1,
        )

    def add_own(
        self,
        merged: reports.Report,
        own: reports.Report,
        usage: list[tuple[str, int, int]],
    ) -> reports.Report:
        """Returns a sum with this host's registrations and with usage."""
        return merged._replace(
            host=own.host,
            incarnation=own.incarnation,
            sequence=own.sequence,
            usage=usage,
            directory=own.directory,
            directory_age_ms=own.directory_age_ms,
            directory_revision=own.directory_revision,
            directory_base=own.directory_base,
            directory_changed=own.directory_changed,
            directory_removed=own.directory_removed,
            store_epoch=own.store_epoch,
            policy_epoch=own.policy_epoch,
            policy_digest=own.policy_digest,
        )

    def relay_targets(self) -> Iterable[str]:
        """Returns the relays to which this host sends its sum."""
        targets = set(self.topology.all_relays())
        targets.update(
            name
            for name, source in self.groups.items()
            if source.envelope.hosts
        )
        heard_zones = {
            source.envelope.availability_zone for source in self.groups.values()
        }
        if self.choice.joining is None:
            heard_zones.add(self.directory.own.availability_zone)
        for zone, names in self.topology.ordered.items():
            if zone not in heard_zones:
                # Finds a host that answers though the first ones don't.
                count = min(RANDOM_TARGETS, len(names))
                targets.update(self.generator.sample(names, count))
        targets.discard(self.directory.own.name)
        return sorted(targets)

    def note_unanswered(self, name: str, now: float) -> None:
        """Records a failure of a relay that hasn't answered for too long."""
        if name in self.groups:
            self.unanswered_since.pop(name, None)
            return
        since = self.unanswered_since.setdefault(name, now)
        if now - since > hosts.REPORT_TIMEOUT_S:
            self.topology.record_failure(name)
            del self.unanswered_since[name]

    def record_reached(self, included: int) -> None:
        """Records the number of hosts in the sums and those expected.

        A host that moves to another relay is in two sums for a moment.
        """
        now = self.clock.monotonic()
        reached = min(included, 1 + len(self.directory.peers))
        history = self.reached_history
        while history and history[0][0] < now - PEAK_S:
            history.popleft()
        # Only counts that no later one exceeds can become the peak.
        while history and history[-1][1] <= reached:
            history.pop()
        history.append((now, reached))
        passed = self.directory.passed
        # The number that was passed on last must not keep itself alive.
        self.directory.passed = None
        known = self.directory.count()
        self.directory.passed = passed
        self.directory.pass_counts(reached, max(history[0][1], known))
        others = [
            name
            for name, source in self.groups.items()
            if source.envelope.hosts
        ]
        self.directory.relays = sorted([self.directory.own.name, *others])

    def leave(self) -> None:
        """Ends the exchange through relays, as the fleet has become small."""
        if self.directory.passed is None:
            return
        if self.relaying:
            self.relaying = False
            self.end_relaying()
        self.choice.reset()
        self.directory.passed = None
        self.clear(FLEET)
        logger.info("exchange through relays ended")

    def send(
        self,
        name: str,
        kind: Kind,
        report: bytes = b"",
        hosts_included: int = 0,
    ) -> None:
        """Sends a message to a host, if its address is known."""
        peer = self.directory.peers.get(name)
        if peer is None:
            return
        latest = self.latest.get(name)
        now = self.clock.monotonic()
        own = self.directory.own
        self.sequence += 1
        passed = self.directory.passed
        age_s = self.confirmations.age()
        envelope = envelopes.Envelope(
            envelopes.PROTOCOL_VERSION,
            kind,
            own.name,
            own.availability_zone,
            own.incarnation,
            self.sequence,
            int(now * 1000),
            latest.envelope.incarnation if latest else -1,
            latest.envelope.sent_ms if latest else 0,
            int((now - latest.received_at) * 1000) if latest else 0,
            hosts_included,
            passed.expected if passed else self.directory.count(),
            self.confirmations.version(),
            # Rounded up, since a confirmation must not look more recent.
            int(age_s * 1000) + 1 if age_s < PEAK_S else -1,
            report,
            *self.own_relay_address(),
        )
        for page in envelopes.encode(envelope):
            self.counts.sent_bytes[kind.value] += len(page)
            self.send_datagram(page, peer.record.address)
        self.counts.sent[kind.value] += 1

    def own_relay_address(self) -> tuple[str, str]:
        """Returns name and address of the relay; empty while relaying."""
        relay = self.choice.relay
        source = self.latest.get(relay or "")
        if relay is None or source is None:
            return "", ""
        return relay, source.address

    # Receiving.

    def receive(self, data: bytes, address: str) -> None:
        """Handles a datagram; drops unreadable and outdated messages.

        Args:
            data: Content of the datagram.
            address: "ip:port" of the sender.
        """
        try:
            envelope = self.assembler.add(data)
            if envelope is None:
                return
            report = sources.decode_report(envelope)
        except envelopes.UnreadableMessageError as error:
            self.drop(error.reason, address)
            return
        self.counts.received[envelope.kind.value] += 1
        self.counts.received_bytes[envelope.kind.value] += len(data)
        if envelope.sender == self.directory.own.name:
            self.drop("own", address)
            return
        now = self.clock.monotonic()
        previous = self.latest.get(envelope.sender)
        if previous is not None and sources.is_outdated(
            envelope, previous, now
        ):
            self.drop("outdated", address)
            return
        own_incarnation = self.directory.own.incarnation
        if sources.is_late(envelope, own_incarnation, now):
            self.drop("late", address)
            return
        source = sources.Source(now, address, envelope, report)
        self.latest[envelope.sender] = source
        self.topology.record_answer(envelope.sender)
        self.directory.record_report(
            envelope.sender,
            address,
            envelope.incarnation,
            envelope.availability_zone,
        )
        self.directory.tell_size(envelope.expected)
        self.note_confirmation(envelope, report)
        self.handle(source)

    def handle(self, source: sources.Source) -> None:
        """Handles a message by its kind."""
        kind = source.envelope.kind
        if kind is Kind.MEMBER:
            self.handle_member(source)
        elif kind is Kind.GROUP:
            self.handle_group(source)
        elif kind is Kind.FLEET:
            self.handle_fleet(source)
        elif kind is Kind.PROBE:
            # A member doesn't probe its own relay, so that it has left.
            if self.members.pop(source.envelope.sender, None) is not None:
                self.clear(source.envelope.sender)
            self.send(source.envelope.sender, Kind.PROBE_ANSWER)
        else:
            self.choice.record_probe_answer(
                source.envelope.sender, bool(self.members)
            )

    def handle_member(self, source: sources.Source) -> None:
        """Includes a member in the sums."""
        name = source.envelope.sender
        previous = self.members.get(name)
        self.members[name] = source
        continuous = sources.is_continuous(source, previous)
        self.apply_report(source.report, continuous)
        differences = self.usage.differences(
            name, source.report.usage, continuous
        )
        self.usage.add(differences, member=name)
        self.group_usage.add(differences)
        if previous is None:
            logger.debug("member joined", member=name)

    def handle_group(self, source: sources.Source) -> None:
        """Includes another relay's sum; a host that doesn't relay answers."""
        name = source.envelope.sender
        if not self.relaying:
            # It is included elsewhere, and tells where.
            self.send(name, Kind.GROUP, hosts_included=0)
            return
        if source.envelope.relay:
            self.note_relay(source.envelope)
        if source.envelope.hosts:
            self.members.pop(name, None)
        previous = self.groups.get(name)
        self.groups[name] = source
        continuous = sources.is_continuous(source, previous)
        report = source.report._replace(host=f"relay/{name}")
        self.groups[name] = source._replace(report=report)
        self.apply_report(report, continuous)
        self.usage.add(
            self.usage.differences(f"relay/{name}", report.usage, continuous)
        )

    def note_relay(self, envelope: envelopes.Envelope) -> None:
        """Tries the relay of a host that doesn't relay itself."""
        name = envelope.relay
        if name == self.directory.own.name:
            return
        if name not in self.directory.peers:
            self.directory.add(
                hosts.HostRecord(
                    name,
                    envelope.relay_address,
                    envelope.availability_zone,
                    0,
                    0,
                )
            )
        if name not in self.groups:
            self.topology.record_answer(name)

    def handle_fleet(self, source: sources.Source) -> None:
        """Applies the sum that this host's relay sent."""
        name = source.envelope.sender
        if self.members:
            return
        left = self.choice.record_joined(name)
        if left is not None:
            # Not a message of a member, so that the relay drops this host.
            self.send(left, Kind.PROBE)
        if name != self.choice.relay:
            return
        previous, self.fleet_source = self.fleet_source, source
        continuous = (
            previous is not None
            and previous.envelope.sender == name
            and sources.is_continuous(source, previous)
        )
        self.directory.pass_counts(
            source.envelope.hosts, source.envelope.expected
        )
        self.apply_report(source.report._replace(host=FLEET), continuous)

    def note_confirmation(
        self, envelope: envelopes.Envelope, report: reports.Report
    ) -> None:
        """Passes on a confirmation of the policy.

        The age alone proves nothing, since datagrams may be delivered late. The
        echo of this host's own clock does: the sender had that message for
        `held_ms`, and its confirmation is `policy_age_ms` old.
        """
        if envelope.policy_version < 0:
            return
        at = float("-inf")
        own = self.directory.own.incarnation
        if envelope.echo_incarnation == own and envelope.policy_age_ms >= 0:
            at_ms = envelope.echo_ms + envelope.held_ms - envelope.policy_age_ms
            at = at_ms / 1000
        self.confirmations.confirm_passed(
            envelope.policy_version,
            at,
            report.policy_epoch,
            report.policy_digest,
        )

    def expire(self) -> None:
        """Drops members and relays that have fallen silent."""
        oldest = self.clock.monotonic() - hosts.REPORT_TIMEOUT_S
        for name in [
            name
            for name, source in self.members.items()
            if source.received_at < oldest
        ]:
            del self.members[name]
            self.usage.forget(name)
            logger.debug("member left", member=name)
        for name in [
            name
            for name, source in self.groups.items()
            if source.received_at < oldest
        ]:
            del self.groups[name]
            self.usage.forget(f"relay/{name}")
            logger.info("other relay is silent", relay=name)

    def drop(self, reason: str, address: str) -> None:
        """Counts a dropped message; logs an unreadable one now and then."""
        self.counts.dropped[reason] += 1
        now = self.clock.monotonic()
        if reason not in ("own", "outdated", "late") and (
            now - self.logged_at > LOG_INTERVAL_S
        ):
            self.logged_at = now
            logger.warning(
                "message of a host is unreadable; dropped",
                reason=reason,
                address=address,
                dropped=self.counts.dropped[reason],
            )
