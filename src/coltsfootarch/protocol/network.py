"""Interface of the network between gateway hosts."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple
from typing import Protocol
from typing import TypeAlias

from coltsfootarch.protocol import messages

if TYPE_CHECKING:
    import datetime

# Any message of `messages`. NamedTuple classes have no common base class that
# could be used as the type.
Message: TypeAlias = Any

Handler: TypeAlias = Callable[[messages.Sender, Message], Message | None]


class Registration(NamedTuple):
    """A handler registered for one message type.

    Attributes:
        handler: Called with sender and message; its result is the answer, or
            None for no answer.
        blocking: Whether the handler may wait and therefore needs a greenlet
            of its own.
    """

    handler: Handler
    blocking: bool


class PeerNetwork(Protocol):
    """Sends messages to other hosts by address ("ip:port")."""

    def send(self, address: str, message: Message) -> None:
        """Sends a message without waiting for an answer; it may be lost."""

    def request(
        self, address: str, message: Message, timeout: datetime.timedelta
    ) -> Message:
        """Sends a message and waits for the answer.

        Raises:
            PeerTimeoutError: No answer within `timeout`; the peer may still
                have handled the message.
        """

    def probe(
        self, address: str, message: Message, timeout: datetime.timedelta
    ) -> Message:
        """Like `request`, on a new connection that is closed afterwards.

        Raises:
            PeerTimeoutError: No answer within `timeout`.
        """

    def register(
        self, message_type: type, handler: Handler, blocking: bool = False
    ) -> None:
        """Sets the handler for a message type."""
