"""Numbered result codes of refused and failed requests.

`docs/result-codes.md` contains the same table; a test compares the two.
"""

from __future__ import annotations

import enum
from typing import NamedTuple


class Execution(enum.Enum):
    """Whether an upstream executed the request."""

    RUN = "run"
    NOT_RUN = "not run"
    MAY_HAVE_RUN = "may have run"


class ResultCode(NamedTuple):
    """A result code.

    Attributes:
        number: Stable number; its thousands digit identifies the area.
        name: Stable name in kebab case.
        http_status: Status of the HTTP response with this result.
        execution: Whether the request was executed.
        summary: What happened and what the caller or operator can do next.
    """

    number: int
    name: str
    http_status: int
    execution: Execution
    summary: str


_NOT_RUN = Execution.NOT_RUN
_MAY_HAVE_RUN = Execution.MAY_HAVE_RUN
_RUN = Execution.RUN

# 1000s: caller input
INVALID_JSON = ResultCode(
    1001, "invalid-json", 400, _NOT_RUN, "The body is not valid JSON."
)
INVALID_FIELD = ResultCode(
    1002,
    "invalid-field",
    400,
    _NOT_RUN,
    "A field is missing, unknown or of the wrong type.",
)
BODY_TOO_LARGE = ResultCode(
    1003,
    "body-too-large",
    413,
    _NOT_RUN,
    "The body exceeds `rules.max_body_bytes`.",
)
UNKNOWN_ROUTE = ResultCode(
    1004, "unknown-route", 404, _NOT_RUN, "No service has this path."
)
UNKNOWN_MODEL = ResultCode(
    1005, "unknown-model", 404, _NOT_RUN, "No service has this model."
)
FORBIDDEN_HEADER = ResultCode(
    1006,
    "forbidden-header",
    400,
    _NOT_RUN,
    "A header is malformed or given more than once.",
)
CLIENT_CANCELLED = ResultCode(
    1007,
    "client-cancelled",
    499,
    _MAY_HAVE_RUN,
    "The caller cancelled or closed the connection.",
)
CLIENT_TOO_SLOW = ResultCode(
    1008,
    "client-too-slow",
    408,
    _MAY_HAVE_RUN,
    "The caller did not read or send within the time limit.",
)
UNKNOWN_REQUEST = ResultCode(
    1009, "unknown-request", 404, _NOT_RUN, "No such request here."
)
INVALID_RESUME_TOKEN = ResultCode(
    1010,
    "invalid-resume-token",
    400,
    _NOT_RUN,
    "The resume token is forged, expired or foreign.",
)

MALFORMED_REQUEST = ResultCode(
    1011,
    "malformed-request",
    400,
    _NOT_RUN,
    "The request is no valid HTTP, or its body has no clear end.",
)
HEADER_TOO_LARGE = ResultCode(
    1012, "header-too-large", 431, _NOT_RUN, "The header fields are too long."
)
HEADER_TIMEOUT = ResultCode(
    1013,
    "header-timeout",
    408,
    _NOT_RUN,
    "The request did not arrive within the time limit.",
)

# 2000s: keys and client accounts
MISSING_KEY = ResultCode(
    2001, "missing-key", 401, _NOT_RUN, "Send `Authorization: Bearer KEY`."
)
INVALID_KEY = ResultCode(
    2002, "invalid-key", 401, _NOT_RUN, "The key is unknown or withdrawn."
)
KEY_WITHDRAWN = ResultCode(
    2003,
    "key-withdrawn",
    403,
    _MAY_HAVE_RUN,
    "The key was withdrawn while the request ran.",
)
KEY_UNCONFIRMED = ResultCode(
    2004,
    "key-unconfirmed",
    503,
    _NOT_RUN,
    "This host can't confirm keys now; retry elsewhere.",
)

# 3000s: limits
RATE_EXCEEDED = ResultCode(
    3001,
    "rate-exceeded",
    429,
    _NOT_RUN,
    "The account's rate and burst are used up; retry later.",
)
REQUEST_ABOVE_BURST = ResultCode(
    3002,
    "request-above-burst",
    400,
    _NOT_RUN,
    "The request needs more tokens than the burst.",
)
LIMIT_UNAVAILABLE = ResultCode(
    3003,
    "limit-unavailable",
    503,
    _NOT_RUN,
    "No ledger answered in time; retry later.",
)

# 4000s: scheduling and upstreams
OVERLOADED = ResultCode(
    4001,
    "overloaded",
    503,
    _NOT_RUN,
    "The latency target can't be met now; retry later.",
)
NO_UPSTREAM = ResultCode(
    4002, "no-upstream", 503, _NOT_RUN, "No upstream of the service is up."
)
QUARANTINED = ResultCode(
    4003,
    "quarantined",
    422,
    _NOT_RUN,
    "The same request crashed upstreams; change it.",
)
UPSTREAM_FAILED = ResultCode(
    4004,
    "upstream-failed",
    502,
    _MAY_HAVE_RUN,
    "The upstream failed after the request was sent.",
)
UPSTREAM_TIMEOUT = ResultCode(
    4005,
    "upstream-timeout",
    504,
    _MAY_HAVE_RUN,
    "The upstream did not answer in time.",
)
RETRY_BUDGET_SPENT = ResultCode(
    4006,
    "retry-budget-spent",
    503,
    _MAY_HAVE_RUN,
    "Too many retries are under way; retry later.",
)
UPSTREAM_CONNECT_FAILED = ResultCode(
    4007,
    "upstream-connect-failed",
    502,
    _NOT_RUN,
    "No upstream accepted a connection.",
)
STALE_ORDER = ResultCode(
    4008,
    "stale-order",
    409,
    _NOT_RUN,
    "The order carries an old fencing number.",
)

REPEATED_BREAKS = ResultCode(
    4009,
    "repeated-breaks",
    503,
    _NOT_RUN,
    "Upstreams broke off each time that they ran the same request.",
)
STOPPING = ResultCode(
    4010, "stopping", 503, _NOT_RUN, "This host stops; retry elsewhere."
)
CRASHING_PART = ResultCode(
    4011,
    "crashing-part",
    503,
    _NOT_RUN,
    "Engines crashed each time that they began on a part of the prompt.",
)

STREAM_VERSION_GONE = ResultCode(
    4012,
    "stream-version-gone",
    503,
    _NOT_RUN,
    "No upstream has the software version that began this stream.",
)
STREAM_VERSION_UNKNOWN = ResultCode(
    4013,
    "stream-version-unknown",
    503,
    _NOT_RUN,
    "The software version that began this stream can't be found out now.",
)

# 5000s: non-idempotent requests
IDEMPOTENCY_KEY_REQUIRED = ResultCode(
    5001,
    "idempotency-key-required",
    400,
    _NOT_RUN,
    "Send an `Idempotency-Key` header.",
)
IDEMPOTENCY_KEY_REUSED = ResultCode(
    5002,
    "idempotency-key-reused",
    422,
    _NOT_RUN,
    "The key was used with another body.",
)
CLAIM_UNAVAILABLE = ResultCode(
    5003,
    "claim-unavailable",
    503,
    _NOT_RUN,
    "The claim can't be recorded now; retry later.",
)
IN_PROGRESS = ResultCode(
    5004,
    "in-progress",
    409,
    _MAY_HAVE_RUN,
    "An earlier attempt is under way; retry with the same key.",
)
OUTCOME_UNKNOWN = ResultCode(
    5005,
    "outcome-unknown",
    409,
    _MAY_HAVE_RUN,
    "An earlier attempt ended without a recorded outcome.",
)

# 6000s: configuration and settings
UNKNOWN_SETTING = ResultCode(
    6001, "unknown-setting", 400, _NOT_RUN, "No such key in this table."
)
WRONG_TYPE = ResultCode(
    6002, "wrong-type", 400, _NOT_RUN, "The value has the wrong type."
)
WRONG_VALUE = ResultCode(
    6003, "wrong-value", 400, _NOT_RUN, "The value is not accepted."
)
DANGLING_REFERENCE = ResultCode(
    6004,
    "dangling-reference",
    400,
    _NOT_RUN,
    "The value names an entry that does not exist.",
)
MISSING_SETTING = ResultCode(
    6005, "missing-setting", 400, _NOT_RUN, "A required key is missing."
)
INVALID_TOML = ResultCode(
    6006, "invalid-toml", 400, _NOT_RUN, "The file is not valid TOML."
)
VERSION_CONFLICT = ResultCode(
    6007,
    "version-conflict",
    409,
    _NOT_RUN,
    "Another edit was committed first; rebase on it.",
)
NOT_ACCEPTED = ResultCode(
    6008,
    "not-accepted",
    202,
    _RUN,
    "Committed, but not yet in force on every host.",
)
NO_CONFIGURATION = ResultCode(
    6009,
    "no-configuration",
    503,
    _NOT_RUN,
    "This host has no configuration yet.",
)
DUPLICATE_ENTRY = ResultCode(
    6010, "duplicate-entry", 400, _NOT_RUN, "The name is given twice."
)

# 7000s: platform
TABLE_UNAVAILABLE = ResultCode(
    7001,
    "table-unavailable",
    503,
    _NOT_RUN,
    "The table service can't be reached.",
)
TABLE_OUTCOME_UNKNOWN = ResultCode(
    7002,
    "table-outcome-unknown",
    503,
    _MAY_HAVE_RUN,
    "The table service's answer was lost.",
)
TRANSACTION_CONFLICT = ResultCode(
    7003,
    "transaction-conflict",
    409,
    _NOT_RUN,
    "A checked row has changed; read it again.",
)
OBJECT_STORE_UNAVAILABLE = ResultCode(
    7004,
    "object-store-unavailable",
    503,
    _NOT_RUN,
    "The object store can't be reached.",
)
HOST_LIST_UNAVAILABLE = ResultCode(
    7005, "host-list-unavailable", 503, _NOT_RUN, "The host list can't be read."
)

# 8000s: protocol between hosts
UNDECODABLE_MESSAGE = ResultCode(
    8001,
    "undecodable-message",
    400,
    _NOT_RUN,
    "A message between hosts does not decode.",
)
UNSUPPORTED_VERSION = ResultCode(
    8002,
    "unsupported-version",
    400,
    _NOT_RUN,
    "A message has another protocol version.",
)
PEER_TIMEOUT = ResultCode(
    8003,
    "peer-timeout",
    504,
    _MAY_HAVE_RUN,
    "A peer host did not answer in time.",
)
NOT_HOME = ResultCode(
    8004,
    "not-home",
    409,
    _NOT_RUN,
    "The host does not hold the shard; look it up again.",
)

# 9000s: this process
INTERNAL_ERROR = ResultCode(
    9002, "internal-error", 500, _MAY_HAVE_RUN, "Unexpected error; see the log."
)
REQUEST_NOT_READ = ResultCode(
    9003,
    "request-not-read",
    503,
    _NOT_RUN,
    "Unexpected error while the request was read; see the log.",
)


def all_codes() -> list[ResultCode]:
    """Returns all result codes, sorted by number."""
    codes = [
        value for value in globals().values() if isinstance(value, ResultCode)
    ]
    return sorted(codes, key=lambda code: code.number)


def by_number(number: int) -> ResultCode:
    """Returns the result code with a number.

    Raises:
        KeyError: No result code has this number.
    """
    for code in all_codes():
        if code.number == number:
            return code
    raise KeyError(number)


def table_row(code: ResultCode) -> str:
    """Returns the Markdown table row of a code in `docs/result-codes.md`."""
    cells = [
        str(code.number),
        code.name,
        str(code.http_status),
        code.execution.value,
    ]
    return f"| {' | '.join([*cells, code.summary])} |"
