"""Changes of the configuration of every kind, chosen at random."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from typing import Protocol

if TYPE_CHECKING:
    import random

KINDS = (
    "move_route",
    "split_route",
    "toggle_route",
    "change_timeout",
    "change_limits",
    "change_quota",
    "toggle_account",
    "toggle_key",
    "toggle_size",
)
PLAIN_ROUTES = ("read", "book")
PLAIN_SERVICES = ("app", "spare")
ROUTE_TIMEOUTS_MS = (8000, 9000, 10000)
IDLE_TIMEOUTS_MS = (2000, 5000, 10000)
HEADER_TIMEOUTS_MS = (1000, 3000, 8000)
BODY_LIMITS = (1000, 65536, 1000000)
# Quotas that the callers don't reach.
RATES = (10**6, 10**7, 10**8)
LARGE_ROUTES = 1500
ENGINE_SLOTS = 4


class Base(Protocol):
    """Builds the configuration that is changed."""

    def __call__(
        self, version: int, keys: list[str], added_routes: int
    ) -> dict[str, Any]:
        """Returns a configuration with so many unused routes."""


class Changes:
    """Configuration to which random changes are made.

    Args:
        base: Builds the configuration without changes.
        generator: Source of the random choices.
    """

    def __init__(self, base: Base, generator: random.Random) -> None:
        self.base = base
        self.generator = generator
        self.targets: dict[str, dict[str, Any]] = {}
        self.timeout_ms = ROUTE_TIMEOUTS_MS[0]
        self.limits: dict[str, int] = {}
        self.quotas: dict[str, int] = {}
        self.has_route = False
        self.has_account = False
        self.has_key = False
        self.is_large = False

    def change(self) -> str:
        """Makes a random change to the next configuration.

        Returns:
            Its kind.
        """
        kind = self.generator.choice(KINDS)
        getattr(self, kind)()
        return kind

    def configuration(self, version: int, keys: list[str]) -> dict[str, Any]:
        """Returns the configuration with the changes made so far.

        Args:
            version: Its version.
            keys: API keys of the callers.
        """
        size = LARGE_ROUTES if self.is_large else 0
        document = self.base(version, keys, size)
        routes = document["routes"]
        for route in routes:
            route["timeout_ms"] = self.timeout_ms
            if route["name"] in self.targets:
                del route["service"]
                route |= self.targets[route["name"]]
        if self.has_route:
            routes.append(
                {**routes[0], "name": "more", "path_prefix": "/more/"}
            )
        plain, engines = document["services"]
        engines["engine"]["slots"] = ENGINE_SLOTS
        document["services"] += [{**plain, "name": "spare"}]
        document["limits"] |= self.limits
        accounts = document["tenants"]
        for account in accounts:
            account |= self.quotas
        if self.has_key:
            accounts[0]["api_keys"].append("key-more")
        if self.has_account:
            accounts.append(
                {**accounts[0], "name": "more", "api_keys": ["key-c"]}
            )
        return document

    def move_route(self) -> None:
        """Moves a route to one service."""
        name = self.generator.choice(PLAIN_ROUTES)
        service = self.generator.choice(PLAIN_SERVICES)
        self.targets[name] = {"service": service}

    def split_route(self) -> None:
        """Splits a route between services by weight."""
        targets = [
            {"service": service, "weight": self.generator.randint(1, 9)}
            for service in PLAIN_SERVICES
        ]
        name = self.generator.choice(PLAIN_ROUTES)
        self.targets[name] = {"weighted_services": targets}

    def toggle_route(self) -> None:
        self.has_route = not self.has_route

    def change_timeout(self) -> None:
        self.timeout_ms = self.generator.choice(ROUTE_TIMEOUTS_MS)

    def change_limits(self) -> None:
        """Changes the limits for callers, up or down."""
        self.limits = {
            "idle_timeout_ms": self.generator.choice(IDLE_TIMEOUTS_MS),
            "header_timeout_ms": self.generator.choice(HEADER_TIMEOUTS_MS),
            "max_body_bytes": self.generator.choice(BODY_LIMITS),
        }

    def change_quota(self) -> None:
        rate = self.generator.choice(RATES)
        self.quotas = {"rate_per_s": rate, "burst": rate}

    def toggle_account(self) -> None:
        self.has_account = not self.has_account

    def toggle_key(self) -> None:
        self.has_key = not self.has_key

    def toggle_size(self) -> None:
        """Adds or removes many routes that no caller uses."""
        self.is_large = not self.is_large
