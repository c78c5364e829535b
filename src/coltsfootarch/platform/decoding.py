"""Type-checked access to the fields of JSON documents."""

from __future__ import annotations

import ipaddress
from typing import Any
from typing import TypeVar

import msgspec

MS_PER_S = 1000.0
# Integers up to this one are exact as a float, and fit into a report.
MAX_NUMBER = 2**53
MAX_PORT = 65535

_Entry = TypeVar("_Entry")


class UnreadableDocumentError(Exception):
    """A document lacks a field or has a field with an invalid value."""


def decode_object(value: bytes) -> dict[str, Any]:
    """Decodes a stored JSON document that must be an object.

    Raises:
        UnreadableDocumentError: Not valid JSON, or not an object.
    """
    try:
        document = msgspec.json.decode(value)
    except (msgspec.DecodeError, RecursionError) as error:
        raise UnreadableDocumentError(str(error)) from error
    if not isinstance(document, dict):
        raise UnreadableDocumentError("the document is not a JSON object")
    return document


def string(document: dict[str, Any], key: str) -> str:
    """Returns a string field.

    Raises:
        UnreadableDocumentError: Missing or of another type.
    """
    value = document.get(key)
    if not isinstance(value, str):
        raise UnreadableDocumentError(f"{key} is not a string")
    return value


def number(
    document: dict[str, Any], key: str, default: float | None = None
) -> float:
    """Returns a number field, or the default if it is missing.

    Raises:
        UnreadableDocumentError: Missing without a default, not a number, or
            too large.
    """
    value = document.get(key)
    if value is None and default is not None:
        return default
    if not isinstance(value, int | float) or isinstance(value, bool):
        raise UnreadableDocumentError(f"{key} is not a number")
    if abs(value) > MAX_NUMBER:
        raise UnreadableDocumentError(f"{key} is beyond {MAX_NUMBER}")
    return float(value)


def count(
    document: dict[str, Any], key: str, default: float | None = None
) -> int:
    """Returns a number field that is 0 or more as an integer; see `number`.

    Raises:
        UnreadableDocumentError: As for `number`, or negative.
    """
    value = number(document, key, default)
    if value < 0:
        raise UnreadableDocumentError(f"{key} is negative")
    return int(value)


def address(document: dict[str, Any], key: str) -> str:
    """Returns a field with an IPv4 address and a port, "ip:port".

    Raises:
        UnreadableDocumentError: Missing or something else.
    """
    value = string(document, key)
    host, _, port = value.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
        is_valid = port.isascii() and 0 < int(port) <= MAX_PORT
    except ValueError:
        is_valid = False
    if not is_valid:
        raise UnreadableDocumentError(
            f'{key} is not accepted; accepted: "ip:port" with a port from 1 '
            f"to {MAX_PORT}"
        )
    return value


def seconds(
    document: dict[str, Any], key: str, default: float | None = None
) -> float:
    """Returns a field in milliseconds as seconds.

    Args:
        document: The document.
        key: Key of the field.
        default: Value in seconds if the field is missing.

    Raises:
        UnreadableDocumentError: Missing without a default, or not a number.
    """
    if default is not None and document.get(key) is None:
        return default
    return number(document, key) / MS_PER_S


def boolean(document: dict[str, Any], key: str) -> bool:
    """Returns a boolean field, or False if it is missing.

    Raises:
        UnreadableDocumentError: Of another type.
    """
    value = document.get(key, False)
    if not isinstance(value, bool):
        raise UnreadableDocumentError(f"{key} is not a boolean")
    return value


def objects(document: dict[str, Any], key: str) -> list[dict[str, Any]]:
    """Returns a list of objects, empty if the field is missing.

    Raises:
        UnreadableDocumentError: Of another type.
    """
    return entries(document, key, dict, "objects")


def strings(document: dict[str, Any], key: str) -> list[str]:
    """Returns a list of strings, empty if the field is missing.

    Raises:
        UnreadableDocumentError: Of another type.
    """
    return entries(document, key, str, "strings")


def entries(
    document: dict[str, Any], key: str, entry_type: type[_Entry], type_name: str
) -> list[_Entry]:
    """Returns a list of entries of one type, empty if the field is missing.

    Args:
        document: The document.
        key: Key of the field.
        entry_type: Type that every entry must have.
        type_name: Name of the type in error messages, in the plural.

    Raises:
        UnreadableDocumentError: Not a list, or an entry of another type.
    """
    value = document.get(key)
    if value is None:
        return []
    if not isinstance(value, list) or not all(
        isinstance(entry, entry_type) for entry in value
    ):
        raise UnreadableDocumentError(f"{key} is not a list of {type_name}")
    return value
