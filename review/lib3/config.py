"""Configurations like those that the operator of a small deployment writes."""

from __future__ import annotations

from typing import Any

ROUTE_HOST = "sheets.example"
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 4194304,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}


def route(name: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
    """Returns a route whose path prefix is its name."""
    return {
        "name": name,
        "host": ROUTE_HOST,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 1200,
        "target_latency_ms": 150,
        "priority": 2,
        "service": service,
        "max_attempts": 1,
        **more,
    }


def plain_service(name: str) -> dict[str, Any]:
    """Returns a service without model."""
    return {"name": name, "max_connections": 100}


def tenant(
    name: str, key: str, rate_per_s: float = 0, burst: float = 0
) -> dict[str, Any]:
    """Returns a tenant with one key; without a rate it has no limit."""
    return {
        "name": name,
        "api_keys": [key],
        "rate_per_s": rate_per_s,
        "burst": burst,
        "plain_tokens": 200,
    }


def configuration(
    version: int,
    routes: list[dict[str, Any]],
    services: list[dict[str, Any]],
    tenants: list[dict[str, Any]],
) -> dict[str, Any]:
    """Returns a configuration."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "tenants": tenants,
        "limits": LIMITS,
    }
