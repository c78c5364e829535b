"""Settings of one gateway process, read from a TOML document.

They belong to one process and need a restart to change, unlike the register,
which is committed for all hosts.
"""

from __future__ import annotations

import datetime
import enum
from typing import NamedTuple

from coltsfootarch import results
from coltsfootarch.config import checker
from coltsfootarch.config import kinds
from coltsfootarch.config import schema

# A lease must outlast one failed renewal, so that a second one can succeed.
MIN_RENEWALS_PER_LEASE = 2


class LogLevel(enum.Enum):
    """Least severe level that is logged."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class Lease(NamedTuple):
    """Timing of host sessions.

    Attributes:
        renew_interval: Time between two renewals.
        validity: Time for which a session is valid, counted from the sending
            of its last renewal.
    """

    renew_interval: datetime.timedelta = datetime.timedelta(seconds=2)
    validity: datetime.timedelta = datetime.timedelta(seconds=6)


class Queue(NamedTuple):
    """Limits of waiting requests and connections on this host.

    Attributes:
        max_requests: Maximum number of waiting requests.
        max_requests_per_account: Maximum number of waiting requests of one
            client account.
        max_connections: Maximum number of open connections of callers.
    """

    max_requests: int = 512
    max_requests_per_account: int = 128
    max_connections: int = 2048


class Settings(NamedTuple):
    """Settings of one gateway process.

    Attributes:
        name: Name of the host in the register.
        availability_zone: Availability zone that it runs in.
        listen: Address ("ip:port") for callers.
        peer: Address ("ip:port") for other hosts.
        table_service: Address of the platform's table service.
        object_store: Address of the platform's object store.
        host_list: Address of the platform's list of hosts.
        statsd: Address of a statsd daemon; empty for no metrics.
        log_level: Least severe level that is logged.
        lease: Timing of host sessions.
        queue: Limits of waiting requests and connections.
    """

    name: str
    availability_zone: str
    listen: str
    peer: str
    table_service: str
    object_store: str
    host_list: str
    statsd: str = ""
    log_level: LogLevel = LogLevel.INFO
    lease: Lease = Lease()
    queue: Queue = Queue()


Field = checker.Field
ADDRESS = kinds.Address()
COUNT = kinds.Integer(1, 1_000_000)

LEASE = checker.Table(
    "lease",
    Lease,
    (
        Field(
            "renew_interval",
            kinds.Duration("100ms", "1m"),
            "Checked, not used yet: renewals come every 2 s.",
        ),
        Field(
            "validity",
            kinds.Duration("300ms", "10m"),
            "Checked, not used yet: a session is valid for 6 s. More than "
            "twice `renew_interval` and the same on all hosts.",
        ),
    ),
    is_array=False,
)

QUEUE = checker.Table(
    "queue",
    Queue,
    (
        Field(
            "max_requests",
            COUNT,
            "Checked, not used yet: requests that wait at once on this host.",
        ),
        Field(
            "max_requests_per_account",
            COUNT,
            "Checked, not used yet: requests of one client account that wait "
            "at once on this host.",
        ),
        Field("max_connections", COUNT, "Connections of callers at once."),
    ),
    is_array=False,
)

GATEWAY = checker.Table(
    "gateway",
    Settings,
    (
        Field("name", schema.NAME, "Name of the host in the register.", True),
        Field(
            "availability_zone",
            schema.NAME,
            "Availability zone that the host runs in.",
            True,
        ),
        Field("listen", ADDRESS, "Address for callers.", True),
        Field("peer", ADDRESS, "Address for other hosts.", True),
        Field("table_service", ADDRESS, "The platform's table service.", True),
        Field("object_store", ADDRESS, "The platform's object store.", True),
        Field("host_list", ADDRESS, "The platform's list of hosts.", True),
        Field("statsd", ADDRESS, "A statsd daemon; no metrics without it."),
        Field(
            "log_level",
            kinds.Choice(LogLevel),
            "Least severe level that is logged.",
        ),
    ),
    is_array=False,
)

TABLES = (GATEWAY, LEASE, QUEUE)


def parse(text: str, file: str = "gateway.toml") -> Settings:
    """Parses a settings document.

    Args:
        text: TOML text.
        file: Name of the document in error messages.

    Returns:
        The settings, with the defaults of this module filled in.

    Raises:
        InvalidDocumentError: With every problem found.
    """
    document = checker.Checker(file)
    entries = document.read_document(document.load(text), TABLES)
    lease: Lease | None = entries["lease"]
    if lease and (
        lease.validity <= MIN_RENEWALS_PER_LEASE * lease.renew_interval
    ):
        document.report(
            results.WRONG_VALUE,
            "[lease]",
            "validity",
            "must be more than twice renew_interval",
        )
    document.raise_problems()
    settings: Settings = entries["gateway"]
    return settings._replace(lease=entries["lease"], queue=entries["queue"])
