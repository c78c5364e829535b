"""Tests the exit codes and the output of the commands."""

from __future__ import annotations

import json
import subprocess
import sys

import pytest
from click import testing

from coltsfootarch import results
from coltsfootarch.config import repository
from coltsfootarch.console import application
from coltsfootarch.console import platform
from tests.config import documents
from tests.config import fleets

ADDRESS = "127.0.0.1:9"


@pytest.fixture
def fleet(manual_clock, monkeypatch):
    fleet = fleets.Fleet(manual_clock)
    monkeypatch.setattr(platform, "open_tables", lambda _: fleet.client)
    monkeypatch.setattr(platform, "open_clock", lambda: manual_clock)
    monkeypatch.setenv("COLTSFOOTARCH_TABLE_SERVICE", ADDRESS)
    monkeypatch.setenv("COLTSFOOTARCH_AUTHOR", "eve")
    return fleet


def run(*arguments, **options):
    return testing.CliRunner().invoke(
        application.main, [str(part) for part in arguments], **options
    )


@pytest.fixture
def file(tmp_path):
    path = tmp_path / "register.toml"
    path.write_text(documents.small("edited"))
    return path


def test_check_accepts_an_example_register():
    result = run("config", "check", documents.EXAMPLES / "tierra-segura.toml")

    assert (result.exit_code, "7 hosts" in result.output) == (0, True)


def test_check_prints_all_errors_and_exits_with_1(file):
    text = file.read_text().replace("rate = 100", "rate = -1")
    file.write_text(text.replace('kind = "plain"', "kind = 1"))

    result = run("config", "check", file)

    assert result.exit_code == 1
    assert [line[:4] for line in result.stderr.splitlines()] == ["6002", "6003"]


def test_apply_prints_accepted(fleet, file):
    fleet.renew("regina", "regina-1", 2)

    result = run("config", "apply", file, "--base", 1)

    assert result.output == "committed version 2\naccepted\n"
    assert result.exit_code == 0


def test_apply_names_the_hosts_that_it_waits_for(fleet, file):
    fleet.renew("brandon", "brandon-1", 1)
    start = fleet.clock.monotonic()

    result = run("config", "apply", file, "--base", 1)

    assert result.output.splitlines() == [
        "committed version 2",
        "committed, waiting for zone brandon (hosts brandon-1)",
    ]
    assert result.exit_code == 3
    assert fleet.clock.monotonic() - start == pytest.approx(30)


def test_apply_of_an_outdated_file_names_the_newer_version(fleet, file):
    fleet.repository.commit(documents.small("other"), "bob", "", 1)

    result = run("config", "apply", file, "--base", 1)

    assert result.exit_code == 1
    assert "6007 version-conflict: version 2 by bob" in result.stderr


def test_unreachable_platform_exits_with_4(fleet):
    fleet.client.cut = True

    result = run("config", "history")

    assert result.exit_code == 4
    assert result.stderr.startswith("7001 table-unavailable")


@pytest.mark.parametrize(
    "arguments",
    [
        ["config", "apply"],
        ["config", "history", "--table-service", "localhost:1"],
        ["audit", "--since", "5"],
        ["key", "withdraw", "cfa_a_secret"],
        ["codes", "1"],
    ],
)
def test_wrong_usage_exits_with_2(fleet, arguments):
    assert run(*arguments).exit_code == 2


def test_show_diff_history_and_status(fleet, file):
    shown = run("config", "show")
    assert shown.stdout == fleet.repository.read(1).document
    assert shown.stderr == "version 1 by ana\n"
    assert "+# edited" in run("config", "diff", file).output
    history = json.loads(run("config", "history", "--json").output)
    assert [entry["author"] for entry in history] == ["ana"]
    fleet.renew("brandon", "brandon-1", 0)
    status = run("config", "status", "--json")
    assert status.exit_code == 3
    assert json.loads(status.output)["accepted"] is False
    assert "zone brandon (hosts brandon-1)" in run("config", "status").output


def test_forget_hosts_asks_for_confirmation(fleet):
    fleet.renew("brandon", "brandon-1", 0)
    arguments = ["config", "forget-hosts", "--zone", "brandon"]

    assert run(*arguments, input="n\n").exit_code == 1
    assert fleet.client.scan("hosts", "")
    assert "forgot brandon-1" in run(*arguments, "--yes").output
    assert not fleet.client.scan("hosts", "")


def test_key_is_issued_withdrawn_and_audited(fleet):
    issued = json.loads(run("key", "issue", "clinic", "--json").output)
    result = run("key", "withdraw", issued["key_id"])

    assert result.output == "committed version 3\naccepted\n"
    trail = run("audit").output
    assert "key.withdraw" in trail
    assert issued["key"] not in trail + fleet.repository.read(2).document
    assert run("key", "withdraw", issued["key_id"]).exit_code == 1


def test_codes_lists_every_code():
    rows = json.loads(run("codes", "--json").output)

    assert [row["number"] for row in rows] == [
        code.number for code in results.all_codes()
    ]


def test_config_help_keeps_the_line_breaks_of_its_example():
    lines = run("config", "--help").output.splitlines()

    assert "    coltsfootarch config check register.toml" in lines


def test_show_without_a_commit_explains_the_first_commit(fleet):
    fleet.shared.rows.clear()

    result = run("config", "show")

    assert (result.exit_code, "--base 0" in result.stderr) == (1, True)


def test_check_imports_neither_gevent_nor_the_protocol():
    program = (
        "import sys; from coltsfootarch.console import application as a;"
        f"a.main(['config', 'check', {str(documents.EXAMPLES)!r}"
        "'/prairie-mobility.toml'], standalone_mode=False);"
        "print([n for n in ('gevent', 'zmq', 'urllib3') if n in sys.modules])"
    )

    completed = subprocess.run(
        [sys.executable, "-c", program],
        capture_output=True,
        text=True,
        check=True,
        env={"PYTHONPATH": ":".join(sys.path)},
        timeout=60,
    )

    assert completed.stdout.splitlines()[-1] == "[]"


def test_repository_is_opened_on_the_given_address(monkeypatch):
    addresses = []
    monkeypatch.setattr(platform, "open_tables", addresses.append)

    opened = platform.open_repository(ADDRESS)

    assert isinstance(opened, repository.ConfigRepository)
    assert addresses == [ADDRESS]
