"""Loopback proxy that delays, blocks and resets connections."""

from __future__ import annotations

import contextlib
import socket
import struct

import gevent
from gevent import socket as gevent_socket

from coltsfootarch.http1 import client

DELAY_S = 0.05


class Proxy:
    """Forwards connections to a target address, subject to `mode`.

    Attributes:
        mode: "pass"; "delay" (by `DELAY_S`); "block_requests" (nothing reaches
            the target), "block_responses" (nothing comes back) or
            "block_both"; "refuse" (new connections are reset).
        bytes_per_s: Rate at which responses pass, as over a slow link; 0 for no
            limit.
        sockets: Open sockets of both sides.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.mode = "pass"
        self.bytes_per_s = 0.0
        self.sockets: set[gevent_socket.socket] = set()
        self.sock = gevent_socket.socket()
        self.sock.bind(("127.0.0.1", 0))
        self.acceptor: gevent.Greenlet | None = None

    @property
    def address(self) -> str:
        return "{}:{}".format(*self.sock.getsockname())

    def start(self) -> None:
        self.sock.listen(128)
        self.acceptor = gevent.spawn(self.accept_all)

    def close(self) -> None:
        if self.acceptor is not None:
            self.acceptor.kill()
        self.sock.close()
        self.reset()

    def reset(self) -> None:
        """Resets all open connections."""
        for sock in tuple(self.sockets):
            reset_socket(sock)
        self.sockets.clear()

    def accept_all(self) -> None:
        while True:
            sock, _ = self.sock.accept()
            gevent.spawn(self.connect, sock)

    def connect(self, client_sock: gevent_socket.socket) -> None:
        if self.mode == "refuse":
            reset_socket(client_sock)
            return
        target_sock = gevent_socket.socket()
        try:
            target_sock.connect(client.split_address(self.target))
        except OSError:
            reset_socket(client_sock)
            return
        self.sockets |= {client_sock, target_sock}
        gevent.spawn(self.forward, client_sock, target_sock, "block_requests")
        gevent.spawn(self.forward, target_sock, client_sock, "block_responses")

    def forward(
        self,
        source: gevent_socket.socket,
        target: gevent_socket.socket,
        blocking_mode: str,
    ) -> None:
        """Forwards one direction; discards bytes while it is blocked.

        Args:
            source: Socket to read from.
            target: Socket to write to.
            blocking_mode: Mode that blocks this direction.
        """
        with contextlib.suppress(OSError):
            while data := source.recv(65536):
                if self.mode == "delay":
                    gevent.sleep(DELAY_S)
                if self.bytes_per_s and blocking_mode == "block_responses":
                    gevent.sleep(len(data) / self.bytes_per_s)
                if self.mode not in ("block_both", blocking_mode):
                    target.sendall(data)
        # A blocked link doesn't deliver the close of a connection either.
        while self.mode in ("block_both", blocking_mode):
            gevent.sleep(DELAY_S)
        for sock in (source, target):
            self.sockets.discard(sock)
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()


def reset_socket(sock: gevent_socket.socket) -> None:
    """Closes a socket with a reset."""
    with contextlib.suppress(OSError):
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
    sock.close()
