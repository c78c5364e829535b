"""The policy that an operator gives: routes, services and client accounts."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    import random

# Callers give up a silent stream after the longest of these: a time in seconds,
# multiples of the objective and of the longest wanted pause.
MIN_SILENCE_TIMEOUT_S = 2.0
SILENCE_OBJECTIVE_MULTIPLE = 4.0
SILENCE_GAP_MULTIPLE = 8.0


class Repeat(enum.Enum):
    """What may be repeated of a route's requests."""

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
    """Which requests go where and how they may be treated.

    Attributes:
        name: Name in logs.
        host: `Host` header that it serves, in lower case.
        prefix: Path prefix; begins and ends with a slash.
        repeat: What may be repeated.
        timeout_s: Longest time that a caller is kept waiting, in seconds.
        objective_s: Time to the answer (streams: to the first event) within
            which it has its full value, in seconds.
        priority: Rank; 0 is the most urgent.
        targets: Services, at least one.
        max_attempts: Upstreams to which one request may be sent.
        public: Whether it needs no key.
        resumable: Whether a stream may go on at another upstream.
        event_gap_s: Longest pause between events, in seconds.
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
        """Whether a request that may have run can be sent again."""
        if self.repeat is Repeat.STREAM:
            return self.resumable
        return self.repeat is Repeat.IDEMPOTENT

    @property
    def silence_timeout_s(self) -> float:
        """Seconds of silence after which a stream's caller leaves."""
        return max(
            MIN_SILENCE_TIMEOUT_S,
            SILENCE_OBJECTIVE_MULTIPLE * self.objective_s,
            SILENCE_GAP_MULTIPLE * self.event_gap_s,
        )

    def choose_service(self, generator: random.Random) -> str:
        """Returns a target's service, drawn by weight."""
        if len(self.targets) == 1:
            return self.targets[0].service
        weights = [max(target.weight, 0.0) for target in self.targets]
        if not any(weights):
            return self.targets[0].service
        return generator.choices(self.targets, weights)[0].service


class EngineLimits(NamedTuple):
    """Sizes of the model engines of a service.

    Attributes:
        slots: Requests that run at once.
        memory_tokens: KV cache memory in tokens.
        token_bytes: KV cache bytes of one token.
        handle_lifetime_s: Time that a prefill result is kept, in seconds.
        reservation_s: Longest time for which memory can be reserved, in
            seconds; 0 if it can't be.
    """

    slots: int
    memory_tokens: int
    token_bytes: int
    handle_lifetime_s: float
    reservation_s: float = 0.0


class Service(NamedTuple):
    """A group of upstreams that are interchangeable.

    Attributes:
        name: Name of the service.
        max_connections: Connections that one upstream accepts from all hosts.
        engine: Sizes of its engines; None for a plain service.
    """

    name: str
    max_connections: int
    engine: EngineLimits | None = None


class ClientAccount(NamedTuple):
    """A customer with keys and a limit over all hosts.

    Attributes:
        name: Name that upstreams get.
        keys: Accepted keys.
        rate: Tokens a second; 0 for no limit.
        burst: Tokens at once.
        priority: Rank that replaces the route's; None where there is none.
        default_tokens: Cost of a request that declares no size.
    """

    name: str
    keys: frozenset[str]
    rate: float
    burst: float
    priority: int | None
    default_tokens: int


class CallerLimits(NamedTuple):
    """What a caller may send and how long it may take.

    Attributes:
        header_bytes: Longest head.
        body_bytes: Longest body.
        header_timeout_s: Time for a whole head, in seconds.
        idle_timeout_s: Time without a request, in seconds.
    """

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Policy:
    """One version of everything that the operator decides.

    Args:
        version: Number that grows with each change.
        routes: All routes.
        services: All services.
        accounts: All client accounts; empty if no keys are in use.
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
        """Returns the host's route with the longest prefix of a path.

        Args:
            host: Value of the `Host` header.
            path: Path without the query.
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
        """Returns the client account that holds a key."""
        return self.by_key.get(key)
