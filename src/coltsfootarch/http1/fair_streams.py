"""Connections of urllib3 and pywsgi that let others run; see `turns`."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import urllib3.connection
from gevent import socket as gevent_socket

from coltsfootarch import clock as clocks
from coltsfootarch.http1 import turns

if TYPE_CHECKING:
    import socket


class FairSocket(gevent_socket.socket):  # type: ignore[misc]
    """Socket whose reader lets other greenlets run after its turn.

    Args:
        sock: An open socket, which can't be used afterwards.
        clock: Source of time.
    """

    def __init__(self, sock: socket.socket, clock: clocks.Clock) -> None:
        timeout = sock.gettimeout()
        super().__init__(sock.family, sock.type, sock.proto, sock.detach())
        self.settimeout(timeout)
        self.turn = turns.ReadTurn(clock)

    def recv_into(self, *arguments: Any) -> int:
        """Reads into a buffer; files on the socket read so, too."""
        self.turn.share()
        size: int = super().recv_into(*arguments)
        self.turn.record(size)
        return size


class FairConnection(urllib3.connection.HTTPConnection):
    """HTTP connection on a `FairSocket`.

    http.client reads interim responses and trailers without a bound.
    """

    def _new_conn(self) -> socket.socket:
        """Opens the connection."""
        sock: socket.socket = FairSocket(
            super()._new_conn(), clocks.SystemClock()
        )
        return sock


class FairStream:
    """File on a socket whose reader lets other greenlets run.

    Args:
        stream: The file.
        clock: Source of time.
    """

    def __init__(self, stream: Any, clock: clocks.Clock) -> None:
        self.stream = stream
        self.turn = turns.ReadTurn(clock)

    @property
    def closed(self) -> bool:
        """Whether the file is closed."""
        return bool(self.stream.closed)

    def read(self, size: int = -1) -> bytes:
        """Returns `size` bytes, fewer at the end; all if it is negative."""
        self.turn.share()
        data: bytes = self.stream.read(size)
        self.turn.record(len(data))
        return data

    def readline(self, size: int = -1) -> bytes:
        """Returns the next line, of `size` bytes at most."""
        self.turn.share()
        line: bytes = self.stream.readline(size)
        self.turn.record(len(line))
        return line

    def close(self) -> None:
        """Closes the file."""
        self.stream.close()
