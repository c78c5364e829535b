"""Register documents for tests."""

from __future__ import annotations

import pathlib

EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"
PRAIRIE = (EXAMPLES / "prairie-mobility.toml").read_text()

SMALL = """\
[[availability_zone]]
name = "regina"
region = "prairie"

[[availability_zone]]
name = "brandon"
region = "prairie"

[[host]]
name = "regina-1"
availability_zone = "regina"

[[host]]
name = "brandon-1"
availability_zone = "brandon"

[[service]]
name = "loans"
kind = "plain"
path_prefix = "/loans"

[[client_account]]
name = "clinic"  # one of the small ones
rate = 100
burst = 1000
"""


def small(comment="first", account_keys=(), rules=""):
    """Returns a valid register with one client account.

    Args:
        comment: First line; documents with other comments are different
            versions with the same content.
        account_keys: Keys of the account.
        rules: TOML lines of `[rules]`.
    """
    keys = "".join(
        f'\n[[client_account.key]]\nkey_id = "{key.key_id}"\n'
        f'salt = "{key.salt}"\ndigest = "{key.digest}"\n'
        for key in account_keys
    )
    return f"# {comment}\n{SMALL}{keys}\n[rules]\n{rules}"
