"""Tests; clients and stand-ins run as greenlets in one process."""

from __future__ import annotations

from gevent import monkey

# This package is imported before any conftest.py, so that the standard library
# is patched before other modules import it. pytest-xdist uses native threads
# and starts processes; it fails if those modules are patched.
if not monkey.is_module_patched("socket"):
    monkey.patch_all(
        thread=False, queue=False, subprocess=False, os=False, signal=False
    )
