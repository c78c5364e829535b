"""HTTP interface for callers, as a WSGI application."""

from __future__ import annotations

import contextlib
import math
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

import bottle
import gevent
import msgspec
import structlog

from coltsfootarch import errors
from coltsfootarch import results
from coltsfootarch.gateway import answer_encoding
from coltsfootarch.gateway import call_pipeline
from coltsfootarch.gateway import completions
from coltsfootarch.gateway import inflight
from coltsfootarch.gateway import request_checks
from coltsfootarch.observability import metrics
from coltsfootarch.upstreams import plain_client

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from coltsfootarch.config import routes
    from coltsfootarch.gateway import admission
    from coltsfootarch.gateway import completion_pipeline
    from coltsfootarch.gateway import remote_cancel
    from coltsfootarch.keys import keyring

HTTP_NO_CONTENT = 204
NO_ACCOUNT = ""
# Errors that bottle doesn't answer.
UNANSWERED_ERRORS = (MemoryError, gevent.Timeout)

logger = structlog.get_logger(__name__)


class HostStatus(NamedTuple):
    """Status of this host, the JSON body of `/-/status`.

    Attributes:
        host: Name of the host.
        availability_zone: Availability zone of the host.
        incarnation: Start of the process, Unix time in milliseconds.
        config_version: Configuration version in force.
        confirmed_age: Seconds since that version was confirmed; None if it
            never was.
        shards: Shards whose leases the host holds.
        in_progress: Number of requests in progress.
        ready: Whether the host accepts new requests.
    """

    host: str
    availability_zone: str
    incarnation: int
    config_version: int
    confirmed_age: float | None
    shards: list[int]
    in_progress: int
    ready: bool


class GatewayApplication:
    """WSGI application of an entry host.

    Args:
        admission: Checks that a request may start.
        completion_pipeline: Runs completion requests.
        call_pipeline: Runs calls to plain services.
        requests: Requests in progress on this host.
        canceller: Cancels requests on this or another host.
        status: Returns the host's status.
        metrics: Receives metrics.
    """

    def __init__(
        self,
        admission: admission.Admission,
        completion_pipeline: completion_pipeline.CompletionPipeline,
        call_pipeline: call_pipeline.CallPipeline,
        requests: inflight.InflightRequests,
        canceller: remote_cancel.RemoteCanceller,
        status: Callable[[], HostStatus],
        metrics: metrics.Metrics,
    ) -> None:
        self.admission = admission
        self.completion_pipeline = completion_pipeline
        self.call_pipeline = call_pipeline
        self.requests = requests
        self.canceller = canceller
        self.status = status
        self.metrics = metrics
        self.wsgi = self.build()

    def build(self) -> bottle.Bottle:
        """Returns the bottle application with its routes."""
        app = bottle.Bottle()
        app.config["json.enable"] = False
        app.route("/-/live", "GET", self.get_live)
        app.route("/-/ready", "GET", self.get_ready)
        app.route("/-/status", "GET", self.get_status)
        app.route("/v1/completions", "POST", self.post_completion)
        app.route("/v1/requests/<request_id>", "DELETE", self.delete_request)
        app.route("/<path:path>", "ANY", self.forward_call)
        app.default_error_handler = self.refuse_framework_error
        return app

    def get_live(self) -> bytes:
        """Answers 200 as long as the process runs."""
        return b"live\n"

    def get_ready(self) -> bytes:
        """Answers 200 while the host accepts new requests, else 503."""
        if self.status().ready:
            return b"ready\n"
        bottle.response.status = 503
        return b"not ready\n"

    def get_status(self) -> bytes:
        """Answers with the host's status as JSON."""
        return json_body(self.status()._asdict())

    def post_completion(self) -> bytes | Iterator[bytes]:
        """Starts or resumes a completion."""
        environ = bottle.request.environ
        request_id = self.requests.new_request_id()
        bottle.response.set_header("X-Request-Id", request_id)
        handle: inflight.RequestHandle | None = None
        try:
            request_checks.check_headers(environ)
            caller = self.admission.authenticate(environ)
            # Reading the body can take long. The handle is opened first, so
            # that the request is ended if its key is withdrawn meanwhile.
            handle = self.requests.open(
                inflight.RequestInfo(request_id, caller.account, caller.key_id)
            )
            body = request_checks.read_body(
                environ, self.admission.body_limit()
            )
            request = completions.parse(body)
            events = self.answer_events(environ, request_id, caller, request)
            if request.stream:
                return self.stream_answer(handle, events)
            with completions.closing(events):
                body_fields = answer_encoding.collect(events, request_id)
            self.requests.close(handle)
            return json_body(dict(body_fields))
        except errors.ColtsfootarchError as error:
            refusal = self.refuse(error, request_id, handle)
            if handle is not None:
                self.requests.close(handle)
            return refusal
        except UNANSWERED_ERRORS:
            refusal = self.refuse(
                internal_error(request_id), request_id, handle
            )
            if handle is not None:
                self.requests.close(handle)
            return refusal
        except BaseException:
            if handle is not None:
                self.requests.close(handle)
            raise

    def answer_events(
        self,
        environ: dict[str, Any],
        request_id: str,
        caller: keyring.Caller,
        request: completions.CompletionRequest,
    ) -> Iterator[completions.AnswerEvent]:
        """Returns the events of a new or a resumed answer."""
        token = environ.get("HTTP_RESUME_TOKEN", "")
        if not token:
            return self.completion_pipeline.run(request_id, caller, request)
        offset = parse_offset(environ.get("HTTP_LAST_EVENT_ID", "0"))
        return self.completion_pipeline.resume(
            request_id, caller, request, token, offset
        )

    def stream_answer(
        self,
        handle: inflight.RequestHandle,
        events: Iterator[completions.AnswerEvent],
    ) -> Iterator[bytes]:
        """Returns the encoded stream after waiting for its first event.

        A refusal before the first event can still be answered with its HTTP
        status.

        Raises:
            RefusedError: The answer has no events.
        """
        first = next(events, None)
        if first is None:
            raise errors.RefusedError(results.UPSTREAM_FAILED)
        bottle.response.content_type = "text/event-stream"
        bottle.response.set_header("Cache-Control", "no-store")
        return self.encoded_stream(handle, first, events)

    def encoded_stream(
        self,
        handle: inflight.RequestHandle,
        first: completions.AnswerEvent,
        events: Iterator[completions.AnswerEvent],
    ) -> Iterator[bytes]:
        """Yields the server-sent events of an answer."""
        request_id = handle.info.request_id
        try:
            yield answer_encoding.encode_event(first)
            for event in events:
                yield answer_encoding.encode_event(event)
        except errors.ColtsfootarchError as error:
            self.record_refusal(error, request_id, handle)
            yield answer_encoding.encode_failure(error, request_id)
        except (Exception, *UNANSWERED_ERRORS):
            internal = internal_error(request_id)
            yield answer_encoding.encode_failure(internal, request_id)
        finally:
            self.close_events(handle, events)
            self.requests.close(handle)

    def close_events(
        self,
        handle: inflight.RequestHandle,
        events: Iterator[completions.AnswerEvent],
    ) -> None:
        """Closes an answer that is complete, was ended or lost its caller.

        A request that was ended during a write to its caller is ended here
        with that error, because a plain close would leave it for a resume.
        """
        handle.closed = True
        with completions.closing(events):
            throw = getattr(events, "throw", None)
            if handle.end_error is not None and throw is not None:
                with contextlib.suppress(errors.RefusedError):
                    throw(handle.end_error)

    def delete_request(self, request_id: str) -> bytes:
        """Cancels a request that belongs to the caller's client account."""
        environ = bottle.request.environ
        try:
            request_checks.check_headers(environ)
            caller = self.admission.authenticate(environ)
            self.canceller.cancel(request_id, caller.account)
        except errors.ColtsfootarchError as error:
            return self.refuse(error, request_id)
        bottle.response.status = HTTP_NO_CONTENT
        return b""

    def forward_call(self, path: str) -> bytes:
        """Forwards a call to a plain service."""
        environ = bottle.request.environ
        request_id = self.requests.new_request_id()
        bottle.response.set_header("X-Request-Id", request_id)
        handle: inflight.RequestHandle | None = None
        try:
            request_checks.check_headers(environ)
            route = self.admission.match_route(environ)
            account, key_id = NO_ACCOUNT, ""
            if not route.open:
                caller = self.admission.authenticate(environ)
                account, key_id = caller.account, caller.key_id
            handle = self.requests.open(
                inflight.RequestInfo(request_id, account, key_id)
            )
            body = request_checks.read_body(
                environ, self.admission.body_limit()
            )
            call = self.build_call(environ, request_id, account, route, body)
            return self.relay_answer(self.call_pipeline.run(call))
        except errors.ColtsfootarchError as error:
            return self.refuse(error, request_id, handle)
        except UNANSWERED_ERRORS:
            return self.refuse(internal_error(request_id), request_id, handle)
        finally:
            if handle is not None:
                self.requests.close(handle)

    def build_call(
        self,
        environ: dict[str, Any],
        request_id: str,
        account: str,
        route: routes.Route,
        body: bytes,
    ) -> call_pipeline.Call:
        """Returns the call as it is sent to an upstream."""
        target = route.path
        query = environ.get("QUERY_STRING", "")
        if query:
            target = f"{target}?{query}"
        headers = request_checks.upstream_headers(environ, account, request_id)
        request = plain_client.PlainRequest(
            environ["REQUEST_METHOD"], target, headers, body
        )
        key = environ.get("HTTP_IDEMPOTENCY_KEY", "")
        return call_pipeline.Call(request_id, account, route, request, key)

    def relay_answer(self, answer: call_pipeline.CallAnswer) -> bytes:
        """Copies an upstream's answer into the response to the caller."""
        bottle.response.status = answer.response.status
        for name, value in answer.response.headers:
            bottle.response.add_header(name, value)
        if answer.replayed:
            bottle.response.set_header("Idempotency-Replayed", "true")
        body: bytes = answer.response.body
        return body

    def refuse(
        self,
        error: errors.ColtsfootarchError,
        request_id: str,
        handle: inflight.RequestHandle | None = None,
    ) -> bytes:
        """Records a refusal, sets status and headers, and returns its body."""
        self.record_refusal(error, request_id, handle)
        bottle.response.status = error.code.http_status
        bottle.response.set_header("Result-Code", str(error.code.number))
        retry_after = getattr(error, "retry_after", None)
        if retry_after is not None:
            seconds = max(1, math.ceil(retry_after))
            bottle.response.set_header("Retry-After", str(seconds))
        return json_body(dict(answer_encoding.refusal_body(error, request_id)))

    def record_refusal(
        self,
        error: errors.ColtsfootarchError,
        request_id: str,
        handle: inflight.RequestHandle | None,
    ) -> None:
        """Logs and counts a refusal."""
        number = error.code.number
        account = handle.info.account if handle is not None else ""
        if handle is not None:
            handle.result_code = number
        self.metrics.increment(metrics.REFUSALS, suffix=str(number))
        logger.info(
            "request refused",
            request_id=request_id,
            client_account=account,
            result_code=number,
            reason=error.code.name,
        )

    def refuse_framework_error(self, error: bottle.HTTPError) -> bytes:
        """Answers an error that bottle itself raised with a refusal."""
        code = results.INTERNAL_ERROR
        if error.status_code in (404, 405):
            code = results.UNKNOWN_ROUTE
        elif error.status_code < 500:
            code = results.INVALID_FIELD
        else:
            logger.error("unexpected error", exc_info=error.exception)
        request_id = bottle.response.get_header("X-Request-Id") or ""
        return self.refuse(errors.RefusedError(code), request_id)


def internal_error(request_id: str) -> errors.RefusedError:
    """Logs the error being handled and returns what the caller gets."""
    logger.exception("unexpected error", request_id=request_id)
    return errors.RefusedError(results.INTERNAL_ERROR)


def json_body(document: dict[str, Any]) -> bytes:
    """Returns a document as JSON and sets the response's content type."""
    bottle.response.content_type = "application/json"
    return msgspec.json.encode(document)


def parse_offset(text: str) -> int:
    """Returns the offset in a `Last-Event-ID` header.

    Raises:
        RefusedError: The header is not a number or exceeds the largest
            possible offset.
    """
    if not text.isdecimal() or int(text) > completions.MAX_OUTPUT_TOKENS:
        raise errors.RefusedError(
            results.INVALID_FIELD,
            "`Last-Event-ID` must be the decimal id of a received event",
        )
    return int(text)
