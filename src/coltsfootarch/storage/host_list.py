"""Interface of the platform's list of live and leaving addresses."""

from __future__ import annotations

from typing import NamedTuple
from typing import Protocol


class HostListSnapshot(NamedTuple):
    """The list as it was some seconds ago.

    It is a hint only: it never proves that a process runs or has ended.

    Attributes:
        live: Addresses ("ip:port") of running hosts and upstreams.
        leaving: Addresses ("ip:port") that the platform is about to remove.
    """

    live: frozenset[str]
    leaving: frozenset[str]


class HostList(Protocol):
    """Reads the platform's list of hosts and upstreams."""

    def fetch(self) -> HostListSnapshot:
        """Returns the current list.

        Raises:
            HostListUnavailableError: The platform did not answer.
        """
