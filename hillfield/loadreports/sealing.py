"""Encode messages between nodes, authenticated by a keyed MAC."""

from hashlib import blake2b
from hmac import compare_digest
from typing import Any, Final, Generic, TypeVar

from msgspec import MsgspecError
from msgspec.msgpack import Decoder, Encoder

MAC_BYTES: Final = 8
KEY_BYTES: Final = 64
Message = TypeVar('Message')


class SealedCodec(Generic[Message]):
    """Encode messages of one type, sealed with the cluster's key.

    >>> codec = SealedCodec[int](b'key', int)
    >>> codec.open(codec.seal(7))
    7
    >>> SealedCodec[int](b'other', int).open(codec.seal(7)) is None
    True
    """

    def __init__(self, key: bytes, message_type: Any) -> None:
        """Derive the key of the MAC; `message_type` is the messages' type."""
        self._key = blake2b(key, digest_size=KEY_BYTES).digest()
        self._encoder = Encoder()
        self._decoder: Decoder[Message] = Decoder(message_type)

    def seal(self, message: Message) -> bytes:
        """Return the datagram: a keyed MAC of 8 bytes, then the message."""
        body = self._encoder.encode(message)
        return self._sign(body) + body

    def open(self, datagram: bytes) -> Message | None:
        """Return the message, or None if it isn't of this cluster."""
        mac, body = datagram[:MAC_BYTES], datagram[MAC_BYTES:]
        if not compare_digest(mac, self._sign(body)):
            return None
        try:
            return self._decoder.decode(body)
        except (MsgspecError, UnicodeDecodeError):
            return None

    def _sign(self, body: bytes) -> bytes:
        return blake2b(body, digest_size=MAC_BYTES, key=self._key).digest()
