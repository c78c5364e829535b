"""Policy set by the operator: routes, services and client accounts."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    import random

# Callers give up a silent stream after the longest of: a minimum in seconds, a
# multiple of the route's objective, and a multiple of its event gap.
MIN_SILENCE_TIMEOUT_S = 2.0
SILENCE_OBJECTIVE_MULTIPLE = 4.0
SILENCE_GAP_MULTIPLE = 8.0


class Repeat(enum.Enum):
    """Whether requests of a route may be sent to an upstream again.

    A stream may be resumed at another upstream if its route is resumable.
    """

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"


class Target(NamedTuple):
    """A service to which a route sends a share of its requests.

    Attributes:
        service: Name of the service.
        weight: Share relative to the other targets.
    """

    service: str
    weight: float


class Route(NamedTuple):
    """Matches requests and states their services, objectives and retries.

    Attributes:
        name: Name in logs.
        host: `Host` header that it matches, in lower case.
        prefix: Path prefix that it matches; begins and ends with a slash.
        repeat: Whether requests may be repeated.
        timeout_s: Longest time until the end of the response, in seconds.
        objective_s: Objective for the time to the response, or to the first
            event of a stream, in seconds. A later one has less value.
        priority: Scheduling priority; 0 is the most urgent.
        targets: Services that it uses; at least one.
        max_attempts: Number of times that one request may be sent.
        public: Whether it needs no key.
        resumable: Whether a stream may be resumed at another upstream.
        event_gap_s: Longest wanted pause between events of a stream, in
            seconds.
    """

    name: str
    host: str
    prefix: str
    repeat: Repeat
    timeout_s: float
    objective_s: float
    priority: int
    targets: tuple[Target, ...]
    max_attempts: int
    public: bool = False
    resumable: bool = False
    event_gap_s: float = 0.0

    @property
    def repeatable(self) -> bool:
        """Whether a request that may have run may be sent again."""
        if self.repeat is Repeat.STREAM:
            return self.resumable
        return self.repeat is Repeat.IDEMPOTENT

    @property
    def silence_timeout_s(self) -> float:
        """Silence after which the caller of a stream gives up, in seconds."""
        return max(
            MIN_SILENCE_TIMEOUT_S,
            SILENCE_OBJECTIVE_MULTIPLE * self.objective_s,
            SILENCE_GAP_MULTIPLE * self.event_gap_s,
        )

    def choose_service(self, generator: random.Random) -> str:
        """Returns the service of a target chosen at random by weight."""
        if len(self.targets) == 1:
            return self.targets[0].service
        weights = [max(target.weight, 0.0) for target in self.targets]
        if not any(weights):
            return self.targets[0].service
        return generator.choices(self.targets, weights)[0].service


class EngineLimits(NamedTuple):
    """Capacity of each model engine of a service.

    Attributes:
        slots: Number of requests that run at once.
        memory_tokens: KV cache memory in tokens.
        token_bytes: KV cache bytes of one token.
        prefill_result_lifetime_s: Time for which an engine keeps a prefill
            result, in seconds.
        reservation_s: Longest time for which memory can be reserved, in
            seconds; 0 if engines don't support reservations.
    """

    slots: int
    memory_tokens: int
    token_bytes: int
    prefill_result_lifetime_s: float
    reservation_s: float = 0.0


class Service(NamedTuple):
    """A group of interchangeable upstreams.

    Attributes:
        name: Name of the service.
        max_connections: Connections that one upstream accepts from all hosts
            together.
        engine: Capacity of its model engines; None for a plain service.
    """

    name: str
    max_connections: int
    engine: EngineLimits | None = None


class ClientAccount(NamedTuple):
    """A customer with API keys and a rate limit over all hosts.

    Attributes:
        name: Name that is sent to upstreams.
        keys: Accepted API keys.
        rate: Rate limit in tokens per second; 0 for no limit.
        burst: Largest number of tokens that can be admitted at once.
        priority: Priority that replaces the route's; None to keep it.
        default_tokens: Tokens counted for a request that declares no size.
    """

    name: str
    keys: frozenset[str]
    rate: float
    burst: float
    priority: int | None
    default_tokens: int


class CallerLimits(NamedTuple):
    """Limits for the connections of callers.

    Attributes:
        header_bytes: Largest size of a request's head in bytes.
        body_bytes: Largest size of a request's body in bytes.
        header_timeout_s: Longest time to receive a head, in seconds.
        idle_timeout_s: Longest time without a request, and to receive a body,
            in seconds.
    """

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Policy:
    """One version of the operator's policy.

    Args:
        version: Version number, which grows with each change.
        routes: All routes.
        services: All services.
        accounts: All client accounts; if empty, no request needs a key.
        limits: Limits for callers.
    """

    def __init__(
        self,
        version: int,
        routes: tuple[Route, ...],
        services: tuple[Service, ...],
        accounts: tuple[ClientAccount, ...],
        limits: CallerLimits,
    ) -> None:
        self.version = version
        self.routes = routes
        self.services = {service.name: service for service in services}
        self.accounts = {account.name: account for account in accounts}
        self.limits = limits
        self.by_key = {
            key: account for account in accounts for key in account.keys
        }
        self.by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            self.by_host.setdefault(route.host, {})[route.prefix] = route

    def find_route(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest matching path prefix.

        Args:
            host: Value of the `Host` header; its port is ignored if no route
                names one.
            path: Path without the query.

        Returns:
            The route; None if none matches.
        """
        prefixes = self.by_host.get(host.lower())
        if prefixes is None:
            prefixes = self.by_host.get(host.lower().partition(":")[0], {})
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def find_account(self, key: str) -> ClientAccount | None:
        """Returns the client account of a key; None if it is unknown."""
        return self.by_key.get(key)
