"""Routes derived from the register.

The register has no routes of its own. A plain service is reached by its path
prefix, a model service by the model that the request names.
"""

from __future__ import annotations

import re
import urllib.parse
from typing import NamedTuple

from coltsfootarch import errors
from coltsfootarch import results
from coltsfootarch.config import consistency
from coltsfootarch.config import register as registers

COMPLETIONS_PATH = "/v1/completions"
COMPLETIONS_METHOD = "POST"
COMPLETIONS_ATTEMPTS = registers.CallRule._field_defaults["max_attempts"]

# Characters that RFC 3986 allows in a path, with complete percent escapes.
# The semicolon is left out, because some upstreams end a segment there.
PATH_PATTERN = re.compile(r"/(?:[A-Za-z0-9._~!$&'()*+,=:@/-]|%[0-9A-Fa-f]{2})*")
# Percent-encoded slashes, backslashes, dots and NUL, also if encoded more than
# once. An upstream that decodes before it resolves the path would see another
# path than the one that was checked.
UNSAFE_ESCAPE = re.compile(r"%(?:25)*(?:2f|5c|2e|00)", re.IGNORECASE)


class Route(NamedTuple):
    """Service of a request, and whether the request may be repeated.

    Attributes:
        service: Service that the request is for.
        path: Path below the service's prefix, still percent-encoded, with a
            leading slash; the whole path for a model service.
        idempotent: Whether the request may be sent more than once.
        open: Whether the request needs no key.
        max_attempts: Attempts, the first one included; 1 for a non-idempotent
            request.
    """

    service: registers.Service
    path: str
    idempotent: bool
    open: bool
    max_attempts: int


class RouteTable:
    """The routes of one register.

    Args:
        register: A checked register.

    Attributes:
        services_by_model: Model services by the value of `model`.
        plain_services: Plain services, longest path prefix first.
        rules_by_service: Call rules by the name of their service, in the
            order of the register.
    """

    def __init__(self, register: registers.Register) -> None:
        services = register.services.values()
        self.services_by_model = {
            service.model: service
            for service in services
            if service.kind is registers.ServiceKind.MODEL
        }
        plain = [
            service
            for service in services
            if service.kind is registers.ServiceKind.PLAIN
        ]
        # A path is matched with the longest prefix first.
        self.plain_services = sorted(
            plain, key=lambda service: len(service.path_prefix), reverse=True
        )
        self.rules_by_service: dict[str, list[registers.CallRule]] = {}
        for call in register.rules.calls:
            self.rules_by_service.setdefault(call.service, []).append(call)

    def match(self, method: str, path: str, model: str | None = None) -> Route:
        """Returns the route of a request.

        Args:
            method: HTTP method.
            path: Path as sent, percent-encoded, without the query.
            model: Value of `model` in the body; only used for completions.

        Raises:
            RefusedError: Code UNKNOWN_ROUTE or UNKNOWN_MODEL.
        """
        check_path(path)
        if path == COMPLETIONS_PATH:
            return self.match_model(method, model)
        for service in self.plain_services:
            prefix = service.path_prefix
            if path == prefix or path.startswith(f"{prefix}/"):
                return self.match_call(service, method, path[len(prefix) :])
        raise errors.RefusedError(results.UNKNOWN_ROUTE)

    def match_model(self, method: str, model: str | None) -> Route:
        """Returns the route of a completion."""
        if method.upper() != COMPLETIONS_METHOD:
            raise errors.RefusedError(results.UNKNOWN_ROUTE)
        service = self.services_by_model.get(model or "")
        if service is None:
            raise errors.RefusedError(results.UNKNOWN_MODEL)
        return Route(
            service,
            COMPLETIONS_PATH,
            idempotent=True,
            open=False,
            max_attempts=COMPLETIONS_ATTEMPTS,
        )

    def match_call(
        self, service: registers.Service, method: str, path: str
    ) -> Route:
        """Returns the route of a call of a plain service."""
        relative_path = path or "/"
        call = self.find_rule(service, method.upper(), relative_path)
        idempotent = method.upper() in consistency.SAFE_METHODS
        if call is None:
            attempts = registers.CallRule._field_defaults["max_attempts"]
            return Route(
                service,
                relative_path,
                idempotent,
                False,
                attempts if idempotent else 1,
            )
        if call.idempotent is not None:
            idempotent = call.idempotent
        attempts = call.max_attempts if idempotent else 1
        return Route(service, relative_path, idempotent, call.open, attempts)

    def find_rule(
        self, service: registers.Service, method: str, path: str
    ) -> registers.CallRule | None:
        """Returns the first rule that matches a call, None if none does."""
        # Rules apply to the path as the upstream sees it after decoding, so
        # that percent-encoding a character doesn't evade a rule.
        decoded = urllib.parse.unquote(path)
        for call in self.rules_by_service.get(service.name, ()):
            if call.method in ("*", method) and path_matches(
                call.path, decoded
            ):
                return call
        return None


def check_path(path: str) -> None:
    """Refuses paths that an upstream could resolve to another path.

    Raises:
        RefusedError: Code UNKNOWN_ROUTE.
    """
    if (
        PATH_PATTERN.fullmatch(path) is None
        or UNSAFE_ESCAPE.search(path) is not None
        or "//" in path
        or not {".", ".."}.isdisjoint(path.split("/"))
        or not is_utf8(path)
    ):
        raise errors.RefusedError(
            results.UNKNOWN_ROUTE, "The path is not in normal form."
        )


def is_utf8(path: str) -> bool:
    """Returns whether the decoded path is valid UTF-8."""
    try:
        urllib.parse.unquote(path, errors="strict")
    except UnicodeDecodeError:
        return False
    return True


def path_matches(pattern: str, path: str) -> bool:
    """Returns whether a rule's path matches a decoded path.

    A "*" at the end of the pattern matches any rest, and a trailing slash of
    either is ignored.

    Args:
        pattern: Path of a call rule.
        path: Decoded path below the service's prefix.
    """
    if pattern.endswith("*"):
        prefix = pattern[:-1]
        return path.startswith(prefix) or f"{path}/" == prefix
    return path.rstrip("/") == pattern.rstrip("/")
