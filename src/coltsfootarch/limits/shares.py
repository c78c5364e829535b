"""Divides an account's rate and burst among the availability zones."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from coltsfootarch.config import register as registers


class Share(NamedTuple):
    """One zone's part of an account's limits.

    Attributes:
        rate: Tokens per second.
        burst: Tokens; an integer, so that the shares add up to the burst
            exactly.
    """

    rate: float
    burst: int


def share_of(
    register: registers.Register, account: str, availability_zone: str
) -> Share | None:
    """Returns a zone's share of an account's limits.

    Args:
        register: Register in force.
        account: Client account.
        availability_zone: Zone whose share is returned.

    Returns:
        The share, or None if the account or the zone is not registered.
    """
    client = register.client_accounts.get(account)
    zones = register.availability_zones
    if client is None or availability_zone not in zones:
        return None
    burst, remainder = divmod(client.burst, len(zones))
    index = sum(1 for name in zones if name < availability_zone)
    return Share(client.rate / len(zones), burst + (index < remainder))
