"""HTTP client of model engines; see `docs/upstream-protocol.md`."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING
from typing import TypeVar

import msgspec

from coltsfootarch import clock as clocks
from coltsfootarch import errors
from coltsfootarch.upstreams import connection
from coltsfootarch.upstreams import engine
from coltsfootarch.upstreams import engine_wire
from coltsfootarch.upstreams import event_stream

if TYPE_CHECKING:
    import datetime
    from collections.abc import Generator
    from collections.abc import Iterator

HTTP_OK = 200
HTTP_CONFLICT = 409
HEADERS = {"Content-Type": "application/json"}

_Document = TypeVar("_Document")


class HttpEngineClient:
    """`engine.EngineClient` over HTTP.

    Each call uses a new connection, so that a connection that stopped
    delivering data never delays a later call. The generators connect when
    the first event is requested; closing a generator closes its connection.

    Args:
        connect_timeout: Limit for establishing a connection.
        progress_timeout: Maximum time between events of a stream, and limit
            for the whole response of a call without a stream.
        clock: Source of time; the system clock by default.
    """

    def __init__(
        self,
        connect_timeout: datetime.timedelta,
        progress_timeout: datetime.timedelta,
        clock: clocks.Clock | None = None,
    ) -> None:
        self.connect_timeout = connect_timeout
        self.progress_timeout = progress_timeout
        self.clock = clock or clocks.SystemClock()

    def prefill(
        self, address: str, request: engine.EngineRequest
    ) -> engine.PrefillResult:
        """Runs the prefill and exports its KV cache.

        Raises:
            UpstreamConnectError: Nothing was sent.
            UpstreamTimeoutError: No progress event was received in time.
            UpstreamRefusedError: The engine refused or ended the request.
            UpstreamError: Any other failure.
        """
        events = self.events(
            address, "/v1/prefill", request._asdict(), request.request_id
        )
        with contextlib.closing(events):
            for event in events:
                check_attempt(event, request.attempt)
                if event.event == "exported":
                    return prefill_result(event)
        raise errors.UpstreamError(
            "the engine ended a prefill without a result"
        )

    def decode(
        self,
        address: str,
        request: engine.EngineRequest,
        source: engine.PrefillResult,
    ) -> Iterator[engine.TokenEvent]:
        """Imports the KV cache and streams from `request.first_offset` on.

        Raises:
            UpstreamConnectError: Nothing was sent.
            UpstreamTimeoutError: No event was received in time; the connection
                is closed and the answer can be resumed.
            UpstreamRefusedError: The engine refused or ended the request.
            UpstreamError: Any other failure.
        """
        body: dict[str, object] = {
            "mode": "start",
            **request._asdict(),
            "source": {"handle": source.handle, "address": source.address},
        }
        events = self.events(address, "/v1/decode", body, request.request_id)
        return read_tokens(events, request.attempt, request.first_offset)

    def resume(
        self, address: str, request_id: str, offset: int
    ) -> Iterator[engine.TokenEvent]:
        """Streams a running answer from `offset` on, over a new connection.

        All events of the stream must have the attempt of the first one.

        Raises:
            UpstreamConnectError: Nothing was sent.
            UpstreamTimeoutError: No event was received in time.
            UpstreamRefusedError: The engine does not know the request.
            UpstreamError: Any other failure.
        """
        body: dict[str, object] = {
            "mode": "resume",
            "request_id": request_id,
            "offset": offset,
        }
        events = self.events(address, "/v1/decode", body, request_id)
        return read_tokens(events, None, offset)

    def cancel(self, address: str, request_id: str) -> None:
        """Ends a request and frees its memory; ignores an unknown request."""
        self.call(address, "POST", "/v1/cancel", {"request_id": request_id})

    def requests(self, address: str) -> list[engine.EngineEntry]:
        """Returns the requests that hold engine memory."""
        data = self.call(address, "GET", "/v1/requests")
        answer = engine_wire.decode(data, engine_wire.EntriesAnswer)
        return [engine.EngineEntry(**entry) for entry in answer["requests"]]

    def load(self, address: str) -> engine.LoadReport:
        """Returns the engine's last load report."""
        data = self.call(address, "GET", "/v1/load")
        answer = engine_wire.decode(data, engine_wire.LoadAnswer)
        return engine.LoadReport(**answer)

    def cache_events(self, address: str, after: int) -> list[engine.CacheEvent]:
        """Returns the cache events numbered above `after`, oldest first."""
        data = self.call(address, "GET", f"/v1/cache-events?after={after}")
        answer = engine_wire.decode(data, engine_wire.CacheEventsAnswer)
        return [
            engine.CacheEvent(
                event["sequence"],
                tuple(event["stored"]),
                tuple(event["evicted"]),
            )
            for event in answer["events"]
        ]

    def order(self, address: str, order: engine.Order) -> None:
        """Sends an order.

        Raises:
            StaleOrderError: The engine has seen a higher fencing number.
        """
        try:
            self.call(address, "POST", "/v1/orders", order._asdict())
        except errors.UpstreamRefusedError as error:
            if (
                error.status == HTTP_CONFLICT
                and error.reason == "stale-fencing"
            ):
                raise errors.StaleOrderError(
                    f"engine {address} has seen a higher fencing number"
                ) from error
            raise

    def call(
        self,
        address: str,
        method: str,
        path: str,
        body: dict[str, object] | None = None,
    ) -> bytes:
        """Sends a request and returns the body of its response.

        Raises:
            UpstreamRefusedError: The status is not 200.
            UpstreamError: The connection failed.
        """
        upstream = connection.UpstreamConnection(address, self.connect_timeout)
        with contextlib.closing(upstream):
            deadline = connection.Deadline(self.clock, self.progress_timeout)
            encoded = None if body is None else msgspec.json.encode(body)
            response = upstream.send(method, path, HEADERS, encoded, deadline)
            data = upstream.read_all(deadline)
            if response.status != HTTP_OK:
                raise refusal(address, response.status, data)
            return data

    def events(
        self,
        address: str,
        path: str,
        body: dict[str, object],
        request_id: str,
    ) -> Generator[event_stream.ServerSentEvent, None, None]:
        """Sends a request and yields the events of its response.

        Raises:
            UpstreamRefusedError: The engine refused or ended the request.
            UpstreamError: The connection failed, or an event belongs to another
                request.
        """
        upstream = connection.UpstreamConnection(address, self.connect_timeout)
        with contextlib.closing(upstream):
            deadline = connection.Deadline(self.clock, self.progress_timeout)
            response = upstream.send(
                "POST", path, HEADERS, msgspec.json.encode(body), deadline
            )
            if response.status != HTTP_OK:
                data = upstream.read_all(deadline)
                raise refusal(address, response.status, data)
            for event in event_stream.read_events(upstream, deadline):
                identity = engine_wire.decode(event.data, engine_wire.Identity)
                if identity["request_id"] != request_id:
                    raise errors.UpstreamError(
                        f"engine {address} answered another request"
                    )
                if event.event == "error":
                    raise stream_error(address, event)
                yield event


def read_tokens(
    events: Generator[event_stream.ServerSentEvent, None, None],
    attempt: int | None,
    next_offset: int,
) -> Iterator[engine.TokenEvent]:
    """Yields the token events from `next_offset` on.

    Args:
        events: Events of a decode; closed at the end.
        attempt: Expected attempt; None to accept that of the first event.
        next_offset: Expected offset of the first token.

    Raises:
        UpstreamError: An event has another attempt or a wrong offset, or the
            stream ended before its last token.
    """
    with contextlib.closing(events):
        for event in events:
            attempt = check_attempt(event, attempt)
            if event.event != "tokens":
                continue
            data = engine_wire.decode(event.data, engine_wire.TokensData)
            if data["offset"] != next_offset:
                raise errors.UpstreamError(
                    f"an engine continued at offset {data['offset']} "
                    f"instead of {next_offset}"
                )
            next_offset += data["tokens"]
            yield engine.TokenEvent(**data)
            if data["finished"]:
                return
    raise errors.UpstreamError("an engine ended a stream before its last token")


def check_attempt(
    event: event_stream.ServerSentEvent, attempt: int | None
) -> int:
    """Returns the event's attempt after comparing it with the expected one.

    Raises:
        UpstreamError: The event belongs to another attempt.
    """
    identity = engine_wire.decode(event.data, engine_wire.Identity)
    if attempt is not None and identity["attempt"] != attempt:
        raise errors.UpstreamError("an engine answered another attempt")
    return identity["attempt"]


def prefill_result(
    event: event_stream.ServerSentEvent,
) -> engine.PrefillResult:
    """Returns the exported KV cache that an event describes."""
    data = engine_wire.decode(event.data, engine_wire.ExportedData)
    return engine.PrefillResult(
        data["handle"],
        data["address"],
        data["prompt_tokens"],
        data["cached_tokens"],
        data["lifetime"],
    )


def refusal(
    address: str, status: int, body: bytes
) -> errors.UpstreamRefusedError:
    """Returns the error for a response with an error status."""
    try:
        reason = msgspec.json.decode(body, type=engine_wire.ErrorAnswer)
    except msgspec.DecodeError:
        return errors.UpstreamRefusedError(address, status, "unknown")
    return errors.UpstreamRefusedError(address, status, reason["error"])


def stream_error(
    address: str, event: event_stream.ServerSentEvent
) -> errors.UpstreamRefusedError:
    """Returns the error for a stream that ended with an error event."""
    data = engine_wire.decode(event.data, engine_wire.ErrorData)
    return errors.UpstreamRefusedError(address, data["status"], data["error"])
