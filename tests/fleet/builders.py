"""Builders of routes, services, policies and upstreams for tests."""

from __future__ import annotations

from coltsfootarch.fleet import policy
from coltsfootarch.fleet import upstreams

ENGINE = policy.EngineLimits(8, 10000, 18432, 0.5)
LLM = policy.Service("llm", 100, ENGINE)
APP = policy.Service("app", 50)


def route(**changes):
    base = policy.Route(
        "read",
        "api.example",
        "/read/",
        policy.Repeat.IDEMPOTENT,
        4.0,
        0.9,
        1,
        (policy.Target("app", 1.0),),
        2,
    )
    return base._replace(**changes)


def account(**changes):
    base = policy.ClientAccount(
        "acme", frozenset({"key"}), 1000.0, 5000.0, 1, 100
    )
    return base._replace(**changes)


def make_policy(version=1, **changes):
    values = {
        "routes": (route(),),
        "services": (LLM, APP),
        "accounts": (account(),),
        "limits": policy.CallerLimits(),
        **changes,
    }
    return policy.Policy(version, **values)


def engine(name, stage, zone="north", **changes):
    base = upstreams.Upstream(
        name, "llm", f"10.0.0.1:{len(name)}", zone, True, 8, stage
    )
    return base._replace(**changes)


def decode(name, **changes):
    return engine(name, upstreams.Stage.DECODE, **changes)


def prefill(name, **changes):
    return engine(name, upstreams.Stage.PREFILL, **changes)


def plain(name, zone="north", **changes):
    base = upstreams.Upstream(name, "app", "10.0.0.2:80", zone, True, 6)
    return base._replace(**changes)


def directory(clock, *entries):
    built = upstreams.UpstreamDirectory(clock)
    built.replace({entry.id: entry for entry in entries})
    return built
