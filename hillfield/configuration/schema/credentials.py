"""Secrets of client accounts and their hashes."""

from hashlib import sha256
from hmac import compare_digest
from secrets import token_urlsafe
from typing import Final

from msgspec import Struct

SECRET_BYTES: Final = 32
# Compared when there is no such account, so that the time taken does not
# tell whether a name exists.
NO_HASH: Final = sha256().hexdigest()


class Secret(Struct, frozen=True):
    """Hold a new secret, shown once, and the hash to configure."""

    plain: str
    hash: str


def hash_secret(plain: str) -> str:
    """Return the SHA-256 of a secret in hexadecimal.

    >>> hash_secret('a')[:16]
    'ca978112ca1bbdca'
    """
    return sha256(plain.encode('utf-8', 'surrogatepass')).hexdigest()


def generate_secret() -> Secret:
    """Draw a secret of 256 bits."""
    plain = token_urlsafe(SECRET_BYTES)
    return Secret(plain, hash_secret(plain))


def verify_secret(plain: str, hashes: tuple[str, ...]) -> bool:
    """Compare a secret with the configured hashes in constant time."""
    offered = hash_secret(plain)
    matches = [compare_digest(offered, known) for known in hashes or (NO_HASH,)]
    return any(matches)
