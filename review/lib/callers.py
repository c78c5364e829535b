"""Clients that send bookings and stock checks on kept connections."""

from __future__ import annotations

import http.client
import threading
import time
from typing import NamedTuple

from reviewlib import deployment


class Outcome(NamedTuple):
    """What a client got for one request.

    Attributes:
        request_id: Id of the request.
        route: Name of its route.
        status: Status of the answer; 0 for a closed connection.
        seal: Signature of the runner in the answer; empty for none.
        body: Body of the answer.
    """

    request_id: str
    route: str
    status: int
    seal: str
    body: bytes


class Caller:
    """A client with one kept connection; honours `Retry-After`.

    Args:
        address: Address of the entry host.
        name: Prefix of its request ids.
        route: Name of the route that it calls.
        until: Monotonic instant at which it stops.
        pause_s: Pause between two requests, in seconds.
        deadline_ms: Its deadline.
    """

    def __init__(
        self,
        address: str,
        name: str,
        route: str,
        until: float,
        pause_s: float = 0.0,
        deadline_ms: int = 4000,
    ) -> None:
        self.address = address
        self.name = name
        self.route = route
        self.until = until
        self.pause_s = pause_s
        self.deadline_ms = deadline_ms
        self.outcomes: list[Outcome] = []
        self.connection: http.client.HTTPConnection | None = None
        self.thread = threading.Thread(target=self.run)

    def run(self) -> None:
        """Sends requests one after the other."""
        number = 0
        while time.monotonic() < self.until:
            wait = self.ask(f"{self.name}-{number}")
            number += 1
            time.sleep(wait + self.pause_s)
        if self.connection is not None:
            self.connection.close()

    def ask(self, request_id: str) -> float:
        """Sends one request; returns the seconds to wait before the next."""
        if self.connection is None:
            self.connection = http.client.HTTPConnection(
                self.address, timeout=self.deadline_ms / 1000
            )
        method = "POST" if self.route == "booking" else "GET"
        body = f"walker for {request_id}" if method == "POST" else None
        try:
            self.connection.request(
                method,
                f"/{self.route}/{request_id}",
                body,
                deployment.request_fields(request_id, self.deadline_ms),
            )
            response = self.connection.getresponse()
            data = response.read()
        except (OSError, http.client.HTTPException):
            self.connection.close()
            self.connection = None
            self.outcomes.append(Outcome(request_id, self.route, 0, "", b""))
            return 0.0
        self.outcomes.append(
            Outcome(
                request_id,
                self.route,
                response.status,
                response.getheader("X-Server-Seal", ""),
                data,
            )
        )
        if response.status == 503:
            return float(response.getheader("Retry-After", "0"))
        return 0.0


def run_all(callers: list[Caller]) -> list[Outcome]:
    """Runs clients side by side and returns all that they got."""
    for caller in callers:
        caller.thread.start()
    for caller in callers:
        caller.thread.join()
    return [outcome for caller in callers for outcome in caller.outcomes]
