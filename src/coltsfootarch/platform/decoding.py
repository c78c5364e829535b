"""Checked access to decoded JSON documents."""

from __future__ import annotations

from typing import Any
from typing import TypeVar

import msgspec

MS_PER_S = 1000.0

_Entry = TypeVar("_Entry")


class UnreadableDocumentError(Exception):
    """A document lacks a field or has one of another type."""


def decode_object(value: bytes) -> dict[str, Any]:
    """Returns the object of a stored JSON document.

    Raises:
        UnreadableDocumentError: It is no JSON, or no object.
    """
    try:
        document = msgspec.json.decode(value)
    except msgspec.DecodeError as error:
        raise UnreadableDocumentError(str(error)) from error
    if not isinstance(document, dict):
        raise UnreadableDocumentError("the document is no object")
    return document


def string(document: dict[str, Any], key: str) -> str:
    """Returns a text field.

    Raises:
        UnreadableDocumentError: Missing or of another type.
    """
    value = document.get(key)
    if not isinstance(value, str):
        raise UnreadableDocumentError(f"{key} is not a text")
    return value


def number(
    document: dict[str, Any], key: str, default: float | None = None
) -> float:
    """Returns a number field, or the default where it is missing.

    Raises:
        UnreadableDocumentError: Missing without a default, or no number.
    """
    value = document.get(key)
    if value is None and default is not None:
        return default
    if not isinstance(value, int | float) or isinstance(value, bool):
        raise UnreadableDocumentError(f"{key} is not a number")
    return float(value)


def seconds(
    document: dict[str, Any], key: str, default: float | None = None
) -> float:
    """Returns a field in milliseconds as seconds, or the default.

    Raises:
        UnreadableDocumentError: Missing without a default, or no number.
    """
    if default is not None and document.get(key) is None:
        return default
    return number(document, key) / MS_PER_S


def boolean(document: dict[str, Any], key: str) -> bool:
    """Returns a boolean field; a missing one is False.

    Raises:
        UnreadableDocumentError: Of another type.
    """
    value = document.get(key, False)
    if not isinstance(value, bool):
        raise UnreadableDocumentError(f"{key} is not a boolean")
    return value


def objects(document: dict[str, Any], key: str) -> list[dict[str, Any]]:
    """Returns a list of objects; a missing one is empty.

    Raises:
        UnreadableDocumentError: Of another type.
    """
    return entries(document, key, dict, "objects")


def strings(document: dict[str, Any], key: str) -> list[str]:
    """Returns a list of texts; a missing one is empty.

    Raises:
        UnreadableDocumentError: Of another type.
    """
    return entries(document, key, str, "texts")


def entries(
    document: dict[str, Any], key: str, entry_type: type[_Entry], type_name: str
) -> list[_Entry]:
    """Returns a list with entries of one type; a missing one is empty."""
    value = document.get(key)
    if value is None:
        return []
    if not isinstance(value, list) or not all(
        isinstance(entry, entry_type) for entry in value
    ):
        raise UnreadableDocumentError(f"{key} is not a list of {type_name}")
    return value
