"""Writes responses to the connection of a caller."""

from __future__ import annotations

from typing import TYPE_CHECKING

from coltsfootarch.http1 import messages

if TYPE_CHECKING:
    from coltsfootarch.forwarding import caller_connection

# Larger bodies are sent apart from their head, since joining copies them.
MAX_JOINED_BYTES = 65536


class ConnectionResponder:
    """Writes the response to one request; see `calls.Responder`.

    Args:
        connection: The caller's connection.
        keep_alive: Whether the caller wants to keep the connection open.

    Attributes:
        started: Whether part of the response may have been sent.
        finished: Whether the whole response was sent.
        aborted: Whether the connection was closed without the whole response.
        surplus: Whether the host has no room for the connection, so that its
            requests are to be refused.
        request_id: Id of the request, once it is known.
    """

    def __init__(
        self,
        connection: caller_connection.CallerConnection,
        keep_alive: bool,
    ) -> None:
        self.connection = connection
        self.keep_alive = keep_alive
        self.started = False
        self.finished = False
        self.aborted = False
        self.surplus = False
        self.request_id = ""

    def connection_fields(self) -> list[tuple[str, str]]:
        """Returns the header fields that announce a close of the connection."""
        listener = self.connection.listener
        closing = listener.draining or listener.overfull
        # What has been read behind this request gets a response, too.
        if self.surplus or (closing and not self.connection.has_next_request):
            self.keep_alive = False
        return [] if self.keep_alive else [("Connection", "close")]

    def respond(
        self, status: int, fields: messages.Fields, body: bytes
    ) -> None:
        """Sends a complete response."""
        head = messages.render_head(
            messages.status_line(status),
            [
                *fields,
                ("Content-Length", str(len(body))),
                *self.connection_fields(),
            ],
        )
        self.started = True
        if len(body) <= MAX_JOINED_BYTES:
            self.connection.send(head + body)
        else:
            self.connection.send(head)
            self.connection.send(body)
        self.finished = True

    def start(self, status: int, fields: messages.Fields) -> None:
        """Sends the head of a chunked response."""
        head = messages.render_head(
            messages.status_line(status),
            [
                *fields,
                ("Transfer-Encoding", "chunked"),
                *self.connection_fields(),
            ],
        )
        self.started = True
        self.connection.send(head)

    def send(self, data: bytes) -> None:
        """Sends a chunk.

        Raises:
            RuntimeError: The response has no head, or is complete.
        """
        self.check_open()
        if data:
            self.connection.send(b"%x\r\n%b\r\n" % (len(data), data))

    def finish(self) -> None:
        """Sends the last chunk.

        Raises:
            RuntimeError: The response has no head, or is complete.
        """
        self.check_open()
        self.connection.send(b"0\r\n\r\n")
        self.finished = True

    def check_open(self) -> None:
        """Checks that a chunk would be part of this response.

        Raises:
            RuntimeError: The response has no head, or is complete.
        """
        if not self.started or self.finished or self.aborted:
            raise RuntimeError(
                f"a chunk outside of a response: started {self.started}, "
                f"finished {self.finished}, aborted {self.aborted}"
            )

    def abort(self) -> None:
        """Closes the connection without completing the response."""
        self.keep_alive = False
        self.aborted = not self.finished
        self.connection.abort()
