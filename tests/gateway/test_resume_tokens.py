"""Tests that forged, damaged and expired resume tokens are refused."""

from __future__ import annotations

import pytest

from coltsfootarch import errors
from coltsfootarch.gateway import resume_tokens

REFERENCE = resume_tokens.ResumeReference(
    "gw.1.1", 1, "acme", "decode-1", "ab", 0, expires_at=100.0
)


def test_signed_token_is_verified_by_another_host():
    token = resume_tokens.ResumeSigner("aa" * 32).sign(REFERENCE)

    reference = resume_tokens.ResumeSigner("aa" * 32).verify(token, now=99.0)

    assert reference == REFERENCE


@pytest.mark.parametrize("now", [100.5, 1e9])
def test_expired_token_is_refused(now):
    signer = resume_tokens.ResumeSigner("aa" * 32)

    with pytest.raises(errors.RefusedError):
        signer.verify(signer.sign(REFERENCE), now)


@pytest.mark.parametrize("damage", ["", "x", "A" * 100, "é"])
def test_damaged_token_is_refused(damage):
    with pytest.raises(errors.RefusedError):
        resume_tokens.ResumeSigner("aa" * 32).verify(damage, now=0.0)


def test_token_signed_with_another_secret_is_refused():
    token = resume_tokens.ResumeSigner("bb" * 32).sign(REFERENCE)

    with pytest.raises(errors.RefusedError):
        resume_tokens.ResumeSigner("aa" * 32).verify(token, now=0.0)
