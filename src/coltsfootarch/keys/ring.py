"""The valid keys of one register."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from coltsfootarch import errors
from coltsfootarch import results
from coltsfootarch.config import register as registers
from coltsfootarch.keys import format as formats

if TYPE_CHECKING:
    from collections.abc import Mapping

SCHEME = "bearer"

# Compared for unknown key ids, so that the time doesn't tell them apart.
UNKNOWN_KEY = registers.Key("unknown", "00" * 16, "0" * 64)


class Caller(NamedTuple):
    """Who sent a request.

    Attributes:
        account: Client account.
        key_id: Public part of the key.
    """

    account: str
    key_id: str


class KeyRing:
    """Finds the client account of a key.

    Args:
        register: A checked register.
    """

    def __init__(self, register: registers.Register) -> None:
        self.keys_by_id: Mapping[str, tuple[str, registers.Key]] = {
            key.key_id: (account.name, key)
            for account in register.client_accounts.values()
            for key in account.keys
        }

    def authenticate(self, header: str | None) -> Caller:
        """Returns the caller that an `Authorization` header stands for.

        Args:
            header: Value of the header; None if there is none.

        Raises:
            RefusedError: Code MISSING_KEY or INVALID_KEY.
        """
        scheme, _, credentials = (header or "").strip().partition(" ")
        if scheme.lower() != SCHEME or not credentials.strip():
            raise errors.RefusedError(results.MISSING_KEY)
        parsed = formats.parse(credentials.strip())
        if parsed is None:
            raise errors.RefusedError(results.INVALID_KEY)
        account, key = self.keys_by_id.get(parsed.key_id, ("", UNKNOWN_KEY))
        # The empty account is that of no key, whatever the comparison says.
        if not formats.is_match(key, parsed.secret) or not account:
            raise errors.RefusedError(results.INVALID_KEY)
        return Caller(account, key.key_id)

    def is_valid(self, key_id: str) -> bool:
        """Returns whether a key is still in the register."""
        return key_id in self.keys_by_id
