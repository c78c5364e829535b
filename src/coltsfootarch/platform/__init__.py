"""Adapter for the users' platform: translates its names and messages.

The platform says machine for host, zone for availability zone, tenant for
client account and runner for upstream. Decisions are made elsewhere.
"""
