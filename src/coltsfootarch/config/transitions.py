"""Checks an edit of the register against the version that it replaces."""

from __future__ import annotations

from typing import TYPE_CHECKING

from coltsfootarch import errors
from coltsfootarch import results

if TYPE_CHECKING:
    from coltsfootarch.config import register as registers


def check(before: registers.Register, after: registers.Register) -> None:
    """Refuses an edit that can't take effect while hosts run.

    Hosts apply an edit one after the other. While two numbers of shards are
    in use, an account would have two home hosts and so get twice its share of
    the rate.

    Args:
        before: Register of the version that the edit is based on.
        after: Register of the edit.

    Raises:
        ConfigurationError: The number of shards of a zone has changed.
    """
    for name, zone in after.availability_zones.items():
        earlier = before.availability_zones.get(name)
        if earlier is not None and earlier.shards != zone.shards:
            raise errors.ConfigurationError(
                f"[[availability_zone]] {name}: shards can't change from "
                f"{earlier.shards} to {zone.shards} while hosts run; add a "
                "zone under another name instead",
                results.WRONG_VALUE,
            )
