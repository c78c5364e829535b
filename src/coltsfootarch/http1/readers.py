"""Incremental readers of requests and responses."""

from __future__ import annotations

import collections
from typing import Any

import httptools

from coltsfootarch.http1 import messages

# Bytes of a header field besides its name and value.
FIELD_FRAMING = len(": \r\n")
# Read size of sockets, in bytes.
READ_SIZE = 65536


class MalformedMessageError(Exception):
    """The bytes are no HTTP/1.1 message, or its framing is ambiguous."""


class HeaderTooLargeError(MalformedMessageError):
    """The head is longer than allowed."""


class BodyTooLargeError(MalformedMessageError):
    """The body is longer than allowed."""


def is_well_formed(lines: bytes) -> bool:
    """Returns whether header lines can be read in only one way.

    Args:
        lines: Header lines with the empty one that ends them.
    """
    # The method has no body, so that nothing is missing after the headers.
    parser: Any = httptools.HttpRequestParser(object())
    try:
        parser.feed_data(b"GET / HTTP/1.1\r\n" + lines)
    except httptools.HttpParserUpgrade:
        return True
    except httptools.HttpParserError:
        return False
    return True


class RequestReader:
    """Collects requests from the bytes of one connection.

    Args:
        max_header_bytes: Longest head.
        max_body_bytes: Longest body.
    """

    def __init__(self, max_header_bytes: int, max_body_bytes: int) -> None:
        self.max_header_bytes = max_header_bytes
        self.max_body_bytes = max_body_bytes
        self.complete: collections.deque[messages.Request] = collections.deque()
        self.expects_continue = False
        self.in_progress = False
        self.in_body = False
        self.target = b""
        self.fields: list[tuple[str, str]] = []
        self.body = bytearray()
        self.head_bytes = 0
        self.started_at = 0.0
        self.now = 0.0
        self.parser: Any = httptools.HttpRequestParser(self)

    def feed(self, data: bytes, now: float) -> None:
        """Parses bytes; whole requests are appended to `complete`.

        Args:
            data: Bytes as read.
            now: Instant of the read, in seconds.

        Raises:
            MalformedMessageError: Nothing after this can be trusted.
        """
        self.now = now
        if not self.in_body:
            self.head_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            raise MalformedMessageError("upgrade is not supported") from error
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            if isinstance(cause, MalformedMessageError):
                raise cause from None
            raise
        except httptools.HttpParserError as error:
            raise MalformedMessageError(str(error)) from error
        if not self.in_body and self.head_bytes > self.max_header_bytes:
            raise HeaderTooLargeError("the head is too long")

    def on_message_begin(self) -> None:
        """Starts a request."""
        self.in_progress = True
        self.target = b""
        self.fields = []
        self.body = bytearray()
        self.started_at = self.now

    def on_url(self, url: bytes) -> None:
        """Appends to the request target."""
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header field."""
        self.fields.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Checks the size of the head and of the announced body."""
        size = len(self.target) + sum(
            len(name) + len(value) + FIELD_FRAMING
            for name, value in self.fields
        )
        if size > self.max_header_bytes:
            raise HeaderTooLargeError("the head is too long")
        self.in_body = True
        self.head_bytes = 0
        fields = tuple(self.fields)
        length = messages.find(fields, "content-length")
        if length.isdecimal() and int(length) > self.max_body_bytes:
            raise BodyTooLargeError("the body is too long")
        expected = messages.find(fields, "expect").lower()
        self.expects_continue = expected == "100-continue"

    def on_body(self, data: bytes) -> None:
        """Appends to the body."""
        self.body += data
        if len(self.body) > self.max_body_bytes:
            raise BodyTooLargeError("the body is too long")

    def on_message_complete(self) -> None:
        """Finishes a request."""
        self.in_progress = self.in_body = False
        self.expects_continue = False
        self.complete.append(
            messages.Request(
                self.parser.get_method().decode("latin-1"),
                self.target.decode("latin-1"),
                tuple(self.fields),
                bytes(self.body),
                bool(self.parser.should_keep_alive()),
                self.started_at,
            )
        )
        self.body = bytearray()


class ResponseReader:
    """Collects the parts of responses from the bytes of one connection.

    `parts` holds, in order, a `ResponseHead`, body parts as bytes and None at
    the end of a response. Interim (1xx) responses are dropped.
    """

    def __init__(self) -> None:
        self.parts: collections.deque[messages.ResponseHead | bytes | None] = (
            collections.deque()
        )
        self.fields: list[tuple[str, str]] = []
        self.interim = False
        self.in_progress = False
        self.framed = True
        self.parser: Any = httptools.HttpResponseParser(self)

    def feed(self, data: bytes) -> None:
        """Parses bytes.

        Raises:
            MalformedMessageError: Nothing after this can be trusted.
        """
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            raise MalformedMessageError(str(error)) from error

    def feed_end(self) -> bool:
        """Ends the response that lasts until the connection closes.

        Returns:
            Whether the response is complete now.
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
        self.fields = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header field."""
        self.fields.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Finishes a head."""
        status = self.parser.get_status_code()
        fields = tuple(self.fields)
        self.interim = status < 200
        if self.interim:
            return
        coding = messages.find(fields, "transfer-encoding").lower()
        self.framed = (
            coding.endswith("chunked")
            or messages.find(fields, "content-length") != ""
            or status in (204, 304)
        )
        self.in_progress = True
        keep = self.framed and bool(self.parser.should_keep_alive())
        self.parts.append(
            messages.ResponseHead(status, fields, keep, self.framed)
        )

    def on_body(self, data: bytes) -> None:
        """Adds a part of the body."""
        self.parts.append(bytes(data))

    def on_message_complete(self) -> None:
        """Finishes a response."""
        if not self.interim and self.in_progress:
            self.in_progress = False
            self.parts.append(None)
