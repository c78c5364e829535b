"""Command line that the stand-ins share."""

from __future__ import annotations

import argparse


def parser(description: str) -> argparse.ArgumentParser:
    """Returns a parser with the option `--address`.

    Args:
        description: What the stand-in does.
    """
    result = argparse.ArgumentParser(description=description)
    result.add_argument("--address", required=True, metavar="IP:PORT")
    return result
