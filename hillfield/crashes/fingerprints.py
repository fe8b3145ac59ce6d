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


class RequestCaller(Struct, frozen=True):
    """Hold who sends a request, as its target sees it.

    `service` is the one on whose host the request began (empty: unknown),
    `account` its client account (empty: none).
    """

    service: str
    account: str


class RequestIdentity(Struct, frozen=True):
    """Hold what two copies of the same request have in common.

    These are its path with the query, its caller and its body, and the method
    and `authority`, the normalized name of the addressed site, without which a
    path names nothing. What one caller sends never counts for or against
    another. The request's id and the node that received it are no part of it.
    """

    method: str
    authority: str
    path: str
    caller: RequestCaller
    body: bytes = b''


class Fingerprinter:
    """Compute fingerprints that only nodes of one cluster can predict.

    They are keyed with the cluster's key, so that nobody can construct a
    request with the fingerprint of another caller's request.

    >>> fingerprinter = Fingerprinter(b'key')
    >>> caller = RequestCaller('desk', '')
    >>> lookup = RequestIdentity('GET', 'till', '/a', caller)
    >>> again = RequestIdentity('GET', 'till', '/a', caller)
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
            identity.authority,
            identity.path,
            identity.caller.service,
            identity.caller.account,
            '',
        )
        digest.update('\n'.join(head).encode('utf-8', 'surrogateescape'))
        digest.update(identity.body[:BODY_BYTES])
        return digest.digest()
