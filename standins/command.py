"""Command line options shared by the stand-ins."""

from __future__ import annotations

import argparse


def parser(description: str) -> argparse.ArgumentParser:
    """Returns an argument parser with the required option `--address`.

    Args:
        description: Description of the stand-in for the help text.
    """
    result = argparse.ArgumentParser(description=description)
    result.add_argument("--address", required=True, metavar="IP:PORT")
    return result
