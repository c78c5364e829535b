"""Incremental parsers of HTTP/1.1 requests and responses."""

from __future__ import annotations

import collections
import re
from typing import Any
from typing import NamedTuple

import httptools

from coltsfootarch.http1 import field_lines
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


class RawRequest(NamedTuple):
    """A completely received request whose head isn't decoded.

    Attributes:
        method: Method as received.
        target: Path and query string as received.
        lines: Header lines in order.
        body: Decoded body, without chunk framing.
        keep_alive: Whether the client keeps the connection open.
        received_at: Clock time in seconds at which its first byte was read.
    """

    method: bytes
    target: bytes
    lines: field_lines.FieldLines
    body: bytes
    keep_alive: bool
    received_at: float

    def decode(self) -> messages.Request:
        """Returns the request with its header fields."""
        return messages.Request(
            self.method.decode("latin-1"),
            self.target.decode("latin-1"),
            self.lines.decode(),
            self.body,
            self.keep_alive,
            self.received_at,
        )


class RequestReader:
    """Parses the requests that arrive on one connection.

    Trailers are dropped, since a recipient may do so (RFC 9110, section 6.5)
    and they would otherwise count as fields of the head.

    Args:
        max_header_bytes: Largest size of a head in bytes, and by itself of the
            trailers and of what frames one chunk.
        max_body_bytes: Largest size of a body, in bytes.

    Attributes:
        complete: Complete requests that were not taken yet, oldest first.
        in_progress: Whether a request has been received in part.
        in_body: Whether the head of that request is complete.
        expects_continue: Whether that request waits for a 100 response.
    """

    def __init__(self, max_header_bytes: int, max_body_bytes: int) -> None:
        self.max_header_bytes = max_header_bytes
        self.max_body_bytes = max_body_bytes
        self.complete: collections.deque[messages.Request] = collections.deque()
        self.expects_continue = False
        self.in_progress = False
        self.in_body = False
        self.target = b""
        self.lines = field_lines.FieldLines()
        self.length = self.expected = b""
        self.body = bytearray()
        self.head_bytes = 0
        # Bytes behind the head since the last part of the body: chunk sizes,
        # their extensions and trailers.
        self.framing_bytes = 0
        self.trailer_bytes = 0
        self.progressed = False
        self.started_at = 0.0
        self.now = 0.0
        self.parser: Any = httptools.HttpRequestParser(self)

    @property
    def fields(self) -> list[tuple[str, str]]:
        """Header fields of the request that has been received in part."""
        return list(self.lines.decode())

    def feed(self, data: bytes, now: float) -> None:
        """Parses bytes and appends complete requests to `complete`.

        Args:
            data: Received bytes.
            now: Clock time of the read, in seconds.

        Raises:
            MalformedMessageError: The bytes are invalid or exceed a limit; the
                position of the next request is unknown.
        """
        self.now = now
        if not self.in_body:
            self.head_bytes += len(data)
        self.progressed = False
        try:
            self.parse(data)
        except httptools.HttpParserCallbackError as error:
            callback_error = error.__context__
            if isinstance(callback_error, MalformedMessageError):
                raise callback_error from None
            raise
        except httptools.HttpParserError as error:
            raise MalformedMessageError(str(error)) from error
        if not self.in_body:
            if self.head_bytes > self.max_header_bytes:
                self.check_head(self.head_bytes)
        elif not self.progressed:
            self.framing_bytes += len(data)
            self.check_trailers(self.framing_bytes)

    def parse(self, data: bytes) -> None:
        """Parses bytes; ignores offers of another protocol.

        Raises:
            MalformedMessageError: The request asks for a tunnel.
        """
        while data:
            try:
                self.parser.feed_data(data)
            except httptools.HttpParserUpgrade as error:
                data = data[error.args[0] :]
                self.drop_offer()
            else:
                return

    def drop_offer(self) -> None:
        """Parses the head again, without the offer of another protocol.

        A server that doesn't speak the protocol handles the request as if
        nothing was offered (RFC 9110, section 7.8), but the parser takes it for
        complete behind its head.

        Raises:
            MalformedMessageError: The request asks for a tunnel.
        """
        method = self.parser.get_method().decode("latin-1")
        if method == "CONNECT":
            raise MalformedMessageError("tunnels are not supported")
        target = self.target.decode("latin-1")
        version = self.parser.get_http_version()
        head = messages.render_head(
            f"{method} {target} HTTP/{version}",
            [each for each in self.fields if each[0].lower() != "upgrade"],
        )
        self.in_body = False
        self.parser = httptools.HttpRequestParser(self)
        now, self.now = self.now, self.started_at
        try:
            self.parser.feed_data(head)
        finally:
            self.now = now

    def check_head(self, size: int) -> None:
        """Checks the size of a head in bytes.

        Raises:
            HeaderTooLargeError: It exceeds the limit.
        """
        if size > self.max_header_bytes:
            raise HeaderTooLargeError("the head is too long")

    def check_trailers(self, size: int) -> None:
        """Checks the size in bytes of trailers, or of the framing of a chunk.

        Raises:
            HeaderTooLargeError: It exceeds the limit for a head.
        """
        if size > self.max_header_bytes:
            raise HeaderTooLargeError("the trailers are too long")

    def check_body(self, size: int) -> None:
        """Checks the size of a body in bytes, as declared or received.

        Raises:
            BodyTooLargeError: It exceeds the limit.
        """
        if size > self.max_body_bytes:
            raise BodyTooLargeError("the body is too long")

    def clear(self) -> None:
        """Drops the bytes of all requests; nothing can be parsed any more.

        The parser refers to the reader, so that only the garbage collector
        would free them.
        """
        self.complete.clear()
        self.target = b""
        self.lines = field_lines.FieldLines()
        self.body = bytearray()
        self.parser = None

    def on_message_begin(self) -> None:
        """Starts a request."""
        self.in_progress = True
        self.target = b""
        self.lines = field_lines.FieldLines()
        self.length = self.expected = b""
        self.trailer_bytes = 0
        self.body = bytearray()
        self.started_at = self.now

    def on_url(self, url: bytes) -> None:
        """Appends to the request target."""
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header field; drops those behind the body."""
        if self.in_body:
            self.trailer_bytes += (
                len(name) + len(value) + field_lines.FIELD_OVERHEAD
            )
            self.check_trailers(self.trailer_bytes)
            return
        self.lines.append(name, value)
        lower_name = name.lower()
        if lower_name == b"content-length":
            self.length = self.length or value
        elif lower_name == b"expect":
            self.expected = self.expected or value

    def on_headers_complete(self) -> None:
        """Checks the size of the head and the declared size of the body."""
        self.check_head(len(self.target) + self.lines.size)
        self.in_body = True
        self.head_bytes = 0
        self.record_progress()
        if self.length.isdigit():
            self.check_body(int(self.length))
        self.expects_continue = self.expected.lower() == b"100-continue"

    def on_body(self, data: bytes) -> None:
        """Appends to the body and checks its size."""
        self.body += data
        self.record_progress()
        self.check_body(len(self.body))

    def record_progress(self) -> None:
        """Records that a part of the request has arrived."""
        self.progressed = True
        self.framing_bytes = 0

    def on_message_complete(self) -> None:
        """Appends the finished request; see `drop_offer` for the others."""
        if not self.parser.should_upgrade():
            self.add_complete()

    def add_complete(self) -> None:
        """Appends the finished request to `complete`."""
        self.complete.append(self.finish().decode())

    def finish(self) -> RawRequest:
        """Returns the finished request; the next one begins."""
        self.in_progress = self.in_body = False
        self.expects_continue = False
        request = RawRequest(
            self.parser.get_method(),
            self.target,
            self.lines,
            bytes(self.body),
            bool(self.parser.should_keep_alive()),
            self.started_at,
        )
        self.lines = field_lines.FieldLines()
        self.body = bytearray()
        return request


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
