"""Reports why connections of callers are closed."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

from coltsfootarch.forwarding import close_reasons
from coltsfootarch.forwarding import limited_reader
from coltsfootarch.http1 import client

if TYPE_CHECKING:
    from gevent import socket as gevent_socket

    from coltsfootarch.forwarding import caller_connection

logger = structlog.get_logger(__name__)


def report_close(
    connection: caller_connection.CallerConnection,
    reason: close_reasons.CloseReason,
) -> None:
    """Counts a close; logs it if it isn't regular or loses a request.

    Args:
        connection: Connection whose socket is still open.
        reason: Why it is closed.
    """
    connection.listener.count_close(reason.value)
    regular = reason in close_reasons.REGULAR_REASONS
    unread = 0 if regular else count_unread(connection.sock)
    request_ids = unanswered(connection, regular)
    # A caller can tell that a request was not read after a response with
    # `Connection: close`.
    pipelined = len(connection.pipelined)
    lost = bool(request_ids or unread or pipelined)
    if regular and not lost:
        return
    idle_s = connection.listener.clock.monotonic() - connection.idle_since
    log = logger.warning if lost else logger.info
    log(
        "connection of caller closed with a request unanswered"
        if lost
        else "connection of caller closed",
        reason=reason.value,
        error=connection.socket_error or None,
        served=connection.served,
        idle_ms=round(idle_s * 1000) if connection.idle else None,
        unanswered=request_ids,
        in_body=connection.reader.in_body,
        unread_bytes=unread,
        pipelined_bytes=pipelined,
    )


def unanswered(
    connection: caller_connection.CallerConnection, regular: bool
) -> list[str]:
    """Returns the ids of requests that were read, also those read in part.

    Args:
        connection: The connection.
        regular: Whether the close is regular.
    """
    reader = connection.reader
    responder = connection.responder
    # The first of the held requests is the one that was refused, if any.
    held = [each.request.lines for each in reader.held][connection.rejected :]
    if reader.in_progress and not connection.rejected:
        held.append(reader.lines)
    request_ids = [
        connection.request_id(fields)
        for fields in (
            *(request.fields for request in reader.complete),
            *(limited_reader.first_fields(lines) for lines in held),
        )
    ]
    # The end of a request whose caller has left is logged anyway.
    if not (
        responder is None
        or responder.finished
        or connection.rejected
        or regular
    ):
        request_ids.append(responder.request_id)
    return request_ids


def count_unread(sock: gevent_socket.socket) -> int:
    """Returns the number of bytes that arrived, up to `READ_SIZE`."""
    try:
        return len(client.read_arrived(sock) or b"")
    except OSError:
        # The caller has closed the connection.
        return 0
