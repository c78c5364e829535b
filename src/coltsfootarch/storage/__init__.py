"""Interfaces and HTTP clients of the services that a gateway process uses.

These are the table service, the object store and the list of hosts. `platform`
adapts entry hosts to another platform, which has a metadata store instead.
"""
