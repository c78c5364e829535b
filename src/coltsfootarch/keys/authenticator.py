"""Authenticates callers with the configuration in force on this host."""

from __future__ import annotations

from typing import TYPE_CHECKING

from coltsfootarch import errors
from coltsfootarch import results
from coltsfootarch.config import register as registers
from coltsfootarch.keys import keyring as keyrings

if TYPE_CHECKING:
    from coltsfootarch.config import tracker as trackers


class Authenticator:
    """Authenticates each request with the newest register known.

    Args:
        tracker: Tracker of the configuration in force on this host.
    """

    def __init__(self, tracker: trackers.ConfigTracker) -> None:
        self.tracker = tracker
        self.register: registers.Register | None = None
        self.keyring: keyrings.Keyring | None = None

    def authenticate(self, header: str | None) -> keyrings.Caller:
        """Returns the caller of a request.

        Confirms the configuration first if its last confirmation is too old;
        this may wait for the table service or a peer.

        Args:
            header: Value of the `Authorization` header; None if there is none.

        Raises:
            RefusedError: Code MISSING_KEY, INVALID_KEY, KEY_UNCONFIRMED or
                NO_CONFIGURATION.
        """
        self.tracker.ensure_fresh()
        keyring = self.current_keyring()
        if not self.is_confirmed():
            raise errors.RefusedError(results.KEY_UNCONFIRMED)
        return keyring.authenticate(header)

    def is_valid(self, key_id: str) -> bool:
        """Returns whether the key of a request in progress is still valid.

        Does not confirm the configuration.
        """
        return self.current_keyring().is_valid(key_id)

    def is_confirmed(self) -> bool:
        """Returns whether the rules allow keys to be accepted now.

        With `unconfirmed_keys = "refuse"` they don't once the last
        confirmation is older than `unconfirmed_after`.
        """
        rules = self.tracker.register.rules
        if rules.unconfirmed_keys is registers.UnconfirmedKeys.SERVE:
            return True
        age = self.tracker.confirmed_age()
        return 0 <= age <= rules.unconfirmed_after.total_seconds()

    def current_keyring(self) -> keyrings.Keyring:
        """Returns the keyring of the register in force, which is cached."""
        register = self.tracker.register
        if self.keyring is None or self.register is not register:
            self.keyring = keyrings.Keyring(register)
            self.register = register
        return self.keyring
