"""The register and its rules as checked, immutable data.

`parser` makes a `Register` from TOML; outside tests nothing else constructs
one. Durations are `datetime.timedelta`, rates are tokens per second, link
rates are bytes per second.
"""

from __future__ import annotations

import datetime
import enum
from typing import NamedTuple


class ServiceKind(enum.Enum):
    """Whether a service's upstreams are model engines or plain instances."""

    MODEL = "model"
    PLAIN = "plain"


class UpstreamRole(enum.Enum):
    """Type of an upstream: prefill engine, decode engine or plain instance."""

    PREFILL = "prefill"
    DECODE = "decode"
    PLAIN = "plain"


class UpstreamState(enum.Enum):
    """Whether an upstream gets new work; a draining one doesn't."""

    ACTIVE = "active"
    DRAINING = "draining"


class UnconfirmedKeys(enum.Enum):
    """Whether a host accepts keys while it can't confirm its configuration."""

    SERVE = "serve"
    REFUSE = "refuse"


class AvailabilityZone(NamedTuple):
    """An availability zone; a network partition may cut it off from others.

    Attributes:
        name: Unique name.
        region: Region that the zone belongs to.
        shards: Number of shards; fixed while hosts run.
    """

    name: str
    region: str
    shards: int = 8


class Host(NamedTuple):
    """An entry host that is expected to run.

    Attributes:
        name: Unique name.
        availability_zone: Zone that it runs in.
    """

    name: str
    availability_zone: str


class Service(NamedTuple):
    """A model or a plain service.

    Attributes:
        name: Unique name.
        kind: Model service or plain service.
        model: Name that callers give in `model`; model services only.
        path_prefix: Path that callers use; plain services only.
        first_token_target: Time to first token that 95 in 100 requests should
            meet.
        inter_token_target: Time between tokens that 95 in 100 requests should
            meet.
        timeout: Longest wait for a plain upstream's answer.
    """

    name: str
    kind: ServiceKind
    model: str = ""
    path_prefix: str = ""
    first_token_target: datetime.timedelta = datetime.timedelta(seconds=1.4)
    inter_token_target: datetime.timedelta = datetime.timedelta(milliseconds=65)
    timeout: datetime.timedelta = datetime.timedelta(seconds=10)


class Upstream(NamedTuple):
    """One backend instance of a service.

    Attributes:
        name: Unique name.
        service: Service that it belongs to.
        availability_zone: Zone that it runs in.
        address: "ip:port" of its HTTP interface.
        role: Prefill or decode engine, or plain instance.
        state: Whether it may get new work.
        slots: Maximum number of requests that it holds at once.
        memory_pieces: Engine memory, in blocks of `piece_tokens`; engines
            only.
        piece_tokens: Tokens in one block of engine memory; engines only.
        prefill_rate: Prompt tokens per second; prefill engines only.
        link_rate: Bytes per second of its KV transfer link; engines only.
        kv_bytes_per_token: Size of the KV cache of one prompt token; engines
            only.
        checks_fencing: Whether it refuses orders with an outdated fencing
            number.
    """

    name: str
    service: str
    availability_zone: str
    address: str
    role: UpstreamRole
    state: UpstreamState = UpstreamState.ACTIVE
    slots: int = 20
    memory_pieces: int = 64
    piece_tokens: int = 2000
    prefill_rate: float = 20000.0
    link_rate: float = 1.25e9
    kv_bytes_per_token: int = 40000
    checks_fencing: bool = True


class Key(NamedTuple):
    """A caller's key; only a digest of its secret is stored.

    Attributes:
        key_id: Public part of the key, unique.
        salt: Random bytes in hexadecimal.
        digest: SHA-256 of the salt's bytes followed by the secret, in
            hexadecimal.
    """

    key_id: str
    salt: str
    digest: str


class ClientAccount(NamedTuple):
    """An account of callers, with its rate limit and its keys.

    Attributes:
        name: Unique name.
        rate: Tokens per second over all hosts.
        burst: Tokens that may be used at once over all hosts.
        weight: Share in fair queueing.
        priority: Default priority of its requests; larger runs earlier.
        keys: The valid keys.
    """

    name: str
    rate: float
    burst: int
    weight: float = 1.0
    priority: int = 0
    keys: tuple[Key, ...] = ()


class CallRule(NamedTuple):
    """A rule for calls of a plain service; the first matching one applies.

    Attributes:
        service: Plain service.
        method: HTTP method, or "*".
        path: Path below the service's prefix; a trailing "*" matches any rest.
        idempotent: Whether the call may be repeated; None to decide by the
            method.
        open: Whether the call needs no key.
        max_attempts: Attempts of an idempotent call, the first one included.
    """

    service: str
    method: str
    path: str
    idempotent: bool | None = None
    open: bool = False
    max_attempts: int = 3


class Rules(NamedTuple):
    """Rules that apply to the whole register.

    Attributes:
        calls: Rules for calls of plain services.
        scheduling_scope: Whether one pool scheduler serves a whole "region"
            or one "zone".
        queue_timeout: Longest wait for tokens of a client account.
        max_body_bytes: Largest request body in bytes.
        retry_budget: Retries allowed per request, as a ratio over a sliding
            window.
        unconfirmed_keys: Whether a host accepts keys while it can't confirm
            its configuration.
        unconfirmed_after: Age of the last confirmation from which
            `unconfirmed_keys` applies.
        freshness: Age of the last confirmation from which new work waits for
            another one.
        resume_secret: Secret that signs resume tokens, in hexadecimal.
    """

    calls: tuple[CallRule, ...] = ()
    scheduling_scope: str = "region"
    queue_timeout: datetime.timedelta = datetime.timedelta(seconds=0.5)
    max_body_bytes: int = 1_048_576
    retry_budget: float = 0.2
    unconfirmed_keys: UnconfirmedKeys = UnconfirmedKeys.SERVE
    unconfirmed_after: datetime.timedelta = datetime.timedelta(seconds=30)
    freshness: datetime.timedelta = datetime.timedelta(seconds=5)
    resume_secret: str = ""


class Register(NamedTuple):
    """A whole register.

    Attributes:
        availability_zones: Availability zones by name.
        hosts: Entry hosts by name.
        services: Model and plain services by name.
        upstreams: Backend instances by name.
        client_accounts: Client accounts by name.
        rules: Rules that apply to all of these.
    """

    availability_zones: dict[str, AvailabilityZone]
    hosts: dict[str, Host]
    services: dict[str, Service]
    upstreams: dict[str, Upstream]
    client_accounts: dict[str, ClientAccount]
    rules: Rules
