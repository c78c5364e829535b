"""The commands `coltsfootarch key ...`."""

from __future__ import annotations

import click

from coltsfootarch.console import output
from coltsfootarch.console import platform
from coltsfootarch.console import waiting
from coltsfootarch.keys import operations


@click.group()
def key() -> None:
    """Issue and withdraw the keys of client accounts.

    Both edit the register and take effect like `config apply`.
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

    The key is printed only now and isn't stored; send it over a secure channel.
    """
    repository = platform.open_repository(address)
    issue = operations.KeyManager(repository, author).issue(account)
    extra_members = {
        "account": account,
        "key_id": issue.issued.key.key_id,
        "key": issue.issued.plaintext,
    }
    if not as_json:
        click.echo(f"key: {issue.issued.plaintext}")
    waiting.wait_and_report(
        ctx, repository, issue.version, wait, as_json, extra_members
    )


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

    A host stops accepting the key when the new version is in force there;
    `accepted` means that it is in force on all hosts.
    """
    check_key_id(key_id)
    repository = platform.open_repository(address)
    version = operations.KeyManager(repository, author).withdraw(key_id)
    extra_members = {"key_id": key_id}
    waiting.wait_and_report(
        ctx, repository, version, wait, as_json, extra_members
    )


def check_key_id(key_id: str) -> None:
    """Checks that a key id isn't a whole key.

    A whole key would appear in error messages and in the audit trail.

    Raises:
        click.BadParameter: `key_id` contains an underscore.
    """
    if "_" in key_id:
        raise click.BadParameter(
            "give only the key id, the part between the underscores"
        )
