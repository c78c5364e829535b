"""The platform's HTTP header fields, requests and answers."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING
from typing import Any

import msgspec

from coltsfootarch.forwarding import calls
from coltsfootarch.http1 import messages
from coltsfootarch.platform import decoding

if TYPE_CHECKING:
    from coltsfootarch.fleet import upstreams

REQUEST_ID = "X-Request-Id"
DEADLINE = "X-Deadline-Ms"
# Two numbers: prompt tokens and the maximum of generated tokens.
TOKEN_COUNT = "X-Token-Count"
LENGTH_HINT = "X-Length-Hint"
# Parts of the prompt in order, as ID:TOKENS entries. The last one belongs to
# the request or its session.
PREFIX_HASH = "X-Prefix-Hash"
LAST_EVENT_ID = "Last-Event-Id"
# Names the caller's attempt that brought the first event of the stream.
RESUMES = "Resumes"
MAX_REQUEST_ID_LENGTH = 200
EXPECT_INSTANCE = "X-Expect-Instance"
TENANT = "X-Tenant"
STAGE = "X-Stage"
KV_SOURCE = "X-Kv-Source"
KV_HOLD = "X-Kv-Hold"
NOT_EXECUTED = "x-not-executed"
# Bounds of what is kept of a caller's list of prompt parts.
MAX_SHARED_PARTS = 16
MAX_PART_ID_LENGTH = 32
SERVER_LOAD = "x-server-load"
INSTANCE_ID = "x-instance-id"
RETRY_AFTER = "retry-after"
SERVER_LEAVING = "server-leaving"
SERVER_LIMIT = "server-limit"
# A runner answers so to a request for another instance, but also to a request
# for another stage.
MISDIRECTED_REQUEST = 421

# Fields of a caller's request that are not forwarded to a runner: the caller's
# key, and fields that only this system may set.
RESERVED_FIELDS = frozenset(
    {
        "authorization",
        DEADLINE.lower(),
        EXPECT_INSTANCE.lower(),
        TENANT.lower(),
        STAGE.lower(),
        KV_SOURCE.lower(),
        LAST_EVENT_ID.lower(),
        "x-expect-version",
        "x-kv-backup",
        KV_HOLD.lower(),
        "x-pin-ms",
        "x-request-priority",
        "kv-fetch",
    }
)


class HeldList(msgspec.Struct):
    """Answer to `GET /api/kv-list`.

    Attributes:
        held: Empty text, id of a part, tokens that are kept, model.
    """

    held: list[tuple[str, str, int, str]]


def decode_caller(request: messages.Request) -> calls.CallerRequest:
    """Returns a caller's request as `calls.CallerRequest`."""
    dropped = messages.unforwarded_fields(request.fields) | RESERVED_FIELDS
    values = {name.lower(): value for name, value in request.fields}
    prompt, output = decode_size(values.get(TOKEN_COUNT.lower(), ""))
    return calls.CallerRequest(
        id=values.get(REQUEST_ID.lower(), ""),
        method=request.method,
        target=request.target,
        host=values.get("host", ""),
        key=decode_key(values.get("authorization", "")),
        deadline_s=decode_milliseconds(values.get(DEADLINE.lower(), "")),
        prompt_tokens=prompt,
        output_tokens=output,
        likely_output_tokens=decode_integer(
            values.get(LENGTH_HINT.lower(), "")
        ),
        resume_after=values.get(LAST_EVENT_ID.lower(), ""),
        shared_parts=decode_shared_parts(values.get(PREFIX_HASH.lower(), "")),
        fields=tuple(
            field for field in request.fields if field[0].lower() not in dropped
        ),
        body=request.body,
        received_at=request.received_at,
        resumed_id=decode_resumed_id(request.fields),
        own_part=decode_own_part(values.get(PREFIX_HASH.lower(), "")),
    )


def decode_resumed_id(fields: messages.Fields) -> str:
    """Returns the request id that `Resumes` names.

    Returns:
        An empty string if it is absent, too long, or names several ids.
    """
    field = RESUMES.lower()
    named = {value.strip() for name, value in fields if name.lower() == field}
    if len(named) != 1:
        return ""
    (request_id,) = named
    return request_id if len(request_id) <= MAX_REQUEST_ID_LENGTH else ""


def decode_key(value: str) -> str:
    """Returns the key of an `Authorization` field; empty if there is none."""
    scheme, _, key = value.partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""


def decode_integer(value: str) -> int:
    """Returns an integer of up to 9 digits; 0 for any other value."""
    return int(value) if value.isdecimal() and len(value) < 10 else 0


def decode_milliseconds(value: str) -> float | None:
    """Returns a value in milliseconds as seconds; None if it isn't a number.

    A negative value counts as 0.
    """
    try:
        seconds = float(value) / decoding.MS_PER_S
    except ValueError:
        return None
    return max(seconds, 0.0) if math.isfinite(seconds) else None


def decode_size(value: str) -> tuple[int, int]:
    """Returns prompt tokens and the maximum of generated tokens.

    Both are 0 if the value isn't two integers.
    """
    parts = [part.strip() for part in value.split(",")]
    if len(parts) != 2 or not all(part.isdecimal() for part in parts):
        return 0, 0
    return decode_integer(parts[0]), decode_integer(parts[1])


def decode_shared_parts(value: str) -> tuple[str, ...]:
    """Returns the ids of the parts that other requests may share.

    Ids that are longer than `MAX_PART_ID_LENGTH` are left out.
    """
    ids = [entry.partition(":")[0].strip() for entry in value.split(",")]
    shared = ids[: min(len(ids) - 1, MAX_SHARED_PARTS)]
    return tuple(part for part in shared if 0 < len(part) <= MAX_PART_ID_LENGTH)


def decode_own_part(value: str) -> str:
    """Returns the id of the last part; empty if it is absent or too long."""
    part = value.rpartition(",")[2].partition(":")[0].strip()
    return part if len(part) <= MAX_PART_ID_LENGTH else ""


class CallerWire:
    """The platform's format for callers: a `calls.CallerProtocol`."""

    def decode(self, request: messages.Request) -> calls.CallerRequest:
        """Returns the request as `calls.CallerRequest`."""
        return decode_caller(request)

    def request_id(self, fields: messages.Fields) -> str:
        """Returns a request's id from its fields; empty if it has none."""
        return messages.field_value(fields, REQUEST_ID.lower())

    def refusal_fields(self, request_id: str) -> messages.Fields:
        """Returns the header fields of an answer that this host itself gives.

        Args:
            request_id: Id of the request; empty if it has none.
        """
        if not request_id:
            return ()
        return ((REQUEST_ID, request_id),)


class RunnerWire:
    """The platform's format for runners: a `calls.UpstreamProtocol`."""

    def encode(
        self, request: calls.CallerRequest, delivery: calls.Delivery
    ) -> bytes:
        """Returns the head of the request for a runner."""
        time_left_ms = int(delivery.time_left_s * decoding.MS_PER_S)
        added = [
            (DEADLINE, str(max(time_left_ms, 1))),
            (EXPECT_INSTANCE, delivery.upstream.id),
        ]
        if delivery.account:
            added.append((TENANT, delivery.account))
        if delivery.prefill_only:
            added.append((STAGE, "prefill"))
        if delivery.kv_cache_source is not None:
            source = (
                f"{delivery.kv_cache_source.address}"
                f"/{delivery.kv_cache_source.handle}"
            )
            added.append((KV_SOURCE, source))
        if delivery.reservation:
            added.append((KV_HOLD, delivery.reservation))
        if delivery.resume_after and not delivery.prefill_only:
            added.append((LAST_EVENT_ID, delivery.resume_after))
        if request.body or request.method not in ("GET", "HEAD", "DELETE"):
            added.append(("Content-Length", str(len(request.body))))
        line = f"{request.method} {request.target} HTTP/1.1"
        return messages.render_head(line, [*request.fields, *added])

    def decode(self, head: messages.ResponseHead) -> calls.UpstreamResponse:
        """Returns the head of a runner's answer as `calls.UpstreamResponse`."""
        dropped = messages.unforwarded_fields(head.fields)
        connection = messages.field_value(head.fields, "connection").lower()
        return calls.UpstreamResponse(
            status=head.status,
            request_id=messages.field_value(head.fields, REQUEST_ID.lower()),
            not_run=head.status == MISDIRECTED_REQUEST
            or messages.field_value(head.fields, NOT_EXECUTED) != "",
            answered_by=messages.field_value(head.fields, INSTANCE_ID),
            closing="close" in connection,
            load=decode_load(messages.field_value(head.fields, SERVER_LOAD)),
            fields=tuple(
                field
                for field in head.fields
                if field[0].lower() not in dropped
            ),
            retry_after_s=decode_number(
                messages.field_value(head.fields, RETRY_AFTER)
            ),
            leaving=messages.field_value(head.fields, SERVER_LEAVING) == "1",
            limit_per_s=decode_number(
                messages.field_value(head.fields, SERVER_LIMIT)
            ),
        )

    def decode_prefill(self, body: bytes) -> str:
        """Returns the handle of a prefill result; empty if there is none."""
        return decode_string_field(body, "handle")

    def encode_reservation(
        self, upstream: upstreams.Upstream, tokens: int, seconds: float
    ) -> bytes:
        """Returns the call that reserves a slot and memory.

        Args:
            upstream: The runner.
            tokens: Tokens of KV memory to reserve.
            seconds: Lifetime of the reservation, in seconds.
        """
        milliseconds = int(seconds * decoding.MS_PER_S)
        document = {"tokens": tokens, "ttl_ms": milliseconds}
        return encode_call(upstream, "/api/hold-take", document)

    def decode_reservation(self, body: bytes) -> str:
        """Returns the name of a reservation; empty if there is none."""
        return decode_string_field(body, "hold")

    def encode_held_parts(self, upstream: upstreams.Upstream) -> bytes:
        """Returns the request for the parts of prompts that a runner holds."""
        return messages.render_head(
            "GET /api/kv-list HTTP/1.1",
            [("Host", upstream.address), (EXPECT_INSTANCE, upstream.id)],
        )

    def decode_held_parts(self, body: bytes) -> frozenset[str]:
        """Returns the ids of the parts that a runner holds.

        An entry of `held` is a list of an empty text, id, tokens and model.
        """
        try:
            document = msgspec.json.decode(body, type=HeldList)
        except msgspec.DecodeError:
            return frozenset()
        return frozenset(part for _, part, tokens, _ in document.held if tokens)

    def encode_drop(self, address: str, name: str) -> bytes:
        """Returns the request that drops a reservation."""
        return messages.render_head(
            f"DELETE /api/hold-drop/{name} HTTP/1.1", [("Host", address)]
        )

    def encode_release(self, source: calls.KvCacheSource) -> bytes:
        """Returns the request that frees the KV memory of a prefill result."""
        return messages.render_head(
            f"DELETE /api/kv-handle/{source.handle} HTTP/1.1",
            [("Host", source.address)],
        )


def encode_call(
    upstream: upstreams.Upstream, target: str, document: dict[str, Any]
) -> bytes:
    """Returns a request of this system itself to one runner, head and body."""
    body = msgspec.json.encode(document)
    head = messages.render_head(
        f"POST {target} HTTP/1.1",
        [
            ("Host", upstream.address),
            (EXPECT_INSTANCE, upstream.id),
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
        ],
    )
    return head + body


def decode_number(value: str) -> float | None:
    """Returns a decimal number, 0 or more; None for any other value."""
    try:
        number = float(value)
    except ValueError:
        return None
    return number if math.isfinite(number) and number >= 0 else None


def decode_string_field(body: bytes, key: str) -> str:
    """Returns a string field of a JSON object; empty if there is none."""
    try:
        document = msgspec.json.decode(body)
    except msgspec.DecodeError:
        return ""
    name = document.get(key) if isinstance(document, dict) else None
    return name if isinstance(name, str) else ""


def decode_load(value: str) -> calls.ReportedLoad | None:
    """Returns the running requests, waiting requests and slots of a field.

    Returns:
        None if the value isn't three integers.
    """
    parts = value.split(",")
    if len(parts) != 3 or not all(part.strip().isdecimal() for part in parts):
        return None
    running, waiting, slots = (int(part) for part in parts)
    return calls.ReportedLoad(running, waiting, slots)
