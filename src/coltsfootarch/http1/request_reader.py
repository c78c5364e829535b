"""Incremental parser of HTTP/1.1 requests."""

from __future__ import annotations

import collections
from typing import Any
from typing import NamedTuple

import httptools

from coltsfootarch.http1 import field_lines
from coltsfootarch.http1 import messages
from coltsfootarch.http1 import readers


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
            if isinstance(callback_error, readers.MalformedMessageError):
                raise callback_error from None
            raise
        except httptools.HttpParserError as error:
            raise readers.MalformedMessageError(str(error)) from error
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
            raise readers.MalformedMessageError("tunnels are not supported")
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
            raise readers.HeaderTooLargeError("the head is too long")

    def check_trailers(self, size: int) -> None:
        """Checks the size in bytes of trailers, or of the framing of a chunk.

        Raises:
            HeaderTooLargeError: It exceeds the limit for a head.
        """
        if size > self.max_header_bytes:
            raise readers.HeaderTooLargeError("the trailers are too long")

    def check_body(self, size: int) -> None:
        """Checks the size of a body in bytes, as declared or received.

        Raises:
            BodyTooLargeError: It exceeds the limit.
        """
        if size > self.max_body_bytes:
            raise readers.BodyTooLargeError("the body is too long")

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
