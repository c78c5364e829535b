"""Small HTTP answers: readiness and metrics."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from coltsfootarch.forwarding import cancellation as cancellations
    from coltsfootarch.forwarding import listener
    from coltsfootarch.http1 import messages

PLAIN = (("Content-Type", "text/plain; charset=utf-8"),)


class ReadinessHandler:
    """Answers the load balancer's checks.

    Args:
        path: Path of the checks.
        is_ready: Returns whether the host takes new callers.
    """

    def __init__(self, path: str, is_ready: Callable[[], bool]) -> None:
        self.path = path
        self.is_ready = is_ready

    def handle(
        self,
        raw: messages.Request,
        responder: listener.ConnectionResponder,
        cancellation: cancellations.Cancellation,
    ) -> None:
        """Answers 200 or 503; see `listener.Handler`."""
        del cancellation  # The answer takes no time.
        if raw.target.partition("?")[0] != self.path:
            responder.answer(404, PLAIN, b"unknown path\n")
        elif self.is_ready():
            responder.answer(200, PLAIN, b"ready\n")
        else:
            responder.answer(503, PLAIN, b"not ready\n")


class MetricsHandler:
    """Answers with all metrics as text.

    Args:
        render: Returns them.
    """

    def __init__(self, render: Callable[[], bytes]) -> None:
        self.render = render

    def handle(
        self,
        raw: messages.Request,
        responder: listener.ConnectionResponder,
        cancellation: cancellations.Cancellation,
    ) -> None:
        """Answers 200; see `listener.Handler`."""
        del raw, cancellation  # Every path has the same answer.
        responder.answer(200, PLAIN, self.render())
