"""Messages between nodes on requests that make targets exit."""

from msgspec import Struct

from hillfield.loadreports.sealing import SealedCodec


class ExitRow(Struct, frozen=True, array_like=True):
    """Report that a target exited while it ran a request.

    `gate` is the node that saw it and `number` its number there; `ago` is the
    seconds since then, by the sender's clock, and `lasted` the seconds that
    the request had run by then. Times are sent as ages, since clocks differ.
    """

    fingerprint: bytes
    gate: str
    number: int
    ago: float
    lasted: float


class ClearRow(Struct, frozen=True, array_like=True):
    """Report that a request is harmless.

    Targets answered it as often as they exited, or an operator said so. Exits
    `ago` seconds since or earlier are no evidence against it.
    """

    fingerprint: bytes
    ago: float


class AnswerRow(Struct, frozen=True, array_like=True):
    """Report that a target answered a request and kept running.

    `gate` is the node beside it, `number` distinguishes its answers, and `ago`
    is the seconds since then, by the sender's clock.
    """

    fingerprint: bytes
    gate: str
    number: int
    ago: float


class Findings(Struct, frozen=True, array_like=True, tag='f'):
    """Hold what one node has observed or received."""

    exits: tuple[ExitRow, ...] = ()
    clears: tuple[ClearRow, ...] = ()
    answers: tuple[AnswerRow, ...] = ()


class Inquiry(Struct, frozen=True, array_like=True, tag='i'):
    """Ask whether the receiver has the same reports, by a digest of all."""

    root: int


class Comparison(Struct, frozen=True, array_like=True, tag='c'):
    """Ask for the reports that the sender lacks, by digests of the partitions.

    `answering`: it answers another comparison, and is not answered by a third.
    """

    digests: tuple[int, ...]
    answering: bool = False


class StoredExits(Struct, frozen=True, array_like=True):
    """Hold why a request is refused, as stored permanently.

    `written` is the wall clock in milliseconds, to which the rows' ages refer.
    """

    written: int
    exits: tuple[ExitRow, ...]


Message = Findings | Inquiry | Comparison


class CrashCodec(SealedCodec[Message]):
    """Seal messages with the cluster's key, and open them.

    >>> codec = CrashCodec(b'key')
    >>> findings = Findings((ExitRow(b'x', 'n1', 7, 0.5, 0.1),))
    >>> codec.open(codec.seal(findings)) == findings
    True
    >>> codec.open(b'noise') is None
    True
    """

    def __init__(self, key: bytes) -> None:
        """Seal with this key."""
        super().__init__(key, Message)
