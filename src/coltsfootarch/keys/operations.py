"""Issues and withdraws API keys by committing edits of the register."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from coltsfootarch.config import editor
from coltsfootarch.config import versions
from coltsfootarch.keys import key_format

if TYPE_CHECKING:
    from collections.abc import Callable

    from coltsfootarch.config import repository as repositories

# The edit of one key does not depend on other edits, so after a conflict it is
# repeated on top of the newest version.
COMMIT_ATTEMPTS = 5
ISSUE_ACTION = "key.issue"
WITHDRAW_ACTION = "key.withdraw"


class IssueResult(NamedTuple):
    """Result of issuing a key.

    Attributes:
        issued: The key, whose plaintext is not stored anywhere.
        version: Configuration version that holds it.
    """

    issued: key_format.IssuedKey
    version: int


class KeyManager:
    """Adds and removes keys in the committed register.

    Args:
        repository: Repository of the committed versions.
        author: Name of the operator for the history and the audit trail.
    """

    def __init__(
        self, repository: repositories.ConfigRepository, author: str
    ) -> None:
        self.repository = repository
        self.author = author

    def issue(self, account: str) -> IssueResult:
        """Adds a new key to a client account.

        Raises:
            ConfigurationError: No such account, or the text can't be edited.
            VersionConflictError: Other commits were first in every attempt.
            TableUnavailableError: Nothing was committed.
            TableOutcomeUnknownError: The key may have been added.
        """
        issued = key_format.issue(account)
        version = self.edit(
            lambda document: editor.add_key(document, account, issued.key),
            f"key {issued.key.key_id} of {account}",
            ISSUE_ACTION,
        )
        return IssueResult(issued, version)

    def withdraw(self, key_id: str) -> int:
        """Removes a key and returns the version without it.

        Raises:
            UnknownKeyIdError: No account has the key.
            ConfigurationError: The text can't be edited.
            VersionConflictError: Other commits were first in every attempt.
            TableUnavailableError: Nothing was committed.
            TableOutcomeUnknownError: The key may have been removed.
        """
        return self.edit(
            lambda document: editor.remove_key(document, key_id),
            f"key {key_id}",
            WITHDRAW_ACTION,
        )

    def edit(
        self, change: Callable[[str], str], comment: str, action: str
    ) -> int:
        """Commits a change of the newest document.

        Args:
            change: Returns the changed TOML text for the committed one; called
                again after a conflict.
            comment: Reason for the change, for the history.
            action: Action in the audit trail.

        Returns:
            The committed version.
        """
        attempts_left = COMMIT_ATTEMPTS
        while True:
            head = self.repository.head()
            document = self.repository.read(head).document
            changed = change(document)
            attempts_left -= 1
            try:
                stored = self.repository.commit(
                    changed, self.author, comment, head, action
                )
            except versions.VersionConflictError:
                if not attempts_left:
                    raise
            else:
                return stored.version
