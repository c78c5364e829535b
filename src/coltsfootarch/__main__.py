"""Runs the command-line interface as `python -m coltsfootarch`."""

from __future__ import annotations

from coltsfootarch.console import application

if __name__ == "__main__":
    application.main(prog_name="coltsfootarch")
