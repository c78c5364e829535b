"""Runs the product with a time of day that the soak test can step.

    python -m soak.stepped_clock OFFSET_FILE gateway --settings host.toml

The file holds the offset of the clock in seconds, positive if it is ahead. It
is read at each call, so that a change takes effect at once.
"""

from __future__ import annotations

import datetime
import pathlib
import sys

from coltsfootarch import clock as clocks
from coltsfootarch.console import application


class SteppedClock(clocks.SystemClock):
    """System clock whose time of day is shifted by the offset in a file.

    Attributes:
        path: File with the offset in seconds; no offset if it is missing.
    """

    path = pathlib.Path()

    def now(self) -> datetime.datetime:
        offset_s = float(self.path.read_text()) if self.path.exists() else 0.0
        return super().now() + datetime.timedelta(seconds=offset_s)


def main() -> None:
    """Replaces the system clock and runs the command line."""
    SteppedClock.path = pathlib.Path(sys.argv.pop(1))
    clocks.SystemClock = SteppedClock  # type: ignore[misc]
    application.main(prog_name="coltsfootarch")


if __name__ == "__main__":
    main()
