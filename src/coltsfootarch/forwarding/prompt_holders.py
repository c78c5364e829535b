"""Finds the engines that hold a prompt in memory, as they say themselves.

It is the last resort for a stream that is taken up after its record was lost
together with the memory of all hosts: the engine that ran it still holds the
prompt's own part.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

import gevent
import structlog

from coltsfootarch.fleet import upstreams
from coltsfootarch.http1 import client
from coltsfootarch.http1 import messages
from coltsfootarch.scheduling import engine_placement

if TYPE_CHECKING:
    from collections.abc import Iterable

    from coltsfootarch import clock as clocks
    from coltsfootarch.forwarding import calls

CALL_TIMEOUT_S = 0.3
MAX_LIST_BYTES = 1_000_000
# Time for which a list is used. Streams whose records were lost began before
# this host started, so that a list needn't be recent.
LIST_VALIDITY_S = 5.0

logger = structlog.get_logger(__name__)


class HeldParts(NamedTuple):
    """Parts of prompts that an engine held at an instant.

    Attributes:
        parts: Ids of the parts; empty if the engine didn't answer.
        at: The instant, in seconds.
    """

    parts: frozenset[str]
    at: float


class PromptHolders:
    """Asks decode engines which parts of prompts they hold.

    Args:
        directory: Registered upstreams.
        wire: Wire format of upstreams.
        clock: Source of time.

    Attributes:
        held: Lists by the incarnation of an engine.
    """

    def __init__(
        self,
        directory: upstreams.UpstreamDirectory,
        wire: calls.UpstreamProtocol,
        clock: clocks.Clock,
    ) -> None:
        self.directory = directory
        self.wire = wire
        self.clock = clock
        self.held: dict[str, HeldParts] = {}

    def versions(self, service: str, part: str) -> set[str]:
        """Returns the versions of the decode engines that hold a part.

        Args:
            service: Name of the service.
            part: Id of the part.
        """
        engines = [
            upstream
            for upstream in self.directory.upstreams.values()
            if upstream.service == service
            and engine_placement.stage_of(upstream) is upstreams.Stage.DECODE
        ]
        self.refresh(engines)
        return {
            engine.version
            for engine in engines
            if part in self.held[name_of(engine)].parts
        }

    def refresh(self, engines: Iterable[upstreams.Upstream]) -> None:
        """Asks the engines whose list is missing or too old, all at once."""
        now = self.clock.monotonic()
        self.held = {
            name: held
            for name, held in self.held.items()
            if now - held.at < LIST_VALIDITY_S
        }
        missing = [each for each in engines if name_of(each) not in self.held]
        for engine in missing:
            # Other take-ups meanwhile wait for the same answers.
            self.held[name_of(engine)] = HeldParts(frozenset(), now)
        asked = [gevent.spawn(self.ask, engine) for engine in missing]
        gevent.joinall(asked)

    def ask(self, engine: upstreams.Upstream) -> None:
        """Asks one engine; a failure leaves an empty list."""
        connection = client.Connection(engine.address, self.clock)
        body = bytearray()
        try:
            connection.start(CALL_TIMEOUT_S)
            connection.send(
                self.wire.encode_held_parts(engine), b"", CALL_TIMEOUT_S
            )
            head = connection.read_part(CALL_TIMEOUT_S)
            if not isinstance(head, messages.ResponseHead):
                raise client.BrokenConnectionError("no response head")
            if head.status != 200:
                raise client.BrokenConnectionError(f"status {head.status}")
            while len(body) <= MAX_LIST_BYTES:
                part = connection.read_part(CALL_TIMEOUT_S)
                if not isinstance(part, bytes):
                    break
                body += part
        except (
            client.ConnectError,
            client.BrokenConnectionError,
            client.ResponseTimeoutError,
        ) as error:
            logger.info(
                "held parts not read", upstream=engine.id, reason=str(error)
            )
            return
        finally:
            connection.close()
        self.held[name_of(engine)] = HeldParts(
            self.wire.decode_held_parts(bytes(body)), self.clock.monotonic()
        )


def name_of(engine: upstreams.Upstream) -> str:
    """Returns the name of an engine's incarnation."""
    return engine.incarnation or engine.id
