"""Recognize a request that is sent again under another id, at any node."""

from hashlib import blake2b
from typing import Final

from msgspec import Struct

# Bytes of a fingerprint: with 4,000 requests tracked at once, two collide in
# one of 10^21 fleets.
FINGERPRINT_BYTES: Final = 12
KEY_BYTES: Final = 64
# Bytes of a body that are hashed. Longer bodies are forwarded in parts and
# never held complete, so requests whose bodies begin alike are taken for the
# same.
BODY_BYTES: Final = 65536


class RequestIdentity(Struct, frozen=True):
    """Hold what two copies of the same request have in common.

    `account` is its client account, so that requests of different accounts
    never have the same identity. The request's id and the node or host from
    which it comes are no part of it.
    """

    method: str
    host: str
    path: str
    account: str
    body: bytes = b''


class Fingerprinter:
    """Compute fingerprints that only nodes of one cluster can predict.

    They are keyed with the cluster's key, so that nobody can construct a
    request with the fingerprint of another caller's request.

    >>> fingerprinter = Fingerprinter(b'key')
    >>> lookup = RequestIdentity('GET', 'till', '/a', '')
    >>> again = RequestIdentity('GET', 'till', '/a', '')
    >>> fingerprinter.compute(lookup) == fingerprinter.compute(again)
    True
    >>> fingerprinter.compute(lookup) == Fingerprinter(b'other').compute(lookup)
    False
    """

    def __init__(self, key: bytes) -> None:
        """Derive the key of the hash."""
        derived = blake2b(key, digest_size=KEY_BYTES).digest()
        self._empty = blake2b(digest_size=FINGERPRINT_BYTES, key=derived)

    def compute(self, identity: RequestIdentity) -> bytes:
        """Return the fingerprint; only the body may contain a newline."""
        digest = self._empty.copy()
        head = (
            identity.method,
            identity.host,
            identity.path,
            identity.account,
            '',
        )
        digest.update('\n'.join(head).encode('utf-8', 'surrogateescape'))
        digest.update(identity.body[:BODY_BYTES])
        return digest.digest()
