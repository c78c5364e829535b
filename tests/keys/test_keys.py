"""Guards against keys accepted for a wrong account or after withdrawal."""

from __future__ import annotations

import tomllib

import pytest

from coltsfootarch import errors
from coltsfootarch import results
from coltsfootarch.config import editor
from coltsfootarch.config import parser
from coltsfootarch.config import versions
from coltsfootarch.keys import authenticator
from coltsfootarch.keys import key_format
from coltsfootarch.keys import keyring as keyrings
from coltsfootarch.keys import operations
from tests.config import documents
from tests.config import fleets

REFUSE = 'unconfirmed_keys = "refuse"\nunconfirmed_after = "30s"'


def code_of(call, *arguments):
    with pytest.raises(errors.RefusedError) as caught:
        call(*arguments)
    return caught.value.code


def test_issued_key_authenticates_its_account_only(manual_clock):
    fleet = fleets.Fleet(manual_clock)
    keyring = keyrings.Keyring(parser.parse(fleet.repository.read(1).document))

    caller = keyring.authenticate(fleet.header)

    assert caller == ("clinic", fleet.issued.key.key_id)
    assert fleet.issued.plaintext not in fleet.repository.read(1).document
    other = key_format.issue("clinic")
    mixed = (
        f"cfa_{fleet.issued.key.key_id}_{other.plaintext.rpartition('_')[2]}"
    )
    for wrong in (other.plaintext, mixed, fleet.issued.plaintext + "0", "x"):
        code = code_of(keyring.authenticate, f"Bearer {wrong}")
        assert code == results.INVALID_KEY


@pytest.mark.parametrize(
    "header", [None, "", "Bearer", "Bearer  ", "Basic abc", "cfa_a_b"]
)
def test_header_without_a_key_is_missing(header):
    keyring = keyrings.Keyring(parser.parse(documents.SMALL))

    assert code_of(keyring.authenticate, header) == results.MISSING_KEY


def test_key_with_unknown_id_is_refused_even_if_its_secret_matches(monkeypatch):
    monkeypatch.setattr(key_format, "is_match", lambda key, secret: True)
    keyring = keyrings.Keyring(parser.parse(documents.SMALL))

    code = code_of(
        keyring.authenticate, f"Bearer {key_format.issue('a').plaintext}"
    )

    assert code == results.INVALID_KEY


def test_demo_keys_authenticate_in_the_examples():
    demo = tomllib.loads((documents.EXAMPLES / "demo-keys.toml").read_text())
    for name, accounts in demo.items():
        text = (documents.EXAMPLES / f"{name}.toml").read_text()
        register = parser.parse(text)
        keyring = keyrings.Keyring(register)
        assert accounts.keys() == register.client_accounts.keys()
        for account, key in accounts.items():
            assert keyring.authenticate(f"Bearer {key}").account == account


def withdraw(fleet):
    manager = operations.KeyManager(fleet.repository, "ana")
    return manager.withdraw(fleet.issued.key.key_id)


@pytest.mark.matrix(
    invariant=3,
    fault="key withdrawn while connected",
    step="authentication",
    fails_without="key ring follows the register in force",
)
@pytest.mark.parametrize("rules", ["", REFUSE])
def test_withdrawn_key_is_refused_after_the_next_poll(manual_clock, rules):
    fleet = fleets.Fleet(manual_clock, rules)
    _, tracker = fleet.host()
    auth = authenticator.Authenticator(tracker)
    auth.authenticate(fleet.header)
    withdraw(fleet)
    fleet.pass_time(2)
    tracker.tick()

    assert code_of(auth.authenticate, fleet.header) == results.INVALID_KEY
    assert not auth.is_valid(fleet.issued.key.key_id)


@pytest.mark.matrix(
    invariant=3,
    fault="key withdrawn, pause and resume",
    step="authentication",
    fails_without="confirmation before authentication",
)
def test_paused_host_refuses_a_withdrawn_key_at_once(manual_clock):
    fleet = fleets.Fleet(manual_clock)
    _, tracker = fleet.host()
    auth = authenticator.Authenticator(tracker)
    auth.authenticate(fleet.header)
    withdraw(fleet)
    fleet.pass_time(60)

    assert code_of(auth.authenticate, fleet.header) == results.INVALID_KEY


@pytest.mark.matrix(
    invariant=3,
    fault="key withdrawn, zone partition",
    step="authentication",
    fails_without="rule for unconfirmed keys",
)
def test_partitioned_zone_that_refuses_accepts_no_keys_after_the_limit(
    manual_clock,
):
    fleet = fleets.Fleet(manual_clock, REFUSE)
    client, tracker = fleet.host()
    auth = authenticator.Authenticator(tracker)
    client.cut = True
    withdraw(fleet)
    fleet.pass_time(29)
    assert auth.authenticate(fleet.header).account == "clinic"
    fleet.pass_time(2)

    assert code_of(auth.authenticate, fleet.header) == results.KEY_UNCONFIRMED


@pytest.mark.matrix(
    invariant=3,
    fault="key withdrawn, zone partition",
    step="acceptance",
    fails_without="session rows hold up acceptance",
)
def test_partitioned_zone_that_serves_delays_acceptance_of_a_withdrawal(
    manual_clock,
):
    fleet = fleets.Fleet(manual_clock)
    client, tracker = fleet.host()
    auth = authenticator.Authenticator(tracker)
    fleet.renew("brandon", "brandon-1", tracker.version)
    client.cut = True
    withdraw(fleet)
    fleet.pass_time(3600)

    assert auth.authenticate(fleet.header).account == "clinic"
    register = parser.parse(fleet.repository.read(2).document)
    assert not fleet.repository.status(register).accepted


@pytest.mark.matrix(
    invariant=3,
    fault="concurrent operators",
    step="withdrawal",
    fails_without="repetition after a conflict",
)
@pytest.mark.parametrize("races", [1, 4])
def test_withdrawal_is_repeated_after_concurrent_commits(manual_clock, races):
    fleet = fleets.Fleet(manual_clock)
    client, repository = fleet.operator()
    races_left = [races]

    def race(*_):
        if races_left[0]:
            races_left[0] -= 1
            operations.KeyManager(fleet.repository, "bob").issue("clinic")

    client.before_transact = race
    key_id = fleet.issued.key.key_id
    version = operations.KeyManager(repository, "eve").withdraw(key_id)

    document = fleet.repository.read(version).document
    keys = parser.parse(document).client_accounts["clinic"].keys
    assert len(keys) == races
    assert key_id not in {key.key_id for key in keys}


def test_edit_gives_up_after_five_conflicts(manual_clock):
    fleet = fleets.Fleet(manual_clock)
    client, repository = fleet.operator()
    client.before_transact = lambda *_: operations.KeyManager(
        fleet.repository, "bob"
    ).issue("clinic")

    with pytest.raises(versions.VersionConflictError, match="by bob"):
        operations.KeyManager(repository, "eve").issue("clinic")
    assert fleet.repository.head() == 6


def test_second_withdrawal_and_audit_name_the_key_id_only(manual_clock):
    fleet = fleets.Fleet(manual_clock)
    start = manual_clock.now()
    issue = operations.KeyManager(fleet.repository, "ana").issue("clinic")
    withdraw(fleet)

    with pytest.raises(editor.UnknownKeyIdError):
        withdraw(fleet)
    entries = fleet.repository.audit.read(start)
    assert [entry.action for entry in entries][1:] == [
        "key.issue",
        "key.withdraw",
    ]
    secret = issue.issued.plaintext.rpartition("_")[2]
    assert issue.issued.key.key_id in entries[1].detail
    assert secret not in str(entries)
