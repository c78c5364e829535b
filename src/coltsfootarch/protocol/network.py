"""Interface of the network between hosts."""

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

# A message of `messages`; NamedTuple has no common base class to name here.
Message: TypeAlias = Any

Handler: TypeAlias = Callable[[messages.Sender, Message], Message | None]


class Registration(NamedTuple):
    """A handler of one message type.

    Attributes:
        handler: Called with sender and message; its result is the answer.
        blocking: Whether the handler may wait and so needs a greenlet of its
            own.
    """

    handler: Handler
    blocking: bool


class PeerNetwork(Protocol):
    """Sends messages to other hosts by address ("ip:port")."""

    def send(self, address: str, message: Message) -> None:
        """Sends without an answer; the message may be lost."""

    def request(
        self, address: str, message: Message, timeout: datetime.timedelta
    ) -> Message:
        """Sends and waits for the answer.

        Raises:
            PeerTimeoutError: No answer within `timeout`; the peer may have
                handled the message.
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
