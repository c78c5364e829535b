"""Keyring: the valid API keys of one register."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from coltsfootarch import errors
from coltsfootarch import results
from coltsfootarch.config import register as registers
from coltsfootarch.keys import key_format

if TYPE_CHECKING:
    from collections.abc import Mapping

SCHEME = "bearer"

# The secret is compared with this key if the key id is unknown, so that the
# response time doesn't reveal which key ids exist.
UNKNOWN_KEY = registers.Key("unknown", "00" * 16, "0" * 64)


class Caller(NamedTuple):
    """The authenticated sender of a request.

    Attributes:
        account: Client account.
        key_id: Public part of the key.
    """

    account: str
    key_id: str


class Keyring:
    """Authenticates callers with the keys of one register.

    Args:
        register: A checked register.

    Attributes:
        keys_by_id: Name of the client account and key, by key id.
    """

    def __init__(self, register: registers.Register) -> None:
        self.keys_by_id: Mapping[str, tuple[str, registers.Key]] = {
            key.key_id: (account.name, key)
            for account in register.client_accounts.values()
            for key in account.keys
        }

    def authenticate(self, header: str | None) -> Caller:
        """Returns the caller that an `Authorization` header identifies.

        Args:
            header: Value of the header; None if there is none.

        Raises:
            RefusedError: Code MISSING_KEY or INVALID_KEY.
        """
        scheme, _, credentials = (header or "").strip().partition(" ")
        if scheme.lower() != SCHEME or not credentials.strip():
            raise errors.RefusedError(results.MISSING_KEY)
        parsed = key_format.parse(credentials.strip())
        if parsed is None:
            raise errors.RefusedError(results.INVALID_KEY)
        account, key = self.keys_by_id.get(parsed.key_id, ("", UNKNOWN_KEY))
        # An empty account means an unknown key id, which is refused even if
        # the comparison with `UNKNOWN_KEY` succeeds.
        if not key_format.is_match(key, parsed.secret) or not account:
            raise errors.RefusedError(results.INVALID_KEY)
        return Caller(account, key.key_id)

    def is_valid(self, key_id: str) -> bool:
        """Returns whether the register has a key with this id."""
        return key_id in self.keys_by_id
