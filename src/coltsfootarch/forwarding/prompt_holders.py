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
from gevent import lock

from coltsfootarch.fleet import upstreams
from coltsfootarch.http1 import client
from coltsfootarch.http1 import messages
from coltsfootarch.scheduling import engine_placement

if TYPE_CHECKING:
    from collections.abc import Callable

    from coltsfootarch import clock as clocks
    from coltsfootarch.forwarding import calls

CALL_TIMEOUT_S = 0.3
MAX_LIST_BYTES = 1_000_000
# Interval of the rounds in which this host asks all engines of a service: at
# least so many seconds, and so many for each host of the fleet, since all of
# them may ask at once.
MIN_INTERVAL_S = 0.5
INTERVAL_PER_HOST_S = 0.02
# Longest wait for the next round, in seconds.
MAX_PAUSE_S = 1.0

logger = structlog.get_logger(__name__)


class Round(NamedTuple):
    """Answers of all decode engines of a service.

    Attributes:
        started_at: Instant at which the engines were asked, in seconds.
        engines: The engines by name; see `name_of`.
        parts: Ids of the parts that an engine holds, by its name; None if it
            may hold any.
    """

    started_at: float
    engines: dict[str, upstreams.Upstream]
    parts: dict[str, frozenset[str] | None]


class PromptHolders:
    """Asks decode engines which parts of prompts they hold.

    Args:
        directory: Registered upstreams.
        wire: Wire format of upstreams.
        clock: Source of time.
        host_count: Returns the number of hosts that may be serving.

    Attributes:
        rounds: Last round by service.
    """

    def __init__(
        self,
        directory: upstreams.UpstreamDirectory,
        wire: calls.UpstreamProtocol,
        clock: clocks.Clock,
        host_count: Callable[[], int] = lambda: 1,
    ) -> None:
        self.directory = directory
        self.wire = wire
        self.clock = clock
        self.host_count = host_count
        self.rounds: dict[str, Round] = {}
        self.round_lock = lock.BoundedSemaphore()

    def versions(self, service: str, part: str) -> set[str]:
        """Returns the versions of the decode engines that may hold a part.

        The engines are asked after this call: a prompt of the same session may
        have been read at another version since an earlier round.

        Args:
            service: Name of the service.
            part: Id of the part.

        Returns:
            No version if no engine has stated that it holds the part.
        """
        answers = self.ask_all(service)
        if answers is None or not any(
            held is not None and part in held for held in answers.parts.values()
        ):
            return set()
        return {
            answers.engines[name].version
            for name, held in answers.parts.items()
            if held is None or part in held
        }

    def ask_all(self, service: str) -> Round | None:
        """Asks all engines of a service; concurrent calls share a round.

        Returns:
            A round that began after this call; None if that would be too late.
        """
        called_at = self.clock.monotonic()
        with self.round_lock:
            last = self.rounds.get(service)
            if last is not None and last.started_at >= called_at:
                return last
            if last is not None:
                interval_s = max(
                    MIN_INTERVAL_S, INTERVAL_PER_HOST_S * self.host_count()
                )
                pause_s = last.started_at + interval_s - self.clock.monotonic()
                if pause_s > MAX_PAUSE_S:
                    return None
                gevent.sleep(max(pause_s, 0.0))
            engines = {
                name_of(upstream): upstream
                for upstream in self.directory.upstreams.values()
                if upstream.service == service
                and engine_placement.stage_of(upstream)
                is upstreams.Stage.DECODE
            }
            started_at = self.clock.monotonic()
            asked = {
                name: gevent.spawn(self.ask, engine)
                for name, engine in engines.items()
            }
            gevent.joinall(asked.values())
            parts = {name: greenlet.value for name, greenlet in asked.items()}
            answers = self.rounds[service] = Round(started_at, engines, parts)
            return answers

    def ask(self, engine: upstreams.Upstream) -> frozenset[str] | None:
        """Asks one engine.

        Returns:
            Ids of the parts that it holds: none if it accepts no connection,
            as one that has crashed; None if it doesn't answer.
        """
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
            is_refused = isinstance(error.__cause__, ConnectionRefusedError)
            return frozenset() if is_refused else None
        finally:
            connection.close()
        return self.wire.decode_held_parts(bytes(body))


def name_of(engine: upstreams.Upstream) -> str:
    """Returns the name of an engine's incarnation."""
    return engine.incarnation or engine.id
