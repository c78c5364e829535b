"""Sends bytes on an inherited socket as fast as they are read.

    python flooding_process.py DESCRIPTOR BEGINNING REPEATED

BEGINNING, in hexadecimal digits, is sent once, REPEATED without end. What
arrives is dropped. The process ends with the connection.
"""

from __future__ import annotations

import contextlib
import select
import socket
import sys

BLOCK_BYTES = 65536


def main(descriptor, beginning, repeated):
    sock = socket.socket(fileno=int(descriptor))
    sock.setblocking(False)
    repeated = bytes.fromhex(repeated)
    block = repeated * (BLOCK_BYTES // max(len(repeated), 1))
    rest = memoryview(bytes.fromhex(beginning) + block)
    poller = select.poll()
    while True:
        poller.register(
            sock.fileno(), select.POLLIN | (select.POLLOUT if rest else 0)
        )
        for _, events in poller.poll():
            if events & ~select.POLLOUT and not sock.recv(BLOCK_BYTES):
                return
            if events & select.POLLOUT:
                with contextlib.suppress(BlockingIOError):
                    rest = rest[sock.send(rest) :] or memoryview(block)


if __name__ == "__main__":
    with contextlib.suppress(OSError):
        main(*sys.argv[1:])
