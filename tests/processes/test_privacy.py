"""Guards callers' keys: no upstream and no part of the platform sees them."""

from __future__ import annotations

import pytest

from tests.processes import support


def send_all_kinds(running, caller):
    """Sends requests of all kinds; the key is repeated in other headers."""
    repeated = {
        "X-Api-Key": caller.key,
        "Cookie": f"key={caller.key}",
        "Proxy-Authorization": f"Bearer {caller.key}",
        "X-Forwarded-Authorization": f"Bearer {caller.key}",
    }
    stream = support.StreamReader(
        caller.complete("regina-1", support.PROMPT, 40, **repeated)
    )
    stream.read_tokens(2)
    resumed = support.StreamReader(
        caller.complete(
            "saskatoon-1",
            support.PROMPT,
            40,
            **{"Resume-Token": stream.token, "Last-Event-ID": "2"},
        )
    )
    assert resumed.read_until("done") is not None
    whole = caller.complete_whole("regina-2", support.PROMPT, 4, **repeated)
    answers = [whole, caller.book("regina-1", "b-1")]
    answers += [caller.book("regina-2", "b-1")]
    for path in ("/loans/stock", "/loans/health", "/loans/unknown"):
        answers.append(
            caller.request("saskatoon-1", "GET", path, headers=repeated)
        )
    return [answer.status for answer in answers]


@pytest.mark.matrix(
    invariant=3,
    fault="none",
    step="upstream request",
    seen_red="list of forwarded headers",
)
def test_no_upstream_sees_a_key(shared_fleet):
    running = shared_fleet
    caller = support.Caller(running)

    statuses = send_all_kinds(running, caller)

    assert statuses[:4] == [200, 201, 201, 200]
    addresses = [
        *support.upstream_addresses(running, "prefill", "decode", "plain"),
        running.tables,
        running.objects,
        running.host_list,
    ]
    secret = caller.key.rpartition("_")[2]
    requests = [
        request
        for address in addresses
        for request in support.recorded(running, address)
    ]
    paths = {request["path"] for request in requests}
    assert {"/bookings", "/stock", "/v1/prefill", "/v1/decode"} <= paths
    for request in requests:
        assert "authorization" not in request["headers"]
        assert secret not in str(request)
