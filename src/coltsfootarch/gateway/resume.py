"""Resume tokens: signed references that callers hold.

A host keeps no record of them, so any host can check one after the entry host
is gone.
"""

from __future__ import annotations

import base64
import binascii
import hashlib
import hmac
from typing import NamedTuple

import msgspec

from coltsfootarch import errors
from coltsfootarch import results

DIGEST_BYTES = 32


class ResumeReference(NamedTuple):
    """Where a streamed answer can be picked up.

    Attributes:
        request_id: Request id.
        attempt: Attempt that the engine runs.
        account: Client account that the answer belongs to.
        upstream: Name of the decode upstream.
        body_digest: Digest of the request body.
        base_offset: Offset of the engine stream's first token.
        expires_at: Unix time in seconds after which the token is refused.
    """

    request_id: str
    attempt: int
    account: str
    upstream: str
    body_digest: str
    base_offset: int
    expires_at: float


class ResumeSigner:
    """Signs and checks resume tokens.

    Args:
        secret: Shared secret of all hosts, in hexadecimal.
    """

    def __init__(self, secret: str) -> None:
        self.secret = bytes.fromhex(secret)

    def sign(self, reference: ResumeReference) -> str:
        """Returns the token, in URL-safe base64."""
        payload = msgspec.msgpack.encode(reference)
        return base64.urlsafe_b64encode(self.mac(payload) + payload).decode()

    def verify(self, token: str, now: float) -> ResumeReference:
        """Checks a token.

        Args:
            token: Token as the caller sent it.
            now: Unix time in seconds.

        Raises:
            RefusedError: The token is forged, damaged or expired.
        """
        try:
            data = base64.urlsafe_b64decode(token.encode())
        except (binascii.Error, UnicodeError):
            raise errors.RefusedError(results.INVALID_RESUME_TOKEN) from None
        payload = data[DIGEST_BYTES:]
        if not hmac.compare_digest(self.mac(payload), data[:DIGEST_BYTES]):
            raise errors.RefusedError(results.INVALID_RESUME_TOKEN)
        reference = msgspec.msgpack.decode(payload, type=ResumeReference)
        if reference.expires_at < now:
            raise errors.RefusedError(results.INVALID_RESUME_TOKEN)
        return reference

    def mac(self, payload: bytes) -> bytes:
        """Returns the HMAC-SHA256 of a payload."""
        return hmac.digest(self.secret, payload, hashlib.sha256)
