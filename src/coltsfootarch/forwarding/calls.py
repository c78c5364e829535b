"""Requests of callers and answers of upstreams as the pipelines see them."""

from __future__ import annotations

import functools
import hashlib
from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import Protocol

if TYPE_CHECKING:
    from coltsfootarch.fleet import policy
    from coltsfootarch.fleet import upstreams
    from coltsfootarch.forwarding import cancellation
    from coltsfootarch.http1 import messages


class CallerRequest(NamedTuple):
    """A request of a caller.

    Attributes:
        id: Identity that the caller gave this attempt.
        method: Method.
        target: Path and query.
        host: `Host` header.
        key: API key; empty if there is none.
        deadline_s: Time that the caller waits, in seconds; None if not given.
        prompt_tokens: Declared prompt size; 0 for a plain call.
        output_tokens: Declared maximum of generated tokens.
        likely_output_tokens: The caller's estimate; 0 if not given.
        resume_after: Last event that the caller has; empty for a new stream.
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
    fields: messages.Fields
    body: bytes
    received_at: float

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.target.partition("?")[0]


class MemorySource(NamedTuple):
    """Where an engine finds the KV cache of a prompt that was read.

    Attributes:
        address: "ip:port" of the engine that holds it.
        handle: Its name there.
    """

    address: str
    handle: str


class Delivery(NamedTuple):
    """What a host adds to a request for one upstream.

    Attributes:
        upstream: Receiver.
        account: Name of the client account; empty on public routes.
        time_left_s: Time that the upstream has, in seconds.
        prefill_only: Whether only the prompt is to be read.
        memory: KV cache of the prompt, if it was read elsewhere.
        reservation: Name of the room reserved at the upstream; empty for none.
        resume_after: Last event that the caller has; empty for none.
    """

    upstream: upstreams.Upstream
    account: str
    time_left_s: float
    prefill_only: bool = False
    memory: MemorySource | None = None
    reservation: str = ""
    resume_after: str = ""


class ReportedLoad(NamedTuple):
    """Load that an upstream reports with an answer.

    Attributes:
        running: Running requests.
        waiting: Waiting requests.
        slots: Requests that it can run at once.
    """

    running: int
    waiting: int
    slots: int


class UpstreamAnswer(NamedTuple):
    """Head of an upstream's answer.

    Attributes:
        status: Status code.
        request_id: Request that it answers; empty if it doesn't say.
        not_run: Whether it states that the request was not run.
        answered_by: Id of the upstream that answered; empty if not given.
        leaving: Whether the upstream closes the connection.
        load: Reported load, if any.
        fields: Header fields for the caller.
    """

    status: int
    request_id: str
    not_run: bool
    answered_by: str
    leaving: bool
    load: ReportedLoad | None
    fields: messages.Fields

    def is_from_other(self, upstream: upstreams.Upstream) -> bool:
        """Returns whether another upstream has the address now."""
        return self.not_run and self.answered_by not in ("", upstream.id)


class CallerProtocol(Protocol):
    """Wire format of callers."""

    def decode(self, request: messages.Request) -> CallerRequest:
        """Returns the request in the product's terms."""

    def refusal_fields(self, request_id: str) -> messages.Fields:
        """Returns header fields of this host's own answers."""


class UpstreamProtocol(Protocol):
    """Wire format of upstreams."""

    def encode(self, request: CallerRequest, delivery: Delivery) -> bytes:
        """Returns the head of the request for an upstream."""

    def decode(self, head: messages.ResponseHead) -> UpstreamAnswer:
        """Returns the head of an answer in the product's terms."""

    def decode_prefill(self, body: bytes) -> str:
        """Returns the handle of a prefill result; empty if there is none."""

    def encode_reservation(
        self, upstream: upstreams.Upstream, tokens: int, seconds: float
    ) -> bytes:
        """Returns the call that reserves a slot and memory."""

    def decode_reservation(self, body: bytes) -> str:
        """Returns the name of a reservation; empty if there is none."""

    def encode_release(self, source: MemorySource) -> bytes:
        """Returns the request that frees a prefill result."""


class Responder(Protocol):
    """Sends the answer to one request."""

    started: bool

    def answer(self, status: int, fields: messages.Fields, body: bytes) -> None:
        """Sends a whole answer."""

    def start(self, status: int, fields: messages.Fields) -> None:
        """Starts an answer whose length isn't known."""

    def send(self, data: bytes) -> None:
        """Sends a part of a started answer."""

    def finish(self) -> None:
        """Ends a started answer as complete."""

    def abort(self) -> None:
        """Ends the connection, so that the answer can't look complete."""


class Call:
    """A request on its way, with what was decided about it.

    Args:
        request: The caller's request.
        route: Its route.
        service: Name of the service that was chosen.
        account: Name of the client account; empty on public routes.
        policy_version: Version on which it was decided.
        cancellation: Tells that the caller has left.
        responder: Sends the answer.
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
        # Whether an upstream may have run it.
        self.may_have_run = False
        self.offered = False
        limit = route.timeout_s
        if request.deadline_s is not None:
            limit = min(limit, request.deadline_s)
        self.ends_at = request.received_at + limit

    @functools.cached_property
    def digest(self) -> str:
        """Identifies requests with the same path, caller and body."""
        seed = f"{self.account} {self.request.target} ".encode()
        return hashlib.blake2b(
            seed + self.request.body, digest_size=8
        ).hexdigest()
