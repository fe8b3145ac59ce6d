"""Settings of the calls to the platform's store."""

from typing import Final

from msgspec import Struct

from hillfield.model import Address

VALUE_LIMIT: Final = 1_048_576
ANSWER_LIMIT: Final = 16_777_216


class StoreSettings(Struct, frozen=True):
    """Say where the store is and what its calls may use.

    Times are seconds, sizes bytes. `addresses` are equal ways to one store;
    the next one is used after a failure. `client` names this process to the
    store. `value_limit` is the store's own limit for a value,
    `answer_limit` bounds one whole answer and what a watch's
    reader has not yet taken, `watch_silence_limit` how long a watch may send
    nothing at all: the store reports progress about every ten minutes.
    `read_tries` is how often a read that fails is made, each time at the next
    address: for tools, which won't call again by themselves.
    """

    addresses: tuple[Address, ...]
    client: str = 'hillfield'
    connect_timeout: float = 2
    call_timeout: float = 5
    value_limit: int = VALUE_LIMIT
    answer_limit: int = ANSWER_LIMIT
    watch_silence_limit: float = 900
    concurrent_calls: int = 16
    read_tries: int = 1
    concurrent_watches: int = 8
