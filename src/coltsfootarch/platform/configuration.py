"""Decodes the configuration in the platform's store into a policy."""

from __future__ import annotations

from typing import Any

from coltsfootarch.fleet import policy
from coltsfootarch.platform import decoding

# A route's `kind` says whether and how its requests may be repeated, not what
# they are.
REPEAT_BY_KIND = {
    "idempotent": policy.Repeat.IDEMPOTENT,
    "non_idempotent": policy.Repeat.NON_IDEMPOTENT,
    "streaming": policy.Repeat.STREAM,
}
DEFAULT_LIMITS = policy.CallerLimits()


def decode(value: bytes) -> policy.Policy:
    """Returns the policy of a stored configuration.

    Raises:
        decoding.UnreadableDocumentError: The configuration is invalid; the
            policy in force must stay in use.
    """
    document = decoding.decode_object(value)
    return policy.Policy(
        int(decoding.number(document, "version")),
        tuple(map(decode_route, decoding.objects(document, "routes"))),
        tuple(map(decode_service, decoding.objects(document, "services"))),
        tuple(map(decode_account, decoding.objects(document, "tenants"))),
        decode_limits(document.get("limits")),
    )


def decode_route(entry: dict[str, Any]) -> policy.Route:
    """Returns the route of an entry of `routes`."""
    kind = decoding.string(entry, "kind")
    if kind not in REPEAT_BY_KIND:
        raise decoding.UnreadableDocumentError(
            f"kind {kind!r} of route {entry.get('name')!r} is not accepted; "
            f"accepted: {', '.join(REPEAT_BY_KIND)}"
        )
    return policy.Route(
        name=decoding.string(entry, "name"),
        host=decoding.string(entry, "host").lower(),
        prefix=decoding.string(entry, "path_prefix"),
        repeat=REPEAT_BY_KIND[kind],
        timeout_s=decoding.seconds(entry, "timeout_ms"),
        objective_s=decoding.seconds(entry, "target_latency_ms", 1.0),
        priority=int(decoding.number(entry, "priority", 5)),
        targets=decode_targets(entry),
        max_attempts=max(int(decoding.number(entry, "max_attempts", 1)), 1),
        public=decoding.boolean(entry, "public"),
        resumable=decoding.boolean(entry, "resumable"),
        event_gap_s=decoding.seconds(entry, "gap_target_ms", 0.0),
    )


def decode_targets(entry: dict[str, Any]) -> tuple[policy.Target, ...]:
    """Returns the services of a route and their weights.

    A route has either `weighted_services` or one `service`, whose weight is 1.
    """
    weighted = decoding.objects(entry, "weighted_services")
    if not weighted:
        return (policy.Target(decoding.string(entry, "service"), 1.0),)
    return tuple(
        policy.Target(
            decoding.string(target, "service"),
            decoding.number(target, "weight"),
        )
        for target in weighted
    )


def decode_service(entry: dict[str, Any]) -> policy.Service:
    """Returns the service of an entry of `services`."""
    engine = entry.get("engine")
    return policy.Service(
        decoding.string(entry, "name"),
        int(decoding.number(entry, "max_connections", 100)),
        decode_engine_limits(engine) if isinstance(engine, dict) else None,
    )


def decode_engine_limits(entry: dict[str, Any]) -> policy.EngineLimits:
    """Returns the capacity and the time limits of a service's engines."""
    return policy.EngineLimits(
        slots=int(decoding.number(entry, "slots", 1)),
        memory_tokens=int(decoding.number(entry, "kv_capacity_tokens", 0)),
        token_bytes=int(decoding.number(entry, "kv_token_bytes", 0)),
        # `kv_hold_s` is the lifetime of prefill results, in seconds, and
        # `hold_ms` that of reservations, in milliseconds.
        prefill_result_lifetime_s=decoding.number(entry, "kv_hold_s", 0.5),
        reservation_s=decoding.seconds(entry, "hold_ms", 0.0),
    )


def decode_account(entry: dict[str, Any]) -> policy.ClientAccount:
    """Returns the client account of an entry of `tenants`."""
    priority = entry.get("priority")
    return policy.ClientAccount(
        name=decoding.string(entry, "name"),
        keys=frozenset(decoding.strings(entry, "api_keys")),
        rate=decoding.number(entry, "rate_per_s", 0.0),
        burst=decoding.number(entry, "burst", 0.0),
        priority=priority if isinstance(priority, int) else None,
        default_tokens=int(decoding.number(entry, "plain_tokens", 1)),
    )


def decode_limits(entry: Any) -> policy.CallerLimits:
    """Returns the limits for callers; defaults if `limits` is no object."""
    if not isinstance(entry, dict):
        return DEFAULT_LIMITS
    base = DEFAULT_LIMITS
    return policy.CallerLimits(
        int(decoding.number(entry, "max_header_bytes", base.header_bytes)),
        int(decoding.number(entry, "max_body_bytes", base.body_bytes)),
        decoding.seconds(entry, "header_timeout_ms", base.header_timeout_s),
        decoding.seconds(entry, "idle_timeout_ms", base.idle_timeout_s),
    )
