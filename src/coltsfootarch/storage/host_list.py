"""Interface of the platform's list of live and leaving machines."""

from __future__ import annotations

from typing import NamedTuple
from typing import Protocol


class HostListSnapshot(NamedTuple):
    """The list of some seconds ago; a hint, never proof of life or death.

    Attributes:
        live: Addresses ("ip:port") of running hosts and upstreams.
        leaving: Addresses that the platform is about to take away.
    """

    live: frozenset[str]
    leaving: frozenset[str]


class HostList(Protocol):
    """Reads the platform's list."""

    def fetch(self) -> HostListSnapshot:
        """Returns the current list.

        Raises:
            HostListUnavailableError: The platform did not answer.
        """
