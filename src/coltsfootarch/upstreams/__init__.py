"""Clients of model engines and plain services, and supervision of engines.

The gateway calls upstreams through this package; what it calls them for is
decided in `gateway`.
"""
