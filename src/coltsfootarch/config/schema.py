"""Declares the register's tables and keys, for `checker`.

The descriptions also appear in error messages and in the documentation.
"""

from __future__ import annotations

import enum

from coltsfootarch.config import checker
from coltsfootarch.config import kinds
from coltsfootarch.config import register

NAME = kinds.String(
    "[A-Za-z0-9][A-Za-z0-9._-]{0,62}",
    "name of 1 to 63 letters, digits, dots, hyphens and underscores that "
    "starts with a letter or digit",
)
MODEL_NAME = kinds.String(
    "[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}",
    "model name of 1 to 128 letters, digits and . _ : / -",
)
PATH_PREFIX = kinds.String(
    "(/(?!v1(?:/|$))[A-Za-z0-9_][A-Za-z0-9._-]*)(/[A-Za-z0-9_][A-Za-z0-9._-]*)*",
    'path such as "/loans", without a slash at its end; "/v1" and "/-" are '
    "reserved",
)
CALL_PATH = kinds.String(
    r"/[^\s%?#*\\]*\*?|\*",
    'path below the prefix such as "/bookings", decoded; "*" at its end '
    "accepts any rest",
)
METHOD = kinds.String(r"[A-Z]{1,20}|\*", 'HTTP method in capitals, or "*"')
HEX = kinds.String("(?:[0-9a-f]{2}){16,64}", "32 to 128 hexadecimal digits")
DIGEST = kinds.String("[0-9a-f]{64}", "64 hexadecimal digits")
KEY_ID = kinds.String("[0-9a-z]{4,32}", "4 to 32 small letters and digits")
TOKEN_RATE = kinds.Number(0.001, 1e12)
TOKEN_COUNT = kinds.Integer(1, 10**12)


class Scope(enum.Enum):
    """Whether one pool scheduler serves a whole region or one zone."""

    REGION = "region"
    ZONE = "zone"


class ScopeName(kinds.Choice):
    """A scope that is read as a string, as `register.Rules` stores it."""

    def read(self, value: object) -> str:  # type: ignore[override]
        """Returns the scope's value instead of its member; see `kinds.Kind`."""
        return str(super().read(value).value)


Field = checker.Field

ZONE = checker.Table(
    "availability_zone",
    register.AvailabilityZone,
    (
        Field("name", NAME, "Name of the zone.", required=True, unique=True),
        Field(
            "region", NAME, "Region that the zone belongs to.", required=True
        ),
        Field(
            "shards",
            kinds.Integer(1, 1024),
            "Number of shards; it must not change while hosts run.",
        ),
    ),
)

HOST = checker.Table(
    "host",
    register.Host,
    (
        Field("name", NAME, "Name of the host.", required=True, unique=True),
        Field(
            "availability_zone",
            NAME,
            "Zone that the host runs in.",
            required=True,
            reference="availability_zone",
        ),
    ),
)

SERVICE = checker.Table(
    "service",
    register.Service,
    (
        Field("name", NAME, "Name of the service.", required=True, unique=True),
        Field(
            "kind",
            kinds.Choice(register.ServiceKind),
            "Model engines or plain instances.",
            required=True,
        ),
        Field(
            "model",
            MODEL_NAME,
            "Value of `model` in callers' requests; required for a model "
            "service and not accepted for a plain one.",
            unique=True,
        ),
        Field(
            "path_prefix",
            PATH_PREFIX,
            "Path that callers use; required for a plain service and not "
            "accepted for a model service.",
            unique=True,
        ),
        Field(
            "first_token_target",
            kinds.Duration("10ms", "10m"),
            "Time to first token that 95 in 100 requests should meet.",
        ),
        Field(
            "inter_token_target",
            kinds.Duration("1ms", "1m"),
            "Time between tokens that 95 in 100 requests should meet.",
        ),
        Field(
            "timeout",
            kinds.Duration("10ms", "1h"),
            "Longest wait for a plain upstream's answer.",
        ),
    ),
)

UPSTREAM = checker.Table(
    "upstream",
    register.Upstream,
    (
        Field(
            "name", NAME, "Name of the upstream.", required=True, unique=True
        ),
        Field(
            "service",
            NAME,
            "Service that the upstream belongs to.",
            required=True,
            reference="service",
        ),
        Field(
            "availability_zone",
            NAME,
            "Zone that the upstream runs in.",
            required=True,
            reference="availability_zone",
        ),
        Field(
            "address",
            kinds.Address(),
            "Address of its HTTP interface.",
            required=True,
            unique=True,
        ),
        Field(
            "role",
            kinds.Choice(register.UpstreamRole),
            "Part that it plays: prefill or decode engine, plain instance.",
            required=True,
        ),
        Field(
            "state",
            kinds.Choice(register.UpstreamState),
            "A draining upstream gets no new work.",
        ),
        Field(
            "slots",
            kinds.Integer(1, 100_000),
            "Requests that it holds at once.",
        ),
        Field(
            "memory_pieces",
            kinds.Integer(1, 10**9),
            "Engine memory, in blocks of `piece_tokens`.",
        ),
        Field(
            "piece_tokens",
            kinds.Integer(1, 10**6),
            "Tokens in one block of engine memory.",
        ),
        Field(
            "prefill_rate", TOKEN_RATE, "Prompt tokens per second of an engine."
        ),
        Field(
            "link_rate",
            kinds.ByteRate(1.0, 1e14),
            "Bytes per second of the KV transfer link; a string may give "
            "bits or bytes with a prefix k, M, G or T.",
        ),
        Field(
            "kv_bytes_per_token",
            kinds.Integer(1, 10**9),
            "Bytes of KV cache of one prompt token.",
        ),
        Field(
            "checks_fencing",
            kinds.Boolean(),
            "Whether the engine refuses orders with an outdated fencing "
            "number.",
        ),
    ),
)

KEY = checker.Table(
    "client_account.key",
    register.Key,
    (
        Field(
            "key_id",
            KEY_ID,
            "Public part of the key.",
            required=True,
            unique=True,
        ),
        Field("salt", HEX, "Random salt.", required=True, secret=True),
        Field(
            "digest",
            DIGEST,
            "SHA-256 of the salt's bytes followed by the secret.",
            required=True,
            secret=True,
        ),
    ),
)

CLIENT_ACCOUNT = checker.Table(
    "client_account",
    register.ClientAccount,
    (
        Field("name", NAME, "Name of the account.", required=True, unique=True),
        Field(
            "rate",
            TOKEN_RATE,
            "Tokens per second over all hosts.",
            required=True,
        ),
        Field(
            "burst",
            TOKEN_COUNT,
            "Tokens that may be used at once over all hosts.",
            required=True,
        ),
        Field("weight", kinds.Number(0.001, 1000.0), "Share in fair queueing."),
        Field(
            "priority",
            kinds.Integer(-100, 100),
            "Default priority of its requests; larger runs earlier.",
        ),
    ),
    tables=(("keys", KEY),),
)

CALL = checker.Table(
    "rules.call",
    register.CallRule,
    (
        Field(
            "service",
            NAME,
            "Plain service that the rule is for.",
            required=True,
            reference="service",
        ),
        Field("method", METHOD, "HTTP method.", required=True),
        Field("path", CALL_PATH, "Path below the prefix.", required=True),
        Field(
            "idempotent",
            kinds.Boolean(),
            "Whether the call may be repeated. Without it, GET, HEAD and "
            "OPTIONS may be and other methods may not.",
        ),
        Field(
            "open",
            kinds.Boolean(),
            "Whether the call needs no key. Only idempotent calls can be open.",
        ),
        Field(
            "max_attempts",
            kinds.Integer(1, 10),
            "Attempts of an idempotent call, the first one included.",
        ),
    ),
)

RULES = checker.Table(
    "rules",
    register.Rules,
    (
        Field(
            "scheduling_scope",
            ScopeName(Scope),
            "How far one pool scheduler reaches.",
        ),
        Field(
            "queue_timeout",
            kinds.Duration("0s", "1m"),
            "Longest wait for tokens of a client account.",
        ),
        Field(
            "max_body_bytes",
            kinds.Integer(1024, 2**30),
            "Largest request body in bytes.",
        ),
        Field(
            "retry_budget",
            kinds.Number(0.0, 1.0),
            "Retries per request, as a ratio over a sliding window.",
        ),
        Field(
            "unconfirmed_keys",
            kinds.Choice(register.UnconfirmedKeys),
            "What a host does with keys while it can't confirm its "
            "configuration.",
        ),
        Field(
            "unconfirmed_after",
            kinds.Duration("5s", "1d"),
            "Age of the last confirmation from which `unconfirmed_keys` holds.",
        ),
        Field(
            "freshness",
            kinds.Duration("2s", "1m"),
            "Age of the last confirmation from which new work waits for "
            "another one.",
        ),
        Field(
            "resume_secret",
            HEX,
            "Secret that signs resume tokens; required with a model service.",
            secret=True,
        ),
    ),
    tables=(("calls", CALL),),
    is_array=False,
)

TABLES = (ZONE, HOST, SERVICE, UPSTREAM, CLIENT_ACCOUNT, RULES)
