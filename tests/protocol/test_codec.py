"""Guards against messages changed by the codec and against invalid input."""

from __future__ import annotations

import contextlib
import typing

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies

from coltsfootarch import errors
from coltsfootarch import results
from coltsfootarch.protocol import codec
from coltsfootarch.protocol import messages

SENDER = messages.Sender("h1", 7, "regina", "127.0.0.1:9000")
HEARTBEAT = messages.Heartbeat(3, messages.Heads(4, {"regina": 2}), 1.5, 2)

strategies.register_type_strategy(int, strategies.integers(-(2**63), 2**64 - 1))
strategies.register_type_strategy(float, strategies.floats(allow_nan=False))


def test_every_message_type_has_a_kind():
    answers_and_requests = {
        value for value in vars(messages).values() if hasattr(value, "_fields")
    }
    parts = {
        messages.Sender,
        messages.Heads,
        messages.GrantUsage,
        messages.OutstandingGrant,
        messages.LedgerState,
        messages.ScheduleEvent,
        messages.ZoneDirectory,
        messages.DirectorySession,
        messages.DirectoryShard,
    }

    assert set(codec.KIND_NUMBERS) == answers_and_requests - parts


@pytest.mark.parametrize(
    "kind", codec.KIND_NUMBERS, ids=lambda kind: kind.__name__
)
@given(data=strategies.data())
def test_messages_survive_the_round_trip(kind, data):
    message = data.draw(strategies.from_type(kind))

    envelope = codec.decode(codec.encode(SENDER, 9, message))

    assert envelope == (1, codec.KIND_NUMBERS[kind], SENDER, 9, message)
    assert type(envelope.body) is kind


@given(strategies.binary())
def test_random_bytes_raise_only_codec_error(data):
    with pytest.raises(errors.CodecError):
        codec.decode(data)


@given(strategies.data())
def test_corrupted_messages_decode_or_raise_codec_error(data):
    encoded = bytearray(codec.encode(SENDER, 9, HEARTBEAT))
    index = data.draw(strategies.integers(0, len(encoded) - 1))
    encoded[index] = data.draw(strategies.integers(0, 255))

    # Any exception other than CodecError fails the test.
    with contextlib.suppress(errors.CodecError):
        codec.decode(bytes(encoded))


def test_other_protocol_version_is_reported_as_unsupported():
    data = msgspec.msgpack.encode((2, 1, SENDER, 9, HEARTBEAT))

    with pytest.raises(errors.CodecError) as caught:
        codec.decode(data)

    assert caught.value.code is results.UNSUPPORTED_VERSION


@pytest.mark.parametrize(
    "fields",
    [
        (1, 1, (*SENDER, "new"), 9, (*HEARTBEAT, "new"), "new"),
        (1, 1, SENDER, 9, (3, (4, {"regina": 2}, "new"), 1.5, 2)),
        (1, 1, SENDER, 9, HEARTBEAT[:4]),
    ],
)
def test_appended_fields_and_missing_fields_with_defaults_are_accepted(fields):
    envelope = codec.decode(msgspec.msgpack.encode(fields))

    assert envelope.body == HEARTBEAT


@pytest.mark.parametrize("fields", [(1, 99, SENDER, 9, ()), (1, 1, SENDER, 9)])
def test_unknown_kinds_and_short_envelopes_are_refused(fields):
    with pytest.raises(errors.CodecError):
        codec.decode(msgspec.msgpack.encode(fields))


def test_messages_above_the_size_limit_are_refused():
    reply = messages.ConfigReply(1, "x" * codec.MAX_MESSAGE_BYTES, 0.0)
    with pytest.raises(errors.CodecError):
        codec.encode(SENDER, 1, reply)
    with pytest.raises(errors.CodecError):
        codec.decode(b"\x00" * (codec.MAX_MESSAGE_BYTES + 1))


def test_message_types_without_a_kind_number_are_refused():
    with pytest.raises(errors.CodecError):
        codec.encode(SENDER, 1, typing.NamedTuple("Other", [])())


def test_register_of_the_target_size_fits_into_a_message():
    """Guards against a register that peers can't pass on to each other."""
    # 0.25 kB for each of 6,100 client accounts, see docs/CAPACITY.md.
    document = "a" * (6100 * 250)
    reply = messages.ConfigReply(7, document, 1.0)

    data = codec.encode(SENDER, 1, reply)

    assert codec.decode(data).body.document == document
