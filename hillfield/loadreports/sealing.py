"""Seal what nodes tell each other in datagrams."""

from hashlib import blake2b
from hmac import compare_digest
from typing import Final

MAC_LENGTH: Final = 8
KEY_LIMIT: Final = 64


class Seal:
    """Close datagrams with the cluster's key, and open them.

    >>> seal = Seal(b'key')
    >>> seal.open(seal.close(b'news'))
    b'news'
    >>> Seal(b'other').open(seal.close(b'news')) is None
    True
    """

    def __init__(self, key: bytes) -> None:
        """Derive the key of the MAC."""
        self._key = blake2b(key, digest_size=KEY_LIMIT).digest()

    def close(self, body: bytes) -> bytes:
        """Return the datagram: a keyed MAC of 8 bytes, then the body."""
        return self._sign(body) + body

    def open(self, datagram: bytes) -> bytes | None:
        """Return the body, or None if it isn't of this cluster."""
        mac, body = datagram[:MAC_LENGTH], datagram[MAC_LENGTH:]
        return body if compare_digest(mac, self._sign(body)) else None

    def _sign(self, body: bytes) -> bytes:
        return blake2b(body, digest_size=MAC_LENGTH, key=self._key).digest()
