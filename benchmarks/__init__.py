"""Measurements that `make bench` runs.

The standard library is patched for gevent, as in the daemons.
"""

from gevent import monkey

# The tests have patched a part by now; with threads patched as well, the
# workers of pytest-xdist fail with LoopExit.
if not monkey.is_module_patched("socket"):
    monkey.patch_all()
