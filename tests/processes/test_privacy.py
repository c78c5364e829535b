"""Tests that neither upstreams nor platform services receive callers' keys."""

from __future__ import annotations

import pytest

from tests.processes import support


def send_all_kinds(fleet, caller):
    """Sends requests of all kinds, with the key in other headers too.

    Returns:
        The HTTP statuses of the responses that are not streamed.
    """
    repeated = {
        "X-Api-Key": caller.key,
        "Cookie": f"key={caller.key}",
        "Proxy-Authorization": f"Bearer {caller.key}",
        "X-Forwarded-Authorization": f"Bearer {caller.key}",
    }
    stream = support.StreamReader(
        caller.stream_completion("regina-1", support.PROMPT, 40, **repeated)
    )
    stream.read_tokens(2)
    resumed = support.StreamReader(
        caller.stream_completion(
            "saskatoon-1",
            support.PROMPT,
            40,
            **{"Resume-Token": stream.token, "Last-Event-ID": "2"},
        )
    )
    assert resumed.read_until("done") is not None
    unstreamed = caller.request_completion(
        "regina-2", support.PROMPT, 4, **repeated
    )
    answers = [unstreamed, caller.book("regina-1", "b-1")]
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
    fails_without="list of forwarded headers",
)
def test_no_upstream_or_platform_service_receives_a_key(shared_fleet):
    fleet = shared_fleet
    caller = support.Caller(fleet)

    statuses = send_all_kinds(fleet, caller)

    assert statuses[:4] == [200, 201, 201, 200]
    addresses = [
        *support.upstream_addresses(fleet, "prefill", "decode", "plain"),
        fleet.tables,
        fleet.objects,
        fleet.host_list,
    ]
    secret = caller.key.rpartition("_")[2]
    requests = [
        request
        for address in addresses
        for request in support.recorded_requests(fleet, address)
    ]
    paths = {request["path"] for request in requests}
    assert {"/bookings", "/stock", "/v1/prefill", "/v1/decode"} <= paths
    for request in requests:
        assert "authorization" not in request["headers"]
        assert secret not in str(request)
