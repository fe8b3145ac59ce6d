"""Messages between nodes on accounts' requests, and their encoding."""

from msgspec import Struct

from hillfield.loadreports.sealing import SealedCodec


class UsageRow(Struct, frozen=True, array_like=True):
    """Report the requests of one account at a node.

    `asked` and `passed` count its requests and those let through since the
    node began to count, so that a lost datagram loses no request;
    `fresh_asked` and `fresh_passed` count those since its last report, for a
    receiver that lacks the earlier totals.
    """

    account: str
    asked: int
    passed: int
    fresh_asked: int
    fresh_passed: int


class ShareRow(Struct, frozen=True, array_like=True):
    """Hold which share of an account's requests may pass.

    `wait` is the seconds after which a refused caller may succeed.
    """

    account: str
    share: float
    wait: float


class UsageReport(Struct, frozen=True, array_like=True, tag='u'):
    """Hold the report of one node; `sender` is its name."""

    sender: str
    rows: tuple[UsageRow, ...]


class ShareUpdate(Struct, frozen=True, array_like=True, tag='s'):
    """Hold the answer of a counting node."""

    rows: tuple[ShareRow, ...]


class QuotaCodec(SealedCodec[UsageReport | ShareUpdate]):
    """Seal messages with the cluster's key, and open them.

    >>> codec = QuotaCodec(b'key')
    >>> message = ShareUpdate((ShareRow('till', 0.5, 1.0),))
    >>> codec.open(codec.seal(message)) == message
    True
    >>> codec.open(b'noise') is None
    True
    """

    def __init__(self, key: bytes) -> None:
        """Seal with this key."""
        super().__init__(key, UsageReport | ShareUpdate)
