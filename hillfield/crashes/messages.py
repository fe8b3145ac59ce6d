"""What nodes tell each other of requests that end targets."""

from msgspec import Struct

from hillfield.loadreports.sealing import SealedCodec


class EndRow(Struct, frozen=True, array_like=True):
    """Say that a target ended under a request.

    `gate` is the node that saw it and `number` its number there; `ago` the
    seconds since, by the sender's clock, and `lasted` those that the request
    had run by then. Times are told as ages, since clocks differ.
    """

    fingerprint: bytes
    gate: str
    number: int
    ago: float
    lasted: float


class ClearRow(Struct, frozen=True, array_like=True):
    """Say that a request is harmless: what ended `ago` seconds since or more
    tells nothing against it.

    It was answered by a target that lived on, or an operator said so.
    """

    fingerprint: bytes
    ago: float


class Findings(Struct, frozen=True, array_like=True, tag='f'):
    """Hold what one node has found or has been told."""

    ends: tuple[EndRow, ...] = ()
    clears: tuple[ClearRow, ...] = ()


class Inquiry(Struct, frozen=True, array_like=True, tag='i'):
    """Ask whether the receiver holds the same, by a digest of all."""

    root: int


class Comparison(Struct, frozen=True, array_like=True, tag='c'):
    """Ask for what the sender doesn't know, by digests of the parts.

    `answering`: it comes in answer to one, and is not answered by another.
    """

    digests: tuple[int, ...]
    answering: bool = False


class StoredEnds(Struct, frozen=True, array_like=True):
    """Hold why a request is refused, as it lasts in the store.

    `written` is the wall clock in milliseconds, to which the rows' ages refer.
    """

    written: int
    ends: tuple[EndRow, ...]


Message = Findings | Inquiry | Comparison


class CrashCodec(SealedCodec[Message]):
    """Seal messages with the cluster's key, and open them.

    >>> codec = CrashCodec(b'key')
    >>> told = Findings((EndRow(b'x', 'n1', 7, 0.5, 0.1),))
    >>> codec.open(codec.seal(told)) == told
    True
    >>> codec.open(b'noise') is None
    True
    """

    def __init__(self, key: bytes) -> None:
        """Seal with this key."""
        super().__init__(key, Message)
