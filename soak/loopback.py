"""Loopback addresses for the programs of one run."""

from __future__ import annotations

import contextlib
import secrets
import socket

# Ports below the ephemeral range, so that no outgoing connection takes a port
# after it was chosen and before its program listens on it.
FIRST_PORT = 20000
LAST_PORT = 32000
# A process owns a loopback address while it listens on this port of it.
LOCK_PORT = 19999


class LoopbackAddresses:
    """Addresses that no other process of this kind uses.

    They have a loopback IP of their own, so that concurrent runs can't choose
    the same address for programs that don't listen yet.
    """

    def __init__(self) -> None:
        self.ports = iter(range(FIRST_PORT, LAST_PORT))
        self.lock_socket = socket.socket()
        while True:
            numbers = [secrets.randbelow(254) + 1 for _ in range(3)]
            self.ip = "127.{}.{}.{}".format(*numbers)
            with contextlib.suppress(OSError):
                self.lock_socket.bind((self.ip, LOCK_PORT))
                self.lock_socket.listen()
                return

    def close(self) -> None:
        self.lock_socket.close()

    def next_address(self) -> str:
        """Returns an address ("ip:port"), each at most once.

        Raises:
            RuntimeError: No port is left.
        """
        for port in self.ports:
            return f"{self.ip}:{port}"
        raise RuntimeError(f"all ports of {self.ip} have been used")
