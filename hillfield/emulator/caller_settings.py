"""Settings of an emulated caller."""

from msgspec import Struct, field

from hillfield.model import Address


class CallKind(Struct, frozen=True):
    """Describe one kind of request; `share` is relative to other kinds."""

    service: str
    method: str
    path: str
    idempotent: bool
    share: float = 1
    body_length: int = 0
    answer_length: int = 1024


class Credentials(Struct, frozen=True):
    """Hold what a client account authenticates with."""

    account: str = ''
    secret: str = ''


class CallerSettings(Struct, frozen=True):
    """Describe an open-loop load: `rate` requests a second on average.

    It ends after `seconds` or `maximum_calls`, whichever comes first;
    `timeout` is in seconds.
    """

    nodes: tuple[Address, ...]
    kinds: tuple[CallKind, ...]
    rate: float = 50
    seconds: float = 10
    maximum_calls: int = 100_000
    timeout: float = 10
    seed: int = 1
    prefix: str = 'call'
    credentials: Credentials = field(default_factory=Credentials)
