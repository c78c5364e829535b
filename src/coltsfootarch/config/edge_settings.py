"""Settings of an entry host on a platform with a metadata store.

They are read from a TOML document, and again on SIGHUP; changes outside
`limits` need a restart. `settings` has the settings of a gateway process,
which uses a table service instead.
"""

from __future__ import annotations

import datetime
from typing import NamedTuple

from coltsfootarch.config import checker
from coltsfootarch.config import kinds
from coltsfootarch.config import schema
from coltsfootarch.config import settings


class Limits(NamedTuple):
    """Limits over all hosts, set by the platform's users.

    Attributes:
        retry_ratio: Retries allowed per request of a service.
        retry_minimum: Retries allowed over all hosts in a window without
            requests.
        retry_window: Window of `retry_ratio` and `retry_minimum`.
        rate_slack: Tokens by which an account may exceed its limit within a
            window.
        key_confirmation: Time after the last confirmation of the policy for
            which keys are accepted; None to accept them without a limit.
        grace: Time between SIGTERM and the end of the process.
    """

    retry_ratio: float = 0.2
    retry_minimum: float = 10.0
    retry_window: datetime.timedelta = datetime.timedelta(seconds=10)
    rate_slack: float = 0.0
    key_confirmation: datetime.timedelta | None = None
    grace: datetime.timedelta = datetime.timedelta(seconds=8)


class EdgeSettings(NamedTuple):
    """Settings of one entry host.

    Attributes:
        name: Name of the host.
        availability_zone: Availability zone that it runs in.
        listen: Address ("ip:port") for callers.
        ready: Address for the load balancer's health checks.
        reports: Address for reports of other hosts, over UDP.
        store: Address of the platform's metadata store.
        metrics: Address on which metrics are served; empty for none.
        log_level: Least severe level that is logged.
        limits: Limits over all hosts.
    """

    name: str
    availability_zone: str
    listen: str
    ready: str
    reports: str
    store: str
    metrics: str = ""
    log_level: settings.LogLevel = settings.LogLevel.INFO
    limits: Limits = Limits()


Field = checker.Field
ADDRESS = kinds.Address()
NAME = kinds.String("[A-Za-z0-9._-]{1,100}", "1 to 100 letters, digits, . _ -")

EDGE = checker.Table(
    "edge",
    EdgeSettings,
    (
        Field("name", NAME, "Name of the host.", True),
        Field("availability_zone", schema.NAME, "Where the host runs.", True),
        Field("listen", ADDRESS, "Address for callers.", True),
        Field(
            "ready", ADDRESS, "Address for the load balancer's checks.", True
        ),
        Field("reports", ADDRESS, "Address for reports of other hosts.", True),
        Field("store", ADDRESS, "The platform's metadata store.", True),
        Field("metrics", ADDRESS, "Address on which metrics are served."),
        Field(
            "log_level",
            kinds.Choice(settings.LogLevel),
            "Least severe level that is logged.",
        ),
    ),
    is_array=False,
)

LIMITS = checker.Table(
    "limits",
    Limits,
    (
        Field("retry_ratio", kinds.Number(0, 10), "Retries per request."),
        Field(
            "retry_minimum",
            kinds.Number(0, 1e6),
            "Retries over all hosts in a window without requests.",
        ),
        Field(
            "retry_window",
            kinds.Duration("1s", "10m"),
            "Window of the retry budget.",
        ),
        Field(
            "rate_slack",
            kinds.Number(0, 1e12),
            "Tokens by which an account may exceed its limit.",
        ),
        Field(
            "key_confirmation",
            kinds.Duration("500ms", "1h"),
            "How long keys are accepted without confirmation.",
        ),
        Field(
            "grace",
            kinds.Duration("1s", "1h"),
            "Time between SIGTERM and the end of the process.",
        ),
    ),
    is_array=False,
)

TABLES = (EDGE, LIMITS)


def parse(text: str, file: str = "edge.toml") -> EdgeSettings:
    """Parses a settings document.

    Args:
        text: TOML text.
        file: Name of the document in error messages.

    Returns:
        The settings, with the defaults of this module filled in.

    Raises:
        checker.InvalidDocumentError: With every problem found.
    """
    document = checker.Checker(file)
    entries = document.read_document(document.load(text), TABLES)
    document.raise_problems()
    edge: EdgeSettings = entries["edge"]
    return edge._replace(limits=entries["limits"])
