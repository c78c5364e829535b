"""Tests that messages survive paging and that unreadable ones are refused."""

from __future__ import annotations

import contextlib
import itertools

import msgspec
import pytest

from coltsfootarch.fleet import envelopes


def envelope(sequence=1, size=0, version=envelopes.PROTOCOL_VERSION):
    return envelopes.Envelope(
        version,
        envelopes.Kind.GROUP,
        "regina-1",
        "regina",
        1,
        sequence,
        1000,
        report=bytes(range(256)) * (size // 256),
    )


@pytest.fixture
def assembler():
    return envelopes.PageAssembler()


def add_all(assembler, pages):
    results = [assembler.add(page) for page in pages]
    return [result for result in results if result is not None]


def test_message_of_one_page_is_unchanged(assembler):
    message = envelope()

    assert add_all(assembler, envelopes.encode(message)) == [message]


def test_state_beyond_one_datagram_is_joined_in_any_order(assembler):
    """A register or usage of thousands of accounts must not be cut off."""
    message = envelope(size=3 * envelopes.PAGE_BYTES)
    pages = list(envelopes.encode(message))

    assert len(pages) == 3
    for order in itertools.permutations(pages):
        assert add_all(assembler, order) == [message]


def test_lost_page_loses_only_its_message(assembler):
    first = list(envelopes.encode(envelope(1, 2 * envelopes.PAGE_BYTES)))
    second = envelope(2, 2 * envelopes.PAGE_BYTES)

    assert not add_all(assembler, first[:-1])
    assert add_all(assembler, envelopes.encode(second)) == [second]
    assert not assembler.incomplete


def test_incomplete_messages_are_kept_for_few_senders(assembler):
    """Pages of made-up senders must not fill the memory."""
    for number in range(envelopes.MAX_INCOMPLETE + 50):
        message = envelope(size=2 * envelopes.PAGE_BYTES)
        message = message._replace(sender=f"h{number}")
        assembler.add(next(iter(envelopes.encode(message))))

    assert len(assembler.incomplete) == envelopes.MAX_INCOMPLETE


def test_message_of_a_newer_version_is_refused(assembler):
    (page,) = envelopes.encode(envelope(version=9))

    with pytest.raises(envelopes.UnreadableMessageError, match="version"):
        assembler.add(page)


@pytest.mark.parametrize("page_number", [-1, 3, 64])
def test_page_outside_its_message_is_refused(assembler, page_number):
    page = envelopes.Page("h", 1, 1, page_number, 3, b"x")

    with pytest.raises(envelopes.UnreadableMessageError, match="page"):
        assembler.add(envelopes.MAGIC + msgspec.msgpack.encode(page))


def test_truncated_and_changed_pages_are_refused_or_readable(assembler):
    """No bytes of a peer may raise anything else and end the receiving."""
    (page,) = envelopes.encode(envelope(size=512))
    damaged = [page[:end] for end in range(1, len(page))]
    damaged += [
        page[:at] + bytes([page[at] ^ 0xFF]) + page[at + 1 :]
        for at in range(1, len(page))
    ]
    for data in damaged:
        with contextlib.suppress(envelopes.UnreadableMessageError):
            assembler.add(data)


def test_message_with_too_many_pages_is_an_error():
    size = (envelopes.MAX_PAGES + 1) * envelopes.PAGE_BYTES

    with pytest.raises(ValueError, match="too many pages"):
        list(envelopes.encode(envelope(size=size)))
