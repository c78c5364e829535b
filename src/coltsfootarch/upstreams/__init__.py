"""Clients of model engines and plain services, and supervision of engines.

`gateway` decides which upstream gets a request and uses these clients to send
it.
"""
