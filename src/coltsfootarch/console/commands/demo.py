"""The command `coltsfootarch demo`."""

from __future__ import annotations

import json
import secrets
from typing import TYPE_CHECKING

import click
import urllib3

if TYPE_CHECKING:
    from collections.abc import Iterator

PROMPT = (
    "Referral: 81 years, hip surgery on Monday, lives alone, needs a walking "
    "frame before discharge on Friday."
)
MAX_TOKENS = 24
TIMEOUT_SECONDS = 10


@click.command()
@click.option(
    "--gateway",
    "url",
    default="http://127.0.0.1:18080",
    show_default=True,
    help="URL of an entry host.",
)
@click.option("--key", required=True, help="Key of a client account.")
@click.option("--model", default="loan-summary", show_default=True)
@click.option("--prefix", default="/loans", show_default=True)
def demo(url: str, key: str, model: str, prefix: str) -> None:
    """Send a streamed completion and a booking to a running gateway.

    `make demo` starts a gateway.
    """
    http = urllib3.PoolManager(timeout=TIMEOUT_SECONDS, retries=False)
    headers = {"Authorization": f"Bearer {key}"}
    click.echo(f"POST {url}/v1/completions")
    for line in stream(http, url, headers, model):
        click.echo(f"  {line}")
    book(http, url, headers, prefix)


def stream(
    http: urllib3.PoolManager, url: str, headers: dict[str, str], model: str
) -> Iterator[str]:
    """Requests a streamed completion and yields its lines."""
    body = {
        "model": model,
        "prompt": PROMPT,
        "max_tokens": MAX_TOKENS,
        "stream": True,
    }
    response = http.request(
        "POST",
        f"{url}/v1/completions",
        body=json.dumps(body),
        headers=headers,
        preload_content=False,
    )
    check(response)
    pending = b""
    for chunk in response.stream():
        pending += chunk
        *lines, pending = pending.split(b"\n")
        yield from (line.decode()[:100] for line in lines if line)


def book(
    http: urllib3.PoolManager, url: str, headers: dict[str, str], prefix: str
) -> None:
    """Sends a booking twice with the same idempotency key."""
    booking = secrets.token_hex(4)
    for _ in range(2):
        response = http.request(
            "POST",
            f"{url}{prefix}/bookings",
            body=json.dumps({"booking_id": booking}),
            headers={
                **headers,
                "Idempotency-Key": booking,
                "Content-Type": "application/json",
            },
        )
        check(response)
        replayed = response.headers.get("Idempotency-Replayed", "false")
        click.echo(f"POST {url}{prefix}/bookings")
        click.echo(f"  {response.status} replayed={replayed}")
        click.echo(f"  {response.data.decode().strip()}")


def check(response: urllib3.BaseHTTPResponse) -> None:
    """Checks that a response has a success status.

    Raises:
        click.ClickException: The gateway refused the request.
    """
    if response.status >= 300:
        text = response.data.decode(errors="replace")
        raise click.ClickException(f"{response.status}: {text}")
