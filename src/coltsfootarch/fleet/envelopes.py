"""Messages between a relay, its members and other relays, and their pages."""

from __future__ import annotations

import enum
import math
from typing import TYPE_CHECKING
from typing import NamedTuple

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable

PROTOCOL_VERSION = 2
# First byte of every page. MessagePack doesn't use it, so that hosts which only
# know direct reports can't mistake a page for one.
MAGIC = b"\xc1"
PAGE_BYTES = 8000
MAX_PAGES = 64
# Messages of which some pages have arrived are kept for this many senders.
MAX_INCOMPLETE = 512


class UnreadableMessageError(Exception):
    """The bytes are not a message of a known version.

    Args:
        reason: Short reason, used as a metric label.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class Kind(enum.Enum):
    """Purpose of a message.

    MEMBER: State of one host, to its relay, which includes it in its sums.
    GROUP: Sum of a relay and its members, to other relays.
    FLEET: Sum of all hosts except the receiver, from a relay to a member.
    PROBE: Question whether a relay answers, without state.
    PROBE_ANSWER: Answer to a probe, without state.
    """

    MEMBER = "member"
    GROUP = "group"
    FLEET = "fleet"
    PROBE = "probe"
    PROBE_ANSWER = "probe_answer"


class Envelope(NamedTuple):
    """A message; sent as a MessagePack array of fields.

    Attributes:
        version: Version of this format.
        kind: Purpose of the message.
        sender: Name of the sending host.
        availability_zone: Availability zone of the sender.
        incarnation: Unix time of the sender's start in milliseconds.
        sequence: Sequence number of this message in the incarnation.
        sent_ms: Sender's monotonic clock at the sending, in milliseconds.
        echo_incarnation: Incarnation of the receiver in the last message that
            the sender got from it; -1 for none.
        echo_ms: `sent_ms` of that message.
        held_ms: Time since that message arrived, in milliseconds.
        hosts: Number of hosts whose state the report includes.
        expected: Number of hosts that may be serving, as the sender knows.
        policy_version: Version of the sender's policy; -1 if it has none.
        policy_age_ms: Time since this version was last confirmed to be the
            newest, in milliseconds; -1 if unknown.
        report: Encoded report; empty for messages without state.
        relay: Name of the relay that includes the sender in its sums; empty if
            it is in its own.
        relay_address: "ip:port" of that relay.
    """

    version: int
    kind: Kind
    sender: str
    availability_zone: str
    incarnation: int
    sequence: int
    sent_ms: int
    echo_incarnation: int = -1
    echo_ms: int = 0
    held_ms: int = 0
    hosts: int = 0
    expected: int = 0
    policy_version: int = -1
    policy_age_ms: int = -1
    report: bytes = b""
    relay: str = ""
    relay_address: str = ""


class Page(NamedTuple):
    """Part of an encoded message.

    Attributes:
        sender: Name of the sending host.
        incarnation: Incarnation of the sender.
        sequence: Sequence number of the message.
        number: Number of this page, from 0.
        pages: Number of pages of the message.
        data: Bytes of this page.
    """

    sender: str
    incarnation: int
    sequence: int
    number: int
    pages: int
    data: bytes


class Incomplete(NamedTuple):
    """Pages of a message that have arrived so far.

    Attributes:
        key: Incarnation, sequence number and number of pages of the message.
        pages: Data by page number.
    """

    key: tuple[int, int, int]
    pages: dict[int, bytes]


ENVELOPE_DECODER = msgspec.msgpack.Decoder(Envelope)
PAGE_DECODER = msgspec.msgpack.Decoder(Page)


def is_page(datagram: bytes) -> bool:
    """Returns whether a datagram claims to be a page of a message."""
    return datagram[:1] == MAGIC


def encode(envelope: Envelope) -> Iterable[bytes]:
    """Returns the pages of a message, each of which fits in a datagram.

    Raises:
        ValueError: The message has more than `MAX_PAGES` pages.
    """
    data = msgspec.msgpack.encode(envelope)
    count = max(math.ceil(len(data) / PAGE_BYTES), 1)
    if count > MAX_PAGES:
        raise ValueError(f"message of {len(data)} bytes has too many pages")
    return [
        MAGIC
        + msgspec.msgpack.encode(
            Page(
                envelope.sender,
                envelope.incarnation,
                envelope.sequence,
                index,
                count,
                data[index * PAGE_BYTES : (index + 1) * PAGE_BYTES],
            )
        )
        for index in range(count)
    ]


class PageAssembler:
    """Joins the pages of messages; keeps the newest message of each sender."""

    def __init__(self) -> None:
        self.incomplete: dict[str, Incomplete] = {}

    def add(self, datagram: bytes) -> Envelope | None:
        """Adds a page.

        Args:
            datagram: A received page.

        Returns:
            The message, once all of its pages have arrived.

        Raises:
            UnreadableMessageError: The page or its message can't be decoded.
        """
        try:
            page = PAGE_DECODER.decode(datagram[1:])
        except msgspec.DecodeError as error:
            raise UnreadableMessageError("page") from error
        if not 0 <= page.number < page.pages <= MAX_PAGES:
            raise UnreadableMessageError("page")
        data = page.data if page.pages == 1 else self.join(page)
        return None if data is None else decode(data)

    def join(self, page: Page) -> bytes | None:
        """Adds a page of several; returns the joined data if it is complete."""
        key = (page.incarnation, page.sequence, page.pages)
        known = self.incomplete.get(page.sender)
        if known is None or known.key != key:
            self.incomplete.pop(page.sender, None)
            known = self.incomplete[page.sender] = Incomplete(key, {})
            if len(self.incomplete) > MAX_INCOMPLETE:
                del self.incomplete[next(iter(self.incomplete))]
        known.pages[page.number] = page.data
        if len(known.pages) < page.pages:
            return None
        del self.incomplete[page.sender]
        return b"".join(known.pages[index] for index in range(page.pages))


def decode(data: bytes) -> Envelope:
    """Returns a message from its joined pages.

    Raises:
        UnreadableMessageError: The bytes are no message, or of another version.
    """
    try:
        envelope = ENVELOPE_DECODER.decode(data)
    except msgspec.DecodeError as error:
        raise UnreadableMessageError("message") from error
    if envelope.version != PROTOCOL_VERSION:
        raise UnreadableMessageError("version")
    return envelope
