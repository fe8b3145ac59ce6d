"""What nodes tell each other of repeats, and how it is coded."""

from msgspec import Struct

from hillfield.loadreports.sealing import SealedCodec


class RouteRow(Struct, frozen=True, array_like=True):
    """Say which requests a node has seen on one route.

    `proofs` are those that can't have been calls of a target, `requests` all
    of them by slots of the window, the newest first. `repeated` are those of
    one window that repeated runs have made if they are calls. An empty route
    stands for the requests of client accounts.
    """

    route: str
    proofs: int
    requests: tuple[int, ...]
    repeated: tuple[int, ...] = ()


class UseRow(Struct, frozen=True, array_like=True):
    """Say what a node has used of one service's bound.

    `number` grows with each report. `spent` are the repeats by slots, the
    newest first, `held` those that are lent and not used, `needed` how many
    it is likely to use soon and `spare` how many it would keep beside.
    """

    service: str
    number: int
    spent: tuple[int, ...]
    held: int
    needed: int
    spare: int
    routes: tuple[RouteRow, ...] = ()


class LoanRow(Struct, frozen=True, array_like=True):
    """Say what a node may use of one service's bound.

    `number` is that of the report that it answers, `held` how many repeats
    may be made since that, `room` the part of the bound that isn't spent.
    """

    service: str
    number: int
    held: int
    room: float


class Report(Struct, frozen=True, array_like=True, tag='r'):
    """Hold what one life of a node reports; `age` is its seconds."""

    sender: str
    life: int
    age: float
    rows: tuple[UseRow, ...]


class Loans(Struct, frozen=True, array_like=True, tag='l'):
    """Hold what a counting node answers."""

    rows: tuple[LoanRow, ...]


class RepeatCodec(SealedCodec[Report | Loans]):
    """Seal messages with the cluster's key, and open them.

    >>> codec = RepeatCodec(b'key')
    >>> told = Loans((LoanRow('till', 7, 2, 0.5),))
    >>> codec.open(codec.seal(told)) == told
    True
    >>> codec.open(b'noise') is None
    True
    """

    def __init__(self, key: bytes) -> None:
        """Seal with this key."""
        super().__init__(key, Report | Loans)
