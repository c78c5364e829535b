"""Measurements that `make bench` runs.

The standard library is patched for gevent, as in the daemons.
"""

from gevent import monkey

monkey.patch_all()
