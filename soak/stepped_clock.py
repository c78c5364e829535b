"""Runs the product with a time of day that the soak can set.

    python -m soak.stepped_clock OFFSET_FILE gateway --settings host.toml

The file holds the seconds by which the clock is ahead; it is read each time.
"""

from __future__ import annotations

import datetime
import pathlib
import sys

from coltsfootarch import clock as clocks
from coltsfootarch.console import application


class SteppedClock(clocks.SystemClock):
    """System clock whose time of day is ahead or behind."""

    path = pathlib.Path()

    def now(self) -> datetime.datetime:
        ahead = float(self.path.read_text()) if self.path.exists() else 0.0
        return super().now() + datetime.timedelta(seconds=ahead)


def main() -> None:
    """Replaces the system clock and runs the command line."""
    SteppedClock.path = pathlib.Path(sys.argv.pop(1))
    clocks.SystemClock = SteppedClock  # type: ignore[misc]
    application.main(prog_name="coltsfootarch")


if __name__ == "__main__":
    main()
