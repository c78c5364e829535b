"""Tests errors of this host in one of several attempts of a call."""

from __future__ import annotations

from coltsfootarch.forwarding import call_attempts


def test_error_of_one_attempt_does_not_end_another_one(app, monkeypatch):
    """Guards against a local error that ends a sound attempt."""
    for runner in app.runners.values():
        runner.work_s = 0.8
    send = call_attempts.CallAttempt.send

    def send_once(self):
        if self.call.sent_upstream:
            raise MemoryError("simulated")
        send(self)

    monkeypatch.setattr(call_attempts.CallAttempt, "send", send_once)

    response = app.ask("/read/a")

    assert response.status == 200
