"""The command `coltsfootarch status`."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import click
import urllib3

from coltsfootarch import errors
from coltsfootarch.config import kinds
from coltsfootarch.console import output
from coltsfootarch.console import platform

if TYPE_CHECKING:
    from coltsfootarch.forwarding import host_status

TIMEOUT_S = 5.0


def fetch(address: str) -> host_status.HostStatus:
    """Returns the status of the host with a metrics address.

    Raises:
        errors.HostListUnavailableError: The host did not answer with a status.
    """
    url = f"http://{address}/status"
    try:
        with urllib3.PoolManager(timeout=TIMEOUT_S, retries=False) as manager:
            answer = manager.request("GET", url)
        if answer.status != 200:
            raise errors.HostListUnavailableError(
                f"{url} answered with status {answer.status}; expected 200"
            )
        status: host_status.HostStatus = json.loads(answer.data)
        return status
    except (urllib3.exceptions.HTTPError, ValueError) as error:
        raise errors.HostListUnavailableError(
            f"no status from {url}: {error}; give the address `metrics` of "
            "the host's settings"
        ) from error


def print_status(status: host_status.HostStatus) -> None:
    """Prints a status as text."""
    policy = status["policy"]
    behind = policy["newest_version"] > policy["version"]
    click.echo(
        f"{status['host']} in {status['availability_zone']}: "
        f"{status['role']}"
        + (f" of {status['relay']}" if status["relay"] else "")
    )
    click.echo(
        f"policy {policy['version']}"
        + (f" (newest known {policy['newest_version']})" if behind else "")
        + f", confirmed {policy['confirmed_age_s']} s ago"
    )
    click.echo(
        f"registrations read {status['registrations_age_s']} s ago; "
        f"{status['reached']} of {status['expected']} hosts reached, "
        f"limits used at {status['limit_share']}"
    )
    click.echo()
    output.print_table(
        ("zone", "host", "role", "hosts", "age s"),
        [
            (
                peer["availability_zone"],
                peer["name"],
                peer["role"],
                peer["hosts"],
                peer["age_s"],
            )
            for peer in status["peers"]
        ],
    )
    click.echo()
    output.print_table(
        ("service", "upstream", "stage", "state", "requests", "tokens"),
        [
            (
                upstream["service"],
                upstream["id"],
                upstream["stage"] or "-",
                describe_state(upstream),
                upstream["requests"],
                upstream["tokens"],
            )
            for upstream in status["upstreams"]
        ],
    )
    if status["accounts"]:
        click.echo()
        output.print_table(
            ("account", "tokens left", "tokens admitted here"),
            [tuple(account.values()) for account in status["accounts"]],
        )
    for crash in status["crashed_parts"]:
        click.echo(
            f"\n{crash['service']}: {crash['engines']} engines crashed before "
            f"prompts with {', '.join(crash['parts'])} generated"
        )


def describe_state(upstream: host_status.UpstreamStatus) -> str:
    """Returns whether an upstream gets requests."""
    if upstream["ejected"]:
        return "ejected"
    return "ready" if upstream["ready"] else "draining"


@click.command()
@click.argument("host", type=platform.KindParamType(kinds.Address(), "ip:port"))
@output.json_option
def status(host: str, as_json: bool) -> None:
    """Show what the running HOST believes about its fleet.

    HOST is the address `metrics` of the host's settings. This works for hosts
    with settings `[edge]`.
    """
    fetched = fetch(host)
    if as_json:
        output.print_json(fetched)
        return
    print_status(fetched)
