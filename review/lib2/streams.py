"""Clients of streams: they take a stream up where it broke off."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

from review.lib2 import clients as client_module
from review.lib2 import deployment

# Retries of a client after the first attempt, and its pause before each.
MAX_RETRIES = 1
RETRY_PAUSE_S = 0.05


class Attempt(NamedTuple):
    """One client attempt at a stream.

    Attributes:
        request_id: Its request id.
        sent_at: Instant of sending, in seconds.
        ended_at: Instant of its end, in seconds.
        after: Value of `Last-Event-Id`; empty for none.
        status: Status; 0 if there was none.
        runner: Runner that the seal names; empty if there was none.
        events: Ids of the events that arrived.
        complete: Whether the answer ended as complete.
    """

    request_id: str
    sent_at: float
    ended_at: float
    after: str
    status: int
    runner: str
    events: tuple[str, ...]
    complete: bool

    def line(self) -> str:
        """Returns a line for the record."""
        first, last = (self.events or ("-",))[0], (self.events or ("-",))[-1]
        return (
            f"{self.sent_at:8.3f} s to {self.ended_at:.3f} s "
            f"{self.request_id} after event {self.after or 'none'}: status "
            f"{self.status}, runner {self.runner or 'none'}, events "
            f"{first} to {last}, complete {self.complete}"
        )


async def run_stream(
    clients: client_module.Clients,
    addresses: list[str],
    path: str,
    deadline_ms: int,
    fields: tuple[tuple[str, str], ...],
) -> list[Attempt]:
    """Asks for a stream, and takes it up at the next host if it breaks off.

    Args:
        clients: Keeps time and gives out request ids.
        addresses: Hosts to ask, one for each attempt.
        path: Path of the request.
        deadline_ms: Time that the client waits in all.
        fields: Further header fields.

    Returns:
        The attempts.
    """
    attempts: list[Attempt] = []
    ends_at = clients.now() + deadline_ms / 1000
    last_event, began_by = "", ""
    for address in addresses[: 1 + MAX_RETRIES]:
        left_ms = int((ends_at - clients.now()) * 1000)
        more = [("X-Deadline-Ms", str(left_ms)), *fields]
        more.append(("Authorization", f"Bearer {deployment.KEY}"))
        if last_event:
            more += [("Last-Event-Id", last_event), ("Resumes", began_by)]
        attempt = await try_once(
            clients, address, path, left_ms, tuple(more), last_event
        )
        attempts.append(attempt)
        if attempt.complete:
            break
        if attempt.events:
            last_event = attempt.events[-1]
            began_by = began_by or attempt.request_id
        await asyncio.sleep(RETRY_PAUSE_S)
    return attempts


async def try_once(
    clients: client_module.Clients,
    address: str,
    path: str,
    left_ms: int,
    fields: tuple[tuple[str, str], ...],
    after: str,
) -> Attempt:
    """Makes one attempt; returns what came of it."""
    request_id = f"{clients.prefix}{next(clients.numbers):08x}"
    sent_at = clients.now()
    received = bytearray()
    request = client_module.render(
        "POST", path, request_id, b"note" * 1250, fields
    )
    try:
        async with asyncio.timeout(left_ms / 1000):
            await client_module.exchange(address, request, received)
    except (OSError, TimeoutError):
        pass
    status, body, complete = client_module.parse(bytes(received), ended=False)
    runner = ""
    for line in bytes(received).partition(b"\r\n\r\n")[0].split(b"\r\n"):
        if line.lower().startswith(b"x-server-seal:"):
            # The project's stand-in seals with "seal-RUNNER-REQUEST".
            seal = line.partition(b":")[2].strip().decode("latin-1")
            runner = seal.removeprefix("seal-").rpartition("-")[0]
    whole = body.rpartition(b"\n\n")[0]
    events = tuple(
        line[3:].strip().decode("latin-1")
        for line in whole.split(b"\n")
        if status == 200 and line.startswith(b"id:")
    )
    return Attempt(
        request_id,
        sent_at,
        clients.now(),
        after,
        status,
        runner,
        events,
        complete,
    )
