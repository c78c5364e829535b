"""Conditions of the register that involve more than one key or entry.

Conditions of a single key, names that must be unique and references by name
are checked by `checker` from the description in `schema`.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from coltsfootarch import results
from coltsfootarch.config import register as registers

if TYPE_CHECKING:
    from collections.abc import Iterator

# Methods whose calls may be repeated, unless a call rule says otherwise.
SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})


class Violation(NamedTuple):
    """A violated condition; see `checker.Problem` for the attributes."""

    code: results.ResultCode
    table: str
    key: str
    text: str


def check_services(register: registers.Register) -> Iterator[Violation]:
    """Finds services without the name that callers of their kind use.

    A model service needs `model`, a plain service `path_prefix`; neither
    accepts the other's key.
    """
    for service in register.services.values():
        place = f'[[service]] "{service.name}"'
        model = service.kind is registers.ServiceKind.MODEL
        needed, unused = (
            ("model", "path_prefix") if model else ("path_prefix", "model")
        )
        kind = service.kind.value
        if not getattr(service, needed):
            yield Violation(
                results.MISSING_SETTING,
                place,
                needed,
                f'is required with kind = "{kind}"',
            )
        if getattr(service, unused):
            yield Violation(
                results.WRONG_VALUE,
                place,
                unused,
                f'is not accepted with kind = "{kind}"',
            )


def check_upstreams(register: registers.Register) -> Iterator[Violation]:
    """Finds upstreams whose role doesn't fit their service's kind."""
    for upstream in register.upstreams.values():
        service = register.services.get(upstream.service)
        if service is None:
            continue
        plain = service.kind is registers.ServiceKind.PLAIN
        if plain == (upstream.role is registers.UpstreamRole.PLAIN):
            continue
        accepted = '"plain"' if plain else '"prefill" or "decode"'
        yield Violation(
            results.WRONG_VALUE,
            f'[[upstream]] "{upstream.name}"',
            "role",
            f'"{upstream.role.value}" is not accepted, because service '
            f'"{service.name}" has kind = "{service.kind.value}"; accepted: '
            f"{accepted}",
        )


def check_calls(register: registers.Register) -> Iterator[Violation]:
    """Finds call rules for model services and open non-idempotent calls.

    An open call is one that needs no key.
    """
    for index, call in enumerate(register.rules.calls, start=1):
        place = f"[rules] / [[rules.call]] #{index}"
        service = register.services.get(call.service)
        if service and service.kind is not registers.ServiceKind.PLAIN:
            plain = ", ".join(
                sorted(
                    entry.name
                    for entry in register.services.values()
                    if entry.kind is registers.ServiceKind.PLAIN
                )
            )
            yield Violation(
                results.WRONG_VALUE,
                place,
                "service",
                f'"{call.service}" is a model service; accepted: {plain}',
            )
        idempotent = call.idempotent
        if idempotent is None:
            idempotent = call.method in SAFE_METHODS
        if call.open and not idempotent:
            # Idempotency keys are scoped to a client account, which a call
            # without an API key doesn't have.
            yield Violation(
                results.WRONG_VALUE,
                place,
                "open",
                "true is only accepted for an idempotent call; set "
                "idempotent = true if the call may be repeated",
            )


def check_rules(register: registers.Register) -> Iterator[Violation]:
    """Finds contradictory time limits and a missing `resume_secret`."""
    rules = register.rules
    kinds = {service.kind for service in register.services.values()}
    if registers.ServiceKind.MODEL in kinds and not rules.resume_secret:
        yield Violation(
            results.MISSING_SETTING,
            "[rules]",
            "resume_secret",
            "is required with a model service; 64 random hexadecimal digits "
            "are recommended",
        )
    if rules.unconfirmed_after < rules.freshness:
        yield Violation(
            results.WRONG_VALUE,
            "[rules]",
            "unconfirmed_after",
            "must not be shorter than freshness",
        )


def check_zones(register: registers.Register) -> Iterator[Violation]:
    """Finds a register without an availability zone."""
    if not register.availability_zones:
        yield Violation(
            results.MISSING_SETTING,
            "[[availability_zone]]",
            "",
            "at least one entry is required",
        )


CONDITIONS = (
    check_services,
    check_upstreams,
    check_calls,
    check_rules,
    check_zones,
)


def find_violations(register: registers.Register) -> Iterator[Violation]:
    """Yields all violated conditions of a register."""
    for condition in CONDITIONS:
        yield from condition(register)
