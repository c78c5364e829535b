"""Tests; clients and stand-ins share one process on gevent, as the daemons."""

from __future__ import annotations

from gevent import monkey

# The package is imported before any conftest, so the patches come first.
# pytest-xdist runs native threads and starts processes, and it fails with these
# parts patched.
if not monkey.is_module_patched("socket"):
    monkey.patch_all(
        thread=False, queue=False, subprocess=False, os=False, signal=False
    )
