"""Peers in other processes that send bytes as fast as they are read."""

from __future__ import annotations

import pathlib
import subprocess
import sys
import time

import gevent
from gevent import socket as gevent_socket

PROGRAM = pathlib.Path(__file__).parent / "flooding_process.py"
# Other callers must have their answers within half a second.
MAX_GAP_S = 0.5


class Flood:
    """Sends the same bytes on a connection until the peer closes it.

    What the peer sends is read and dropped.

    Args:
        sock: An open socket, of which the other process has a duplicate.
        beginning: Bytes that are sent once, before the others.
        repeated: The bytes; none to send no more.
    """

    def __init__(self, sock, beginning, repeated):
        self.sock = sock
        self.beginning = beginning
        self.repeated = repeated
        self.process = None

    def start(self):
        descriptor = self.sock.fileno()
        self.process = subprocess.Popen(
            [
                sys.executable,
                str(PROGRAM),
                str(descriptor),
                self.beginning.hex(),
                self.repeated.hex(),
            ],
            pass_fds=[descriptor],
        )

    def close(self):
        self.process.kill()
        self.process.wait()


class FloodServer:
    """Answers the first request of each connection with a flood."""

    def __init__(self, beginning, repeated):
        self.beginning = beginning
        self.repeated = repeated
        self.floods = []
        self.listener = gevent_socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen()
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.greenlet = None

    def start(self):
        self.greenlet = gevent.spawn(self.run)

    def run(self):
        while True:
            sock, _ = self.listener.accept()
            sock.recv(65536)
            flood = Flood(sock, self.beginning, self.repeated)
            flood.start()
            self.floods.append(flood)
            sock.close()

    def close(self):
        self.greenlet.kill()
        self.listener.close()
        for flood in self.floods:
            flood.close()


class GapRecorder:
    """Runs every few milliseconds and records its longest delay."""

    def __init__(self):
        self.longest_s = 0.0
        self.greenlet = None

    def start(self):
        self.greenlet = gevent.spawn(self.run)
        gevent.sleep(0.01)

    def run(self):
        last = time.monotonic()
        while True:
            gevent.sleep(0.005)
            now = time.monotonic()
            self.longest_s = max(self.longest_s, now - last)
            last = now

    def close(self):
        # The delay that has not ended yet counts.
        gevent.sleep(0.01)
        self.greenlet.kill()
