"""Guards against streams that stall while a large register is parsed."""

from __future__ import annotations

import threading

import gevent
import pytest

from coltsfootarch.config import background
from coltsfootarch.config import checker
from coltsfootarch.config import parser
from tests.config import documents

TIME_LIMIT = 10.0  # Seconds; reached only if parsing blocks other greenlets.


def test_other_greenlets_run_while_a_register_is_parsed(monkeypatch):
    released = threading.Event()
    monkeypatch.setattr(
        parser, "parse", lambda text, file: released.wait(TIME_LIMIT)
    )
    gevent.spawn(released.set)

    assert background.parse("") is True


def test_result_and_errors_are_those_of_the_parser():
    text = documents.small()

    assert background.parse(text) == parser.parse(text)
    with pytest.raises(checker.InvalidDocumentError, match=r"fleet\.toml"):
        background.parse("x = 1", "fleet.toml")
