"""`coltsfootarch key`."""

from __future__ import annotations

import click

from coltsfootarch.console import output
from coltsfootarch.console import platform
from coltsfootarch.console import waiting
from coltsfootarch.keys import operations


@click.group()
def key() -> None:
    """Issue and withdraw callers' keys.

    Both are edits of the register and take effect like `config apply`.
    """


@key.command()
@click.argument("account")
@platform.table_service_option
@platform.author_option
@waiting.wait_option
@output.json_option
@click.pass_context
def issue(
    ctx: click.Context,
    account: str,
    address: str,
    author: str,
    wait: waiting.Wait,
    as_json: bool,
) -> None:
    """Issue a new key for the client account ACCOUNT.

    The key is printed once and stored nowhere; pass it on by a safe way.
    """
    repository = platform.open_repository(address)
    issue = operations.KeyManager(repository, author).issue(account)
    facts = {
        "account": account,
        "key_id": issue.issued.key.key_id,
        "key": issue.issued.plaintext,
    }
    if not as_json:
        click.echo(f"key: {issue.issued.plaintext}")
    waiting.report(ctx, repository, issue.version, wait, as_json, facts)


@key.command()
@click.argument("key_id")
@platform.table_service_option
@platform.author_option
@waiting.wait_option
@output.json_option
@click.pass_context
def withdraw(
    ctx: click.Context,
    key_id: str,
    address: str,
    author: str,
    wait: waiting.Wait,
    as_json: bool,
) -> None:
    """Withdraw the key with KEY_ID, the part between the underscores.

    The key stops working on each host when the version is in force there;
    `accepted` means on all of them.
    """
    check_key_id(key_id)
    repository = platform.open_repository(address)
    version = operations.KeyManager(repository, author).withdraw(key_id)
    facts = {"key_id": key_id}
    waiting.report(ctx, repository, version, wait, as_json, facts)


def check_key_id(key_id: str) -> None:
    """Refuses a whole key, which would end up in errors and the audit trail.

    Raises:
        click.BadParameter: The text contains an underscore.
    """
    if "_" in key_id:
        raise click.BadParameter(
            "give only the key id, the part between the underscores"
        )
