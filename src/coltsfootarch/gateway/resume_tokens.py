"""Resume tokens: signed references to streamed answers, held by callers.

Hosts store nothing about them, so any host can verify one after the entry host
that issued it has stopped.
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
    """Content of a resume token: where a streamed answer can be resumed.

    Attributes:
        request_id: Request id.
        attempt: Attempt that the engine runs.
        account: Client account that the answer belongs to.
        upstream: Name of the decode upstream.
        body_digest: Digest of the request body.
        base_offset: Offset in the answer of the engine stream's first token.
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
    """Signs and verifies resume tokens.

    Args:
        secret: Secret shared by all hosts, in hexadecimal.
    """

    def __init__(self, secret: str) -> None:
        self.secret = bytes.fromhex(secret)

    def sign(self, reference: ResumeReference) -> str:
        """Returns the signed token of a reference, in URL-safe base64."""
        payload = msgspec.msgpack.encode(reference)
        return base64.urlsafe_b64encode(self.mac(payload) + payload).decode()

    def verify(self, token: str, now: float) -> ResumeReference:
        """Returns the reference in a token after checking its signature.

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
