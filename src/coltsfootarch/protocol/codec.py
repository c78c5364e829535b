"""Encodes and decodes messages between hosts.

An envelope is a MessagePack array whose last item is the message, which is also
an array. Hosts of adjacent software versions understand each other as long as
fields are only appended, with a default, and kinds are only added.
"""

from __future__ import annotations

import typing
from typing import Any
from typing import NamedTuple

import msgspec

from coltsfootarch import errors
from coltsfootarch import results
from coltsfootarch.protocol import messages

VERSION = 1
MAX_MESSAGE_BYTES = 1024 * 1024

# Kind numbers are part of the protocol and must never be reused or changed.
KINDS: dict[int, type] = {
    1: messages.Heartbeat,
    2: messages.HeartbeatAck,
    3: messages.Probe,
    4: messages.IndirectProbe,
    5: messages.ProbeAck,
    6: messages.GrantRequest,
    7: messages.GrantReply,
    8: messages.GrantReport,
    9: messages.LedgerHandover,
    10: messages.Ack,
    11: messages.ScheduleRequest,
    12: messages.ScheduleReply,
    13: messages.ScheduleUpdate,
    14: messages.ConfigRequest,
    15: messages.ConfigReply,
    16: messages.CancelRequest,
    17: messages.RequestQuery,
    18: messages.DirectoryRequest,
    19: messages.DirectoryReply,
}
KIND_NUMBERS: dict[type, int] = {kind: number for number, kind in KINDS.items()}


class Envelope(NamedTuple):
    """A message with its metadata, as it is sent.

    Attributes:
        version: Protocol version.
        kind: Number of the message type in `KINDS`.
        sender: Host that sent the message.
        correlation: 0 if no answer is expected; a positive number for a
            request; the negated number of the request for its answer.
        body: The message.
    """

    version: int
    kind: int
    sender: messages.Sender
    correlation: int
    body: Any


class RawEnvelope(NamedTuple):
    """An envelope with an undecoded body; fields as in `Envelope`."""

    version: int
    kind: int
    sender: messages.Sender
    correlation: int
    body: msgspec.Raw


_encoder = msgspec.msgpack.Encoder()
_envelope_decoder = msgspec.msgpack.Decoder(RawEnvelope)
_body_decoders: dict[int, msgspec.msgpack.Decoder[Any]] = {
    number: msgspec.msgpack.Decoder(kind) for number, kind in KINDS.items()
}


def encode(sender: messages.Sender, correlation: int, message: Any) -> bytes:
    """Encodes a message in an envelope.

    Args:
        sender: This host.
        correlation: As in `Envelope`.
        message: A message of the types in `messages`.

    Returns:
        The encoded envelope, at most `MAX_MESSAGE_BYTES` bytes.

    Raises:
        CodecError: The message type has no kind number, or the encoded
            envelope is too large.
    """
    number = KIND_NUMBERS.get(type(message))
    if number is None:
        raise errors.CodecError(f"{type(message).__name__} has no kind number")
    envelope = Envelope(VERSION, number, sender, correlation, message)
    data = _encoder.encode(envelope)
    if len(data) > MAX_MESSAGE_BYTES:
        raise errors.CodecError(f"a message of {len(data)} bytes is too large")
    return data


def decode(data: bytes) -> Envelope:
    """Decodes an envelope and its message.

    Args:
        data: Bytes received from a peer.

    Returns:
        The envelope without unknown trailing fields.

    Raises:
        CodecError: With `UNSUPPORTED_VERSION` for another protocol version,
            otherwise with `UNDECODABLE_MESSAGE`.
    """
    if len(data) > MAX_MESSAGE_BYTES:
        raise errors.CodecError(f"a message of {len(data)} bytes is too large")
    try:
        raw = _envelope_decoder.decode(data)
    except (msgspec.MsgspecError, ValueError, RecursionError):
        return _decode_tolerantly(data)
    check_version(raw.version)
    decoder = _body_decoders.get(raw.kind)
    if decoder is None:
        raise errors.CodecError(f"unknown message kind {raw.kind}")
    try:
        body = decoder.decode(raw.body)
    except (msgspec.MsgspecError, ValueError, RecursionError):
        return _decode_tolerantly(data)
    return Envelope(raw.version, raw.kind, raw.sender, raw.correlation, body)


def check_version(version: Any) -> None:
    """Checks the protocol version, the first field of an envelope.

    Raises:
        CodecError: It is not `VERSION`; with `UNSUPPORTED_VERSION` if it is
            another integer, otherwise with `UNDECODABLE_MESSAGE`.
    """
    if version == VERSION:
        return
    code = results.UNDECODABLE_MESSAGE
    if isinstance(version, int):
        code = results.UNSUPPORTED_VERSION
    raise errors.CodecError("the protocol version is not supported", code)


def _decode_tolerantly(data: bytes) -> Envelope:
    """Decodes after removing unknown trailing fields at every level.

    msgspec rejects arrays that are longer than the NamedTuple, so this slower
    path is needed for messages of newer hosts.
    """
    try:
        fields = msgspec.msgpack.decode(data)
        if not isinstance(fields, list) or len(fields) < 5:
            raise errors.CodecError("a message has no envelope")
        check_version(fields[0])
        kind = KINDS.get(fields[1]) if isinstance(fields[1], int) else None
        if kind is None:
            raise errors.CodecError("unknown message kind")
        header = Envelope(*fields[:5])
        return Envelope(
            header.version,
            header.kind,
            convert_tolerantly(header.sender, messages.Sender),
            msgspec.convert(header.correlation, int),
            convert_tolerantly(header.body, kind),
        )
    except (
        msgspec.MsgspecError,
        ValueError,
        TypeError,
        RecursionError,
    ) as error:
        raise errors.CodecError("a message does not decode") from error


def convert_tolerantly(value: Any, kind: type) -> Any:
    """Converts decoded data to a type, ignoring unknown trailing fields."""
    return msgspec.convert(drop_unknown_fields(value, kind), kind)


def drop_unknown_fields(value: Any, kind: Any) -> Any:
    """Removes the items beyond a NamedTuple's fields, at every level."""
    if not isinstance(value, list):
        return value
    if typing.get_origin(kind) is list:
        item_kind = typing.get_args(kind)[0]
        return [drop_unknown_fields(item, item_kind) for item in value]
    names = getattr(kind, "_fields", None)
    if names is None:
        return value
    hints = typing.get_type_hints(kind)
    known_items = value[: len(names)]
    return [
        drop_unknown_fields(item, hints[name])
        for name, item in zip(names, known_items, strict=False)
    ]
