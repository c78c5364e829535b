"""Admission checks of a request: readiness, key, route and body limit."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

if TYPE_CHECKING:
    from collections.abc import Mapping

    from coltsfootarch.config import routes
    from coltsfootarch.config import tracker
    from coltsfootarch.gateway import readiness
    from coltsfootarch.keys import authenticator
    from coltsfootarch.keys import keyring


class Admission:
    """Checks that a request passes before a pipeline runs it.

    Args:
        config_tracker: Configuration in force on this host.
        keys: Checks API keys against that configuration.
        readiness: Tells whether this host may serve requests yet.
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

    def authenticate(self, environ: Mapping[str, Any]) -> keyring.Caller:
        """Returns the caller that the API key in the request belongs to.

        Raises:
            RefusedError: The key is missing, unknown, withdrawn or can't be
                confirmed, or this host has no configuration yet.
        """
        self.readiness.check()
        return self.keys.authenticate(environ.get("HTTP_AUTHORIZATION"))

    def match_route(self, environ: Mapping[str, Any]) -> routes.Route:
        """Returns the route of a call to a plain service.

        Raises:
            RefusedError: No service matches the path, or this host has no
                configuration yet.
        """
        self.readiness.check()
        self.config_tracker.ensure_fresh()
        return self.config_tracker.routes.match(
            environ["REQUEST_METHOD"], environ["RAW_PATH"]
        )

    def body_limit(self) -> int:
        """Returns the maximum size of a request body in bytes."""
        return self.config_tracker.register.rules.max_body_bytes
