"""Adapter for the users' platform with a metadata store.

Translates the platform's names and messages into those of this project:
machine into host, zone into availability zone, tenant into client account and
runner into upstream. It takes no decisions, and no other package knows the
platform's names. `storage` has the clients of the table service, object store
and host list that a gateway process uses instead.
"""
