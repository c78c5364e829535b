"""Loopback proxy that silences or resets connections, or refuses new ones."""

from __future__ import annotations

import contextlib
import socket
import struct
import threading

from reviewlib import deployment


class Link:
    """One forwarded connection.

    Attributes:
        silent: Whether all bytes of both directions are dropped.
    """

    def __init__(self, near: socket.socket, far: socket.socket) -> None:
        self.near = near
        self.far = far
        self.silent = False

    def forward(self, source: socket.socket, target: socket.socket) -> None:
        """Forwards one direction; never closes the other side if silent."""
        with contextlib.suppress(OSError):
            while data := source.recv(65536):
                if not self.silent:
                    target.sendall(data)
        if self.silent:
            return
        for sock in (source, target):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)


class SilentProxy:
    """Forwards connections to a target address.

    Args:
        target: Address "ip:port" to forward to.

    Attributes:
        refusing: Whether new connections are reset.
    """

    def __init__(self, target: str) -> None:
        self.refusing = False
        host, _, port = target.rpartition(":")
        self.target = (host, int(port))
        self.links: list[Link] = []
        self.sock = socket.create_server((deployment.LOOPBACK, 0))
        self.address = "{}:{}".format(*self.sock.getsockname())
        threading.Thread(target=self.accept_all, daemon=True).start()

    def accept_all(self) -> None:
        """Accepts connections until the socket is closed."""
        while True:
            try:
                near, _ = self.sock.accept()
                if self.refusing:
                    reset(near)
                    continue
                far = socket.create_connection(self.target, timeout=5)
            except OSError:
                return
            far.settimeout(None)
            for sock in (near, far):
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            link = Link(near, far)
            self.links.append(link)
            for pair in ((near, far), (far, near)):
                threading.Thread(
                    target=link.forward, args=pair, daemon=True
                ).start()

    def silence(self) -> int:
        """Makes the connections that are open now silent for good."""
        for link in self.links:
            link.silent = True
        return len(self.links)

    def cut(self) -> None:
        """Resets all connections and refuses new ones."""
        self.refusing = True
        for link in self.links:
            reset(link.near)
            reset(link.far)
        self.links = []

    def heal(self) -> None:
        """Accepts new connections again."""
        self.refusing = False

    def close(self) -> None:
        """Stops accepting and closes all connections."""
        self.sock.close()
        for link in self.links:
            for sock in (link.near, link.far):
                with contextlib.suppress(OSError):
                    sock.close()


def reset(sock: socket.socket) -> None:
    """Closes a socket with a reset, also one that a thread reads from."""
    with contextlib.suppress(OSError):
        linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        sock.shutdown(socket.SHUT_RD)
    with contextlib.suppress(OSError):
        sock.close()
