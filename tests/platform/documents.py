"""Configurations and registrations as the platform stores them."""

from __future__ import annotations

import msgspec

KEY = "key-of-acme"


def route(name, prefix, kind, service, **changes):
    """Returns an entry of `routes`, with other fields changed or added."""
    return {
        "name": name,
        "host": "api.example",
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": 4000,
        "target_latency_ms": 900,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        "public": False,
        "sticky": kind == "streaming",
        "resumable": False,
        "gap_target_ms": 300,
        **changes,
    }


def configuration(version=1, **changes):
    """Returns a configuration with one route of each kind, and variants."""
    document = {
        "version": version,
        "routes": [
            route("read", "/read/", "idempotent", "app"),
            route("book", "/book/", "non_idempotent", "app", max_attempts=1),
            route("write", "/write/", "streaming", "llm", resumable=True),
            route("once", "/once/", "streaming", "llm", max_attempts=1),
            route("open", "/open/", "idempotent", "app", public=True),
        ],
        "services": [
            {
                "name": "llm",
                "health_path": "/healthz",
                "max_connections": 100,
                "engine": {
                    "slots": 8,
                    "kv_capacity_tokens": 10000,
                    "kv_token_bytes": 18432,
                    "kv_hold_s": 0.5,
                    "hold_ms": 2000.0,
                },
            },
            {"name": "app", "health_path": "/healthz", "max_connections": 50},
        ],
        "limits": {
            "max_header_bytes": 4096,
            "max_body_bytes": 65536,
            "header_timeout_ms": 1000,
            "idle_timeout_ms": 5000,
        },
        "tenants": [
            {
                "name": "acme",
                "api_keys": [KEY],
                "priority": 1,
                "unit": "token_stream",
                "plain_tokens": 100,
                "rate_per_s": 100000,
                "burst": 100000,
            }
        ],
    }
    document.update(changes)
    return document


def encoded(document):
    """Returns a document as the store holds it, in JSON."""
    return msgspec.json.encode(document)


def registration(**changes):
    """Returns a runner's registration, with fields changed or added."""
    return {
        "service": "app",
        "address": "127.0.0.1:8080",
        "zone": "north",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "cold_remaining_ms": 0,
        "sequence": 0,
        **changes,
    }
