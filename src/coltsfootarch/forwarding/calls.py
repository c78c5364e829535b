"""Requests and responses apart from their wire format; state of a call."""

from __future__ import annotations

import functools
import hashlib
from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import Protocol

if TYPE_CHECKING:
    from coltsfootarch.fleet import policy
    from coltsfootarch.fleet import stream_records
    from coltsfootarch.fleet import upstreams
    from coltsfootarch.forwarding import cancellation
    from coltsfootarch.forwarding import response_memory
    from coltsfootarch.http1 import messages


class CallerRequest(NamedTuple):
    """A decoded request of a caller.

    Attributes:
        id: Request id that the caller gave this attempt.
        method: HTTP method.
        target: Path and query.
        host: Value of the `Host` header.
        key: API key; empty if there is none.
        deadline_s: Time that the caller waits, in seconds; None if not given.
        prompt_tokens: Declared prompt size; 0 for a plain call.
        output_tokens: Declared maximum number of generated tokens.
        likely_output_tokens: The caller's estimate of their number; 0 if not
            given.
        resume_after: Id of the last event that the caller received; empty for
            a new stream.
        resumed_id: Request id of the attempt that brought the stream's first
            event, if it takes one up; empty if it names none, or several.
        own_part: Id of the part of the prompt that belongs to this request or
            its session; empty if not given.
        shared_parts: Ids of the parts of the prompt that other requests may
            share, in order.
        fields: Header fields to forward.
        body: Body.
        received_at: Instant at which its first byte was read, in seconds.
    """

    id: str
    method: str
    target: str
    host: str
    key: str
    deadline_s: float | None
    prompt_tokens: int
    output_tokens: int
    likely_output_tokens: int
    resume_after: str
    shared_parts: tuple[str, ...]
    fields: messages.Fields
    body: bytes
    received_at: float
    resumed_id: str = ""
    own_part: str = ""

    @property
    def takes_up(self) -> bool:
        """Whether it continues a stream of an earlier attempt."""
        return bool(self.resume_after or self.resumed_id)

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.target.partition("?")[0]


class KvCacheSource(NamedTuple):
    """Where a decode engine fetches the KV cache of a prefilled prompt.

    Attributes:
        address: "ip:port" of the prefill engine that holds it.
        handle: Its handle at that engine.
    """

    address: str
    handle: str


class Delivery(NamedTuple):
    """What a host adds to a request when it sends it to an upstream.

    Attributes:
        upstream: Upstream that gets the request.
        account: Name of the client account; empty on public routes.
        time_left_s: Time that the upstream has to respond, in seconds.
        prefill_only: Whether the upstream only prefills the prompt.
        kv_cache_source: Source of the prompt's KV cache if another engine
            prefilled it.
        reservation: Name of the reservation at the upstream; empty for none.
        resume_after: Id of the last event that the caller received; empty for
            none.
    """

    upstream: upstreams.Upstream
    account: str
    time_left_s: float
    prefill_only: bool = False
    kv_cache_source: KvCacheSource | None = None
    reservation: str = ""
    resume_after: str = ""


class ReportedLoad(NamedTuple):
    """Load that an upstream reports with a response.

    Attributes:
        running: Number of running requests.
        waiting: Number of queued requests.
        slots: Number of requests that it can run at once.
    """

    running: int
    waiting: int
    slots: int


class UpstreamResponse(NamedTuple):
    """Decoded head of an upstream's response.

    Attributes:
        status: HTTP status code.
        request_id: Id of the request that it belongs to; empty if not given.
        not_run: Whether the upstream states that the request was not run.
        answered_by: Id of the upstream that responded; empty if not given.
        closing: Whether the upstream closes the connection.
        load: Reported load, if any.
        fields: Header fields for the caller.
        retry_after_s: Time for which the upstream wants no requests from this
            host, in seconds; None if not given.
        leaving: Whether the upstream states that it is about to stop.
        limit_per_s: Requests per second that the upstream takes from all hosts
            together; None for no limit.
    """

    status: int
    request_id: str
    not_run: bool
    answered_by: str
    closing: bool
    load: ReportedLoad | None
    fields: messages.Fields
    retry_after_s: float | None = None
    leaving: bool = False
    limit_per_s: float | None = None

    def is_from_other_upstream(self, upstream: upstreams.Upstream) -> bool:
        """Returns whether another upstream now uses the upstream's address."""
        return self.not_run and self.answered_by not in ("", upstream.id)


class CallerProtocol(Protocol):
    """Wire format of callers."""

    def decode(self, request: messages.Request) -> CallerRequest:
        """Returns the decoded request."""

    def request_id(self, fields: messages.Fields) -> str:
        """Returns a request's id from its fields; empty if it has none."""

    def refusal_fields(self, request_id: str) -> messages.Fields:
        """Returns the header fields of refusals by this host."""


class UpstreamProtocol(Protocol):
    """Wire format of upstreams."""

    def encode(self, request: CallerRequest, delivery: Delivery) -> bytes:
        """Returns the head of the request for an upstream."""

    def decode(self, head: messages.ResponseHead) -> UpstreamResponse:
        """Returns the decoded head of a response."""

    def decode_prefill(self, body: bytes) -> str:
        """Returns the handle from a prefill response; empty if it has none."""

    def encode_reservation(
        self, upstream: upstreams.Upstream, tokens: int, seconds: float
    ) -> bytes:
        """Returns the request that reserves a slot and memory.

        Args:
            upstream: Engine at which to reserve.
            tokens: Memory in tokens.
            seconds: Time for which the reservation lasts.
        """

    def decode_reservation(self, body: bytes) -> str:
        """Returns the name of the granted reservation; empty if refused."""

    def encode_held_parts(self, upstream: upstreams.Upstream) -> bytes:
        """Returns the request for the parts of prompts that an engine holds."""

    def decode_held_parts(self, body: bytes) -> frozenset[str]:
        """Returns the ids of the parts that an engine holds.

        They are none if the response can't be decoded.
        """

    def encode_drop(self, address: str, name: str) -> bytes:
        """Returns the request that drops a reservation.

        Args:
            address: "ip:port" of the engine.
            name: Name of the reservation.
        """

    def encode_release(self, source: KvCacheSource) -> bytes:
        """Returns the request that frees a prefill result."""


class CallerConnectionError(Exception):
    """The connection of the caller failed; it gets no more of the response."""


class Responder(Protocol):
    """Sends the response to one request.

    Its methods but `abort` raise `CallerConnectionError`.

    Attributes:
        started: Whether part of the response may have been sent.
        finished: Whether the whole response was sent.
        surplus: Whether the host has no room for the request's connection, so
            that the request is to be refused.
    """

    started: bool
    finished: bool
    surplus: bool

    def respond(
        self, status: int, fields: messages.Fields, body: bytes
    ) -> None:
        """Sends a complete response."""

    def start(self, status: int, fields: messages.Fields) -> None:
        """Sends the head of a response whose length isn't known."""

    def send(self, data: bytes) -> None:
        """Sends a part of the body of a started response."""

    def finish(self) -> None:
        """Marks a started response as complete."""

    def abort(self) -> None:
        """Closes the connection, so that the response can't look complete."""


class Call:
    """An admitted request with its route, service and progress.

    Args:
        request: The caller's request.
        route: Its route.
        service: Name of the service chosen for it.
        account: Name of the client account; empty on public routes.
        policy_version: Version of the policy under which it was admitted.
        cancellation: Signals that the caller has disconnected.
        responder: Sends the response.
    """

    def __init__(
        self,
        request: CallerRequest,
        route: policy.Route,
        service: str,
        account: str,
        policy_version: int,
        cancellation: cancellation.Cancellation,
        responder: Responder,
    ) -> None:
        self.request = request
        self.route = route
        self.service = service
        self.account = account
        self.policy_version = policy_version
        self.cancellation = cancellation
        self.responder = responder
        self.attempts = 0
        self.tried: list[str] = []
        # Memory of the last complete response.
        self.holding: response_memory.Holding | None = None
        # Whether an attempt failed after which the upstream may have run it.
        self.may_have_run = False
        # Whether it was sent to an upstream at all.
        self.sent_upstream = False
        # Whether it is sent once in spite of a prompt part that is refused.
        self.is_trial = False
        # Placeholder for the record of the version at which its stream begins.
        self.placeholder: stream_records.Ticket | None = None
        limit = route.timeout_s
        if request.deadline_s is not None:
            limit = min(limit, request.deadline_s)
        self.ends_at = request.received_at + limit

    def keep(self, holding: response_memory.Holding | None) -> None:
        """Keeps the memory of a response and frees that of the one before."""
        previous, self.holding = self.holding, holding
        if previous is not None:
            previous.close()

    @functools.cached_property
    def digest(self) -> str:
        """Digest of account, target and body; retries have the same one."""
        seed = f"{self.account} {self.request.target} ".encode()
        return hashlib.blake2b(
            seed + self.request.body, digest_size=8
        ).hexdigest()
