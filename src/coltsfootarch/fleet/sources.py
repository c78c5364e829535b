"""Latest messages of other hosts, and which of them may be applied."""

from __future__ import annotations

import collections
from typing import NamedTuple

import msgspec

from coltsfootarch.fleet import envelopes
from coltsfootarch.fleet import hosts
from coltsfootarch.fleet import merging
from coltsfootarch.fleet import reports


class Source(NamedTuple):
    """Latest message of another host.

    Attributes:
        received_at: Instant at which it arrived, in seconds.
        address: "ip:port" of the host.
        envelope: The message.
        report: Its report, with the name under which it is applied.
    """

    received_at: float
    address: str
    envelope: envelopes.Envelope
    report: reports.Report

    def with_age(self, now: float) -> merging.Received:
        """Returns the report with its age at an instant, in seconds."""
        age_ms = int((now - self.received_at) * 1000)
        return merging.Received(self.report, age_ms)


class ExchangeCounts:
    """Numbers of messages and bytes, for metrics.

    Attributes:
        sent: Messages sent by kind.
        sent_bytes: Bytes of them by kind.
        received: Messages received by kind.
        received_bytes: Bytes of them by kind.
        dropped: Messages dropped by reason.
    """

    def __init__(self) -> None:
        self.sent: collections.Counter[str] = collections.Counter()
        self.sent_bytes: collections.Counter[str] = collections.Counter()
        self.received: collections.Counter[str] = collections.Counter()
        self.received_bytes: collections.Counter[str] = collections.Counter()
        self.dropped: collections.Counter[str] = collections.Counter()


def decode_report(envelope: envelopes.Envelope) -> reports.Report:
    """Returns the report of a message; an empty one if it has none.

    Raises:
        envelopes.UnreadableMessageError: The report can't be decoded.
    """
    if not envelope.report:
        return reports.empty_report(
            envelope.sender, envelope.incarnation, envelope.sequence
        )
    try:
        report = reports.decode(envelope.report)
    except msgspec.DecodeError as error:
        raise envelopes.UnreadableMessageError("report") from error
    if report.version != reports.PROTOCOL_VERSION:
        raise envelopes.UnreadableMessageError("version")
    return report


def is_outdated(
    envelope: envelopes.Envelope, previous: Source, now: float
) -> bool:
    """Returns whether a message precedes one that has arrived already.

    A host that restarts after its clock was set back has a smaller incarnation,
    which is accepted once messages of the previous one have stopped.
    """
    known = previous.envelope
    if envelope.incarnation == known.incarnation:
        return envelope.sequence <= known.sequence
    silent = now - previous.received_at > hosts.REPORT_TIMEOUT_S
    return envelope.incarnation < known.incarnation and not silent


def is_late(envelope: envelopes.Envelope, incarnation: int, now: float) -> bool:
    """Returns whether a message was sent too long ago, as its echo shows.

    A host that was suspended finds such messages in its socket.

    Args:
        envelope: The message.
        incarnation: Incarnation of the receiver.
        now: Monotonic time of the receiver, in seconds.
    """
    if envelope.echo_incarnation != incarnation:
        return False
    age = now - (envelope.echo_ms + envelope.held_ms) / 1000
    return age > hosts.REPORT_TIMEOUT_S


def is_continuous(source: Source, previous: Source | None) -> bool:
    """Returns whether a message continues the previous one of its sender."""
    return (
        previous is not None
        and previous.envelope.kind is source.envelope.kind
        and previous.envelope.incarnation == source.envelope.incarnation
        and source.received_at - previous.received_at <= hosts.REPORT_TIMEOUT_S
    )
