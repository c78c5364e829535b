"""Handlers of an entry host's readiness, metrics and status endpoints."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from coltsfootarch.forwarding import cancellation as cancellations
    from coltsfootarch.forwarding import responder as responders
    from coltsfootarch.http1 import messages

STATUS_PATH = "/status"
JSON = (("Content-Type", "application/json"),)
PLAIN_TEXT = (("Content-Type", "text/plain; charset=utf-8"),)


class ReadinessHandler:
    """Handles the load balancer's readiness checks.

    Args:
        path: Path of the checks; other paths get a 404.
        is_ready: Returns whether the host is ready for new callers.
    """

    def __init__(self, path: str, is_ready: Callable[[], bool]) -> None:
        self.path = path
        self.is_ready = is_ready

    def handle(
        self,
        raw: messages.Request,
        responder: responders.ConnectionResponder,
        cancellation: cancellations.Cancellation,
    ) -> None:
        """Responds 200 or 503; see `listener.Handler`."""
        del cancellation  # The response is immediate.
        if raw.target.partition("?")[0] != self.path:
            responder.respond(404, PLAIN_TEXT, b"unknown path\n")
        elif self.is_ready():
            responder.respond(200, PLAIN_TEXT, b"ready\n")
        else:
            responder.respond(503, PLAIN_TEXT, b"not ready\n")


class MetricsHandler:
    """Handles requests for the metrics and for the status.

    Args:
        render: Returns all metrics as text.
        render_status: Returns the status as a JSON document.
    """

    def __init__(
        self, render: Callable[[], bytes], render_status: Callable[[], bytes]
    ) -> None:
        self.render = render
        self.render_status = render_status

    def handle(
        self,
        raw: messages.Request,
        responder: responders.ConnectionResponder,
        cancellation: cancellations.Cancellation,
    ) -> None:
        """Responds 200; see `listener.Handler`."""
        del cancellation  # The response is immediate.
        if raw.target.partition("?")[0] == STATUS_PATH:
            responder.respond(200, JSON, self.render_status())
        else:
            # Every other path gets the metrics.
            responder.respond(200, PLAIN_TEXT, self.render())
