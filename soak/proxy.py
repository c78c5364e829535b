"""Loopback proxy that delays, silences and resets connections."""

from __future__ import annotations

import contextlib
import socket
import struct

import gevent
from gevent import socket as gevent_socket

from coltsfootarch.http1 import client

DELAY_S = 0.05


class Proxy:
    """Forwards connections to a target while `mode` lets it.

    Modes: "pass", "delay", "silent" (both ways), "deaf" (nothing reaches the
    target), "mute" (nothing comes back), "refuse".
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.mode = "pass"
        self.pairs: set[gevent_socket.socket] = set()
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
        for sock in tuple(self.pairs):
            drop(sock)
        self.pairs.clear()

    def accept_all(self) -> None:
        while True:
            sock, _ = self.sock.accept()
            gevent.spawn(self.connect, sock)

    def connect(self, near: gevent_socket.socket) -> None:
        if self.mode == "refuse":
            drop(near)
            return
        far = gevent_socket.socket()
        try:
            far.connect(client.split_address(self.target))
        except OSError:
            drop(near)
            return
        self.pairs |= {near, far}
        gevent.spawn(self.pump, near, far, "deaf")
        gevent.spawn(self.pump, far, near, "mute")

    def pump(
        self,
        source: gevent_socket.socket,
        target: gevent_socket.socket,
        blocking: str,
    ) -> None:
        """Forwards one direction; swallows bytes while it is cut."""
        with contextlib.suppress(OSError):
            while data := source.recv(65536):
                if self.mode == "delay":
                    gevent.sleep(DELAY_S)
                if self.mode not in ("silent", blocking):
                    target.sendall(data)
        # A cut link doesn't tell of the close either.
        while self.mode in ("silent", blocking):
            gevent.sleep(DELAY_S)
        for sock in (source, target):
            self.pairs.discard(sock)
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()


def drop(sock: gevent_socket.socket) -> None:
    """Closes a socket with a reset."""
    with contextlib.suppress(OSError):
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
    sock.close()
