"""Guards against key edits that change or lose other parts of the document."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies

from coltsfootarch import errors
from coltsfootarch.config import editor
from coltsfootarch.config import parser
from coltsfootarch.config import register
from tests.config import documents

NEW_KEY = register.Key("new1", "ab" * 16, "cd" * 32)
ACCOUNTS = sorted(parser.parse(documents.PRAIRIE).client_accounts)
TEXTS = {
    "unix": documents.PRAIRIE,
    "windows": documents.PRAIRIE.replace("\n", "\r\n"),
    "no-last-newline": documents.PRAIRIE.rstrip(),
    "accounts-last": documents.SMALL.replace('"clinic"', '"depot"'),
}


@pytest.mark.parametrize("name", sorted(TEXTS))
def test_removing_an_added_key_restores_the_text(name):
    text = TEXTS[name]

    changed = editor.add_key(text, "depot", NEW_KEY)

    assert NEW_KEY in parser.parse(changed).client_accounts["depot"].keys
    assert editor.remove_key(changed, NEW_KEY.key_id) == text


@given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(ACCOUNTS), strategies.booleans()
        ),
        max_size=8,
    )
)
def test_any_sequence_of_edits_keeps_comments_and_other_keys(steps):
    text = documents.PRAIRIE
    expected = {
        name: list(account.keys)
        for name, account in parser.parse(text).client_accounts.items()
    }
    for number, (account, adds) in enumerate(steps):
        if adds:
            key = NEW_KEY._replace(key_id=f"step{number}")
            text = editor.add_key(text, account, key)
            expected[account].append(key)
        elif expected[account]:
            text = editor.remove_key(text, expected[account].pop(0).key_id)

    found = parser.parse(text).client_accounts
    assert {name: list(found[name].keys) for name in found} == expected
    comments = [line for line in documents.PRAIRIE.split("\n") if "#" in line]
    assert [line for line in text.split("\n") if "#" in line] == comments


@pytest.mark.parametrize(
    "text",
    [
        documents.SMALL.replace("[[client_account]]", "[[ 'client_account' ]]"),
        'client_account = [{name = "clinic", rate = 1, burst = 1}]',
        'a = """\n[[client_account]]\nname = "clinic"\n"""\n'
        '[["client_account"]]\nname = "clinic"',
    ],
)
def test_text_in_another_notation_is_refused_and_not_damaged(text):
    with pytest.raises(errors.ConfigurationError, match="by hand"):
        editor.add_key(text, "clinic", NEW_KEY)


def test_unknown_account_and_key_are_refused():
    with pytest.raises(errors.ConfigurationError, match="accepted: clinic"):
        editor.add_key(documents.SMALL, "nobody", NEW_KEY)
    with pytest.raises(editor.UnknownKeyIdError):
        editor.remove_key(documents.SMALL, "none")
