"""Incremental parser of HTTP/1.1 responses; errors of both parsers."""

from __future__ import annotations

import collections
import re
from typing import Any

import httptools

from coltsfootarch.http1 import messages

# Largest number of bytes read from a socket at once.
READ_SIZE = 65536
# Largest number of successive bytes of a response that yield neither a head nor
# a part of a body: of a head, interim responses, chunk extensions or trailers.
MAX_UNPARSED_BYTES = 65536
# Largest number of fields of a response head, trailers included. Each takes
# many times its bytes in memory.
MAX_RESPONSE_FIELDS = 256
# Start of a status line, up to its status code.
STATUS_LINE = re.compile(rb"HTTP/\d\.\d \d{3}")


class MalformedMessageError(Exception):
    """The bytes are not an HTTP/1.1 message, or its framing is ambiguous."""


class AmbiguousMessageError(MalformedMessageError):
    """A response head holds the status line of another response."""


class HeaderTooLargeError(MalformedMessageError):
    """The message head exceeds the size limit."""


class BodyTooLargeError(MalformedMessageError):
    """The body exceeds the size limit."""


def is_well_formed(lines: bytes) -> bool:
    """Returns whether header lines are valid and unambiguous.

    Args:
        lines: Header lines, including the empty line at the end.
    """
    # A GET request needs no body, so the parser expects nothing more.
    parser: Any = httptools.HttpRequestParser(object())
    try:
        parser.feed_data(b"GET / HTTP/1.1\r\n" + lines)
    except httptools.HttpParserUpgrade:
        return True
    except httptools.HttpParserError:
        return False
    return True


class ResponseReader:
    """Parses the responses that arrive on one connection.

    Interim (1xx) responses are discarded. A peer that sends the beginning of
    another response before a sound one makes a head out of both, with the
    status of the first and the fields of the second. Such a head is rejected:
    it holds the status line of the sound response.

    Attributes:
        parts: Parsed parts in order: a `ResponseHead`, body parts as bytes and
            None at the end of a response.
        in_progress: Whether a response has a head, but no end yet.
        begun: Whether bytes arrived that belong to an incomplete response; true
            before its head is complete, too.
    """

    def __init__(self) -> None:
        self.parts: collections.deque[messages.ResponseHead | bytes | None] = (
            collections.deque()
        )
        self.reason = b""
        self.fields: list[tuple[str, str]] = []
        self.is_interim = False
        self.in_progress = False
        self.begun = False
        self.framed = True
        self.unparsed_bytes = 0
        self.parser: Any = httptools.HttpResponseParser(self)

    @property
    def idle(self) -> bool:
        """Whether nothing was read beyond the responses that were taken.

        What was read beyond them belongs to no request, and the next response
        would be parsed as its continuation.
        """
        return not self.parts and not self.begun

    def feed(self, data: bytes) -> None:
        """Parses bytes and appends to `parts`.

        Raises:
            MalformedMessageError: The bytes are not a valid response; the
                position of the next response is unknown.
            AmbiguousMessageError: The head consists of two heads.
            HeaderTooLargeError: More than `MAX_UNPARSED_BYTES` yielded no part.
        """
        known_parts = len(self.parts)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            raise MalformedMessageError("upgrade is not supported") from error
        except httptools.HttpParserCallbackError as error:
            callback_error = error.__context__
            if isinstance(callback_error, MalformedMessageError):
                raise callback_error from None
            raise
        except httptools.HttpParserError as error:
            raise MalformedMessageError(str(error)) from error
        if len(self.parts) > known_parts:
            self.unparsed_bytes = 0
            return
        self.unparsed_bytes += len(data)
        if self.unparsed_bytes > MAX_UNPARSED_BYTES:
            raise HeaderTooLargeError(
                f"more than {MAX_UNPARSED_BYTES} bytes of a response without "
                "a complete head or a part of its body"
            )

    def feed_end(self) -> bool:
        """Handles the end of the connection.

        It completes a response without length or chunked coding.

        Returns:
            Whether no response is incomplete.
        """
        if not self.in_progress:
            return True
        if self.framed:
            return False
        self.in_progress = False
        self.parts.append(None)
        return True

    def on_message_begin(self) -> None:
        """Starts a response."""
        self.begun = True
        self.reason = b""
        self.fields = []

    def on_status(self, reason: bytes) -> None:
        """Appends to the reason phrase."""
        self.reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header field."""
        check_single(value)
        if len(self.fields) >= MAX_RESPONSE_FIELDS:
            raise HeaderTooLargeError(
                f"more than {MAX_RESPONSE_FIELDS} fields in a response head"
            )
        self.fields.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Appends the head to `parts`, unless the response is interim."""
        check_single(self.reason)
        status = self.parser.get_status_code()
        fields = tuple(self.fields)
        self.is_interim = status < 200
        if self.is_interim:
            return
        coding = messages.field_value(fields, "transfer-encoding").lower()
        self.framed = (
            coding.endswith("chunked")
            or messages.field_value(fields, "content-length") != ""
            or status in (204, 304)
        )
        self.in_progress = True
        keep_alive = self.framed and bool(self.parser.should_keep_alive())
        self.parts.append(
            messages.ResponseHead(status, fields, keep_alive, self.framed)
        )

    def on_body(self, data: bytes) -> None:
        """Appends a body part to `parts`."""
        self.parts.append(bytes(data))

    def on_message_complete(self) -> None:
        """Appends the end of a response to `parts`."""
        self.begun = False
        if not self.is_interim and self.in_progress:
            self.in_progress = False
            self.parts.append(None)


def check_single(text: bytes) -> None:
    """Checks that a part of a response head holds no other status line.

    Args:
        text: Reason phrase or value of a field.

    Raises:
        AmbiguousMessageError: It holds one.
    """
    if b"HTTP/" in text and STATUS_LINE.search(text):
        raise AmbiguousMessageError("the head holds another status line")
