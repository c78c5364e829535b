"""Format of callers' API keys: `cfa_<key id>_<secret>`.

The register stores the key id, a salt and a digest. The secret is shown only
once, when the key is issued.
"""

from __future__ import annotations

import hashlib
import hmac
import re
import secrets
from typing import NamedTuple

from coltsfootarch.config import register as registers

PREFIX = "cfa"
KEY_ID_BYTES = 6
SECRET_BYTES = 32
SALT_BYTES = 16
KEY_PATTERN = re.compile(r"cfa_([0-9a-z]{4,32})_([0-9A-Za-z]{16,128})")


class IssuedKey(NamedTuple):
    """A new key.

    Attributes:
        account: Client account that it belongs to.
        plaintext: The whole key with its secret; to be shown once and never
            stored.
        key: Entry for the register.
    """

    account: str
    plaintext: str
    key: registers.Key


class ParsedKey(NamedTuple):
    """Key id and secret of a key that a caller sent."""

    key_id: str
    secret: str


def issue(account: str) -> IssuedKey:
    """Returns a new random key for a client account."""
    key_id = secrets.token_hex(KEY_ID_BYTES)
    secret = secrets.token_hex(SECRET_BYTES)
    salt = secrets.token_hex(SALT_BYTES)
    key = registers.Key(key_id, salt, digest_of(salt, secret))
    return IssuedKey(account, f"{PREFIX}_{key_id}_{secret}", key)


def parse(text: str) -> ParsedKey | None:
    """Returns the parts of a key, or None if it is malformed."""
    match = KEY_PATTERN.fullmatch(text)
    return None if match is None else ParsedKey(match[1], match[2])


def digest_of(salt: str, secret: str) -> str:
    """Returns the SHA-256 of the salt's bytes and the secret.

    A fast digest is sufficient, because the secret is long and random and so
    can't be found by trying likely secrets.

    Args:
        salt: Salt in hexadecimal.
        secret: Last part of the key.

    Returns:
        64 hexadecimal digits.
    """
    return hashlib.sha256(bytes.fromhex(salt) + secret.encode()).hexdigest()


def is_match(key: registers.Key, secret: str) -> bool:
    """Returns whether a secret matches a key's digest, in constant time."""
    return hmac.compare_digest(key.digest, digest_of(key.salt, secret))
