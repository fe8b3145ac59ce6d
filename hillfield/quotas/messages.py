"""What nodes tell each other of accounts' requests, and how it is coded."""

from msgspec import Struct

from hillfield.loadreports.sealing import SealedCodec


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


class QuotaCodec(SealedCodec[Uses | Shares]):
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
        super().__init__(key, Uses | Shares)
