"""HTTP client of model engines; see `docs/upstream-protocol.md`."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING
from typing import TypeVar

import msgspec

from coltsfootarch import clock as clock_module
from coltsfootarch import errors
from coltsfootarch.upstreams import connection
from coltsfootarch.upstreams import engine
from coltsfootarch.upstreams import engine_wire
from coltsfootarch.upstreams import event_stream

if TYPE_CHECKING:
    import datetime
    from collections.abc import Generator
    from collections.abc import Iterator

OK = 200
CONFLICT = 409
HEADERS = {"Content-Type": "application/json"}

_Document = TypeVar("_Document")


class HttpEngineClient:
    """`engine.EngineClient` over HTTP.

    Each call has its own connection, so that a connection that stopped
    delivering data never holds up a later call. The generators connect when
    the first event is taken; closing one closes its connection.

    Args:
        connect_timeout: Limit for a connect.
        progress_timeout: Longest time without an event in a stream, and limit
            for the answer of a call that is no stream.
        clock: Source of time; that of the operating system when not given.
    """

    def __init__(
        self,
        connect_timeout: datetime.timedelta,
        progress_timeout: datetime.timedelta,
        clock: clock_module.Clock | None = None,
    ) -> None:
        self.connect_timeout = connect_timeout
        self.progress_timeout = progress_timeout
        self.clock = clock or clock_module.SystemClock()

    def prefill(
        self, address: str, request: engine.EngineRequest
    ) -> engine.PrefillResult:
        """Runs the prefill and exports its KV cache.

        Raises:
            UpstreamConnectError: Nothing was sent.
            UpstreamTimeoutError: No progress event came in time.
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
        raise errors.UpstreamError("the engine ended a prefill without result")

    def decode(
        self,
        address: str,
        request: engine.EngineRequest,
        source: engine.PrefillResult,
    ) -> Iterator[engine.TokenEvent]:
        """Imports the KV cache and streams from `request.first_offset` on.

        Raises:
            UpstreamConnectError: Nothing was sent.
            UpstreamTimeoutError: No event came in time; the connection is
                closed and the answer can be resumed.
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

        The first event fixes the attempt for the rest of the stream.

        Raises:
            UpstreamConnectError: Nothing was sent.
            UpstreamTimeoutError: No event came in time.
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
        """Frees the request's memory; an unknown request is no error."""
        self.call(address, "POST", "/v1/cancel", {"request_id": request_id})

    def requests(self, address: str) -> list[engine.EngineEntry]:
        """Returns the requests that hold memory."""
        data = self.call(address, "GET", "/v1/requests")
        answer = engine_wire.decode(data, engine_wire.EntriesAnswer)
        return [engine.EngineEntry(**entry) for entry in answer["requests"]]

    def load(self, address: str) -> engine.LoadReport:
        """Returns the engine's last load report."""
        data = self.call(address, "GET", "/v1/load")
        answer = engine_wire.decode(data, engine_wire.LoadAnswer)
        return engine.LoadReport(**answer)

    def cache_events(self, address: str, after: int) -> list[engine.CacheEvent]:
        """Returns cache events numbered above `after`, oldest first."""
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
        """Gives an order.

        Raises:
            StaleOrderError: The engine has seen a higher fencing number.
        """
        try:
            self.call(address, "POST", "/v1/orders", order._asdict())
        except errors.UpstreamRefusedError as error:
            if error.status == CONFLICT and error.reason == "stale-fencing":
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
        """Returns the body of an answer.

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
            if response.status != OK:
                raise refusal(address, response.status, data)
            return data

    def events(
        self,
        address: str,
        path: str,
        body: dict[str, object],
        request_id: str,
    ) -> Generator[event_stream.ServerSentEvent, None, None]:
        """Yields the events of one request and drops foreign streams.

        Raises:
            UpstreamRefusedError: The engine refused or ended the request.
            UpstreamError: The connection failed, or the stream is foreign.
        """
        upstream = connection.UpstreamConnection(address, self.connect_timeout)
        with contextlib.closing(upstream):
            deadline = connection.Deadline(self.clock, self.progress_timeout)
            response = upstream.send(
                "POST", path, HEADERS, msgspec.json.encode(body), deadline
            )
            if response.status != OK:
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
    """Yields the token events from the expected offset on.

    Raises:
        UpstreamError: Another attempt, a wrong offset or an early end.
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
    """Returns the event's attempt if it is the expected one or the first.

    Raises:
        UpstreamError: It is another attempt.
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
    """Returns the error for an answer with an error status."""
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
