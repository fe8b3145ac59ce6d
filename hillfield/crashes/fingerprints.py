"""Know a request again that comes under another id, at any node."""

from hashlib import blake2b
from typing import Final

from msgspec import Struct

# Bytes of a fingerprint: two of 4,000 tracked at once that are alike by chance
# come once in 10^21 fleets.
LENGTH: Final = 12
KEY_LENGTH: Final = 64
# Bytes of a body that count. A longer one is passed on in parts and never held
# whole, so those that begin alike are taken for the same.
BODY_COUNTED: Final = 65536


class Likeness(Struct, frozen=True):
    """Hold what two requests have in common that are the same one again.

    `account` is whose request it is, so that no caller's requests are ever
    taken for those of another one. Neither the request's id counts nor the
    node or host from which it comes.
    """

    method: str
    host: str
    path: str
    account: str
    body: bytes = b''


class Fingerprinter:
    """Take fingerprints that only nodes of one cluster can foretell.

    With the cluster's key in it nobody can make up a request whose
    fingerprint is that of another caller's request.

    >>> printer = Fingerprinter(b'key')
    >>> lookup = Likeness('GET', 'till', '/a', '')
    >>> printer.take(lookup) == printer.take(Likeness('GET', 'till', '/a', ''))
    True
    >>> printer.take(lookup) == Fingerprinter(b'other').take(lookup)
    False
    """

    def __init__(self, key: bytes) -> None:
        """Derive the key of the hash."""
        derived = blake2b(key, digest_size=KEY_LENGTH).digest()
        self._empty = blake2b(digest_size=LENGTH, key=derived)

    def take(self, likeness: Likeness) -> bytes:
        """Return the fingerprint; no field but the body can hold a newline."""
        digest = self._empty.copy()
        head = (
            likeness.method,
            likeness.host,
            likeness.path,
            likeness.account,
            '',
        )
        digest.update('\n'.join(head).encode('utf-8', 'surrogateescape'))
        digest.update(likeness.body[:BODY_COUNTED])
        return digest.digest()
