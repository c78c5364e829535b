"""Clients of the cases: sound ones, one request a connection."""

from __future__ import annotations

import asyncio
import itertools
import secrets
import time
from typing import NamedTuple

from review.lib2 import deployment


class Answer(NamedTuple):
    """What one client got.

    Attributes:
        request_id: Its request id.
        path: Path of the request.
        sent_at: Instant of sending, in seconds since the start of the case.
        took_s: Time until the whole answer or the end, in seconds.
        status: Status; 0 if there was none.
        complete: Whether the whole answer arrived.
        body: Body of the answer.
    """

    request_id: str
    path: str
    sent_at: float
    took_s: float
    status: int
    complete: bool
    body: bytes

    def line(self) -> str:
        """Returns a line for the record."""
        whole = "whole" if self.complete else "not whole"
        return (
            f"{self.sent_at:8.3f} s {self.request_id} {self.path}: "
            f"status {self.status}, {whole}, after {self.took_s:.3f} s"
        )


class Clients:
    """Sends requests to hosts and keeps what came back."""

    def __init__(self) -> None:
        self.started = time.monotonic()
        self.answers: list[Answer] = []
        self.numbers = itertools.count()
        self.prefix = secrets.token_hex(4)

    def now(self) -> float:
        """Returns the seconds since the start of the case."""
        return time.monotonic() - self.started

    async def send(
        self,
        address: str,
        method: str,
        path: str,
        deadline_ms: int,
        body: bytes = b"",
        fields: tuple[tuple[str, str], ...] = (),
        key: str = deployment.KEY,
    ) -> Answer:
        """Sends one request on a new connection; returns what came back."""
        request_id = f"{self.prefix}{next(self.numbers):08x}"
        sent_at = self.now()
        received = bytearray()
        ended = False
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                ended = await exchange(
                    address,
                    render(
                        method,
                        path,
                        request_id,
                        body,
                        (
                            ("X-Deadline-Ms", str(deadline_ms)),
                            ("Authorization", f"Bearer {key}"),
                            *fields,
                        ),
                    ),
                    received,
                )
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass
        status, content, complete = parse(bytes(received), ended)
        answer = Answer(
            request_id,
            path,
            sent_at,
            self.now() - sent_at,
            status,
            complete,
            content,
        )
        self.answers.append(answer)
        return answer


def render(
    method: str,
    path: str,
    request_id: str,
    body: bytes,
    fields: tuple[tuple[str, str], ...],
) -> bytes:
    """Returns the bytes of a request."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {deployment.HOST_NAME}",
        f"X-Request-Id: {request_id}",
        *(f"{name}: {value}" for name, value in fields),
    ]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


async def exchange(address: str, request: bytes, received: bytearray) -> bool:
    """Sends a request and reads until the answer is whole.

    Returns:
        Whether the host closed the connection.
    """
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(request)
        while not parse(bytes(received), ended=False)[2]:
            data = await reader.read(65536)
            if not data:
                return True
            received += data
        return False
    finally:
        writer.close()


def parse(data: bytes, ended: bool) -> tuple[int, bytes, bool]:
    """Returns status, body and whether an answer is whole."""
    head, separator, rest = data.partition(b"\r\n\r\n")
    if not separator:
        return 0, b"", False
    lines = head.decode("latin-1").split("\r\n")
    status = int(lines[0].split(" ")[1])
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        fields[name.lower()] = value.strip()
    if "content-length" in fields:
        length = int(fields["content-length"])
        return status, rest[:length], len(rest) >= length
    if fields.get("transfer-encoding", "").lower() != "chunked":
        return status, rest, ended
    body = b""
    while True:
        size, separator, rest = rest.partition(b"\r\n")
        if not separator:
            return status, body, False
        length = int(size, 16)
        if not length:
            return status, body, True
        if len(rest) < length + 2:
            return status, body + rest[:length], False
        body += rest[:length]
        rest = rest[length + 2 :]
