"""Messages between nodes on departures of targets."""

from msgspec import Struct

from hillfield.loadreports.sealing import SealedCodec


class Departure(Struct, frozen=True, array_like=True):
    """Hold that a target leaves; `born` is its start in milliseconds."""

    name: str
    born: int


class DepartureNotice(Struct, frozen=True, array_like=True, tag='n'):
    """Tell of departures that the node of a host acknowledges."""

    host: str
    departures: tuple[Departure, ...]


class DepartureQuestion(Struct, frozen=True, array_like=True, tag='q'):
    """Ask what earlier processes of the sender's node have acknowledged.

    `incarnation` is that of the sender; `read`: the receiver is to read it
    from the store, which does not answer the sender.
    """

    host: str
    incarnation: int
    read: bool = False


class DepartureAnswer(Struct, frozen=True, array_like=True, tag='a'):
    """Answer a question with all departures that the sender knows.

    `vouches`: the sender was there when the node's earlier process ran, which
    would have told it of any other departure. `was_read`: the departures are
    what the store holds. `others` is how many nodes the sender knows besides
    the one that asks.
    """

    departures: tuple[Departure, ...]
    vouches: bool = False
    was_read: bool = False
    others: int = 0


DepartureMessage = DepartureNotice | DepartureQuestion | DepartureAnswer


class DepartureCodec(SealedCodec[DepartureMessage]):
    """Seal messages with the cluster's key, and open them.

    >>> codec = DepartureCodec(b'key')
    >>> notice = DepartureNotice('n1', (Departure('i-1', 50),))
    >>> codec.open(codec.seal(notice)) == notice
    True
    >>> codec.open(b'noise') is None
    True
    """

    def __init__(self, key: bytes) -> None:
        """Seal with this key."""
        super().__init__(key, DepartureMessage)
