"""Runs all benchmarks, with gevent's patches applied as in the daemons."""

from __future__ import annotations

import importlib

from gevent import monkey

if __name__ == "__main__":
    monkey.patch_all()
    importlib.import_module("benchmarks.runner").main()
