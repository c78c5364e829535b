"""Whether a request may start: configuration, key, route."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

if TYPE_CHECKING:
    from collections.abc import Mapping

    from coltsfootarch.config import routes
    from coltsfootarch.config import tracker
    from coltsfootarch.gateway import readiness
    from coltsfootarch.keys import authenticator
    from coltsfootarch.keys import ring


class Admission:
    """Checks that come before any pipeline.

    Args:
        config_tracker: Configuration in force on this host.
        keys: Checks keys against it.
        readiness: Whether this host may serve yet.
    """

    def __init__(
        self,
        config_tracker: tracker.ConfigTracker,
        keys: authenticator.Authenticator,
        readiness: readiness.Readiness,
    ) -> None:
        self.readiness = readiness
        self.config_tracker = config_tracker
        self.keys = keys

    def authenticate(self, environ: Mapping[str, Any]) -> ring.Caller:
        """Returns the caller whose key came with the request.

        Raises:
            RefusedError: The key is missing, unknown, withdrawn or can't be
                confirmed, or this host has no configuration yet.
        """
        self.readiness.check()
        return self.keys.authenticate(environ.get("HTTP_AUTHORIZATION"))

    def route(self, environ: Mapping[str, Any]) -> routes.Route:
        """Returns the route of a call to a plain service.

        Raises:
            RefusedError: No service has the path, or this host has no
                configuration yet.
        """
        self.readiness.check()
        self.config_tracker.ensure_fresh()
        return self.config_tracker.routes.match(
            environ["REQUEST_METHOD"], environ["RAW_PATH"]
        )

    def body_limit(self) -> int:
        """Returns the largest accepted body in bytes."""
        return self.config_tracker.register.rules.max_body_bytes
