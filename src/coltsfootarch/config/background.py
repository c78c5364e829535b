"""Parses registers without blocking the other greenlets."""

from __future__ import annotations

import gevent

from coltsfootarch.config import parser
from coltsfootarch.config import register


def parse(text: str, file: str = "register.toml") -> register.Register:
    """Parses a register in a native thread; only the calling greenlet waits.

    Parsing the register of a large fleet takes several hundred milliseconds,
    several times the target for the time between tokens, so streams would
    stall if it blocked all greenlets.

    Args:
        text: TOML text.
        file: Name of the document in error messages.

    Returns:
        The register, as from `parser.parse`.

    Raises:
        InvalidDocumentError: With every problem found.
    """
    pool = gevent.get_hub().threadpool
    parsed: register.Register = pool.apply(parser.parse, (text, file))
    return parsed
