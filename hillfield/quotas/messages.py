"""What nodes tell each other of accounts' requests, and how it is coded."""

from msgspec import MsgspecError, Struct
from msgspec.msgpack import Decoder, Encoder

from hillfield.loadreports.sealing import Seal


class UseRow(Struct, frozen=True, array_like=True):
    """Say what a node has seen of one account.

    `asked` and `passed` count requests and those let through since the node
    began to count, so that a lost datagram loses no request; `fresh_asked`
    and `fresh_passed` those since its last report, for a reader that doesn't
    know the totals of before.
    """

    account: str
    asked: int
    passed: int
    fresh_asked: int
    fresh_passed: int


class ShareRow(Struct, frozen=True, array_like=True):
    """Say which share of an account's requests may pass.

    `wait` is the seconds after which a refused caller finds room.
    """

    account: str
    share: float
    wait: float


class Uses(Struct, frozen=True, array_like=True, tag='u'):
    """Hold what one node reports; `sender` is its name."""

    sender: str
    rows: tuple[UseRow, ...]


class Shares(Struct, frozen=True, array_like=True, tag='s'):
    """Hold what a counting node answers."""

    rows: tuple[ShareRow, ...]


class QuotaCodec:
    """Seal messages with the cluster's key, and open them.

    >>> codec = QuotaCodec(b'key')
    >>> told = Shares((ShareRow('till', 0.5, 1.0),))
    >>> codec.open(codec.seal(told)) == told
    True
    >>> codec.open(b'noise') is None
    True
    """

    def __init__(self, key: bytes) -> None:
        """Seal with this key."""
        self._seal = Seal(key)
        self._encoder = Encoder()
        self._decoder = Decoder(Uses | Shares)

    def seal(self, message: Uses | Shares) -> bytes:
        """Return the datagram."""
        return self._seal.close(self._encoder.encode(message))

    def open(self, datagram: bytes) -> Uses | Shares | None:
        """Return the message, or None if it isn't of this cluster."""
        body = self._seal.open(datagram)
        if body is None:
            return None
        try:
            return self._decoder.decode(body)
        except (MsgspecError, UnicodeDecodeError):
            return None
