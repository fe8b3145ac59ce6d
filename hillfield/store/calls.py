"""Single calls of the gateway, and what curl needs to carry them."""

from io import BytesIO
from typing import Any, Final

import pycurl
from msgspec import Struct

from hillfield.store.counters import CallKind
from hillfield.store.wire import Message, Status, encode_message

READS: Final = frozenset((CallKind.GET, CallKind.READ_RANGE, CallKind.WATCH))
# To do one of these twice leaves what doing it once leaves.
REPEATABLE: Final = READS | {CallKind.RENEW}
KEEP_ALIVE_IDLE: Final = 5
# What libcurl calls CURL_SEEKFUNC_OK.
SEEK_DONE: Final = 0
KEEP_ALIVE_PAUSE: Final = 2


class Call(Struct, frozen=True):
    """Hold one call: its kind, its path and its message."""

    kind: CallKind
    path: str
    message: Message

    @property
    def step(self) -> str:
        """Name the step that errors of the call carry."""
        return f'store {self.kind}'


class Answer(Struct, frozen=True):
    """Hold a whole answer; `refusal` has a code when the store refused."""

    peer: str
    body: bytes
    refusal: Status = Status()


class Dispatch:
    """Hand a body to curl and remember whether curl took any of it.

    Curl asks for the body only when the connection stands, so an error
    before that is certain to have had no effect on the store.
    """

    def __init__(self, call: Call) -> None:
        """Encode the call's message."""
        self.sent = False
        self.body = encode_message(call.message)
        self._rest = BytesIO(self.body)
        # Curl repeats a request by itself when a kept connection turns out
        # to be closed. A repeated compare-and-swap could then meet its own
        # first effect and report a conflict, so writes get a connection of
        # their own, on which curl never repeats.
        self._fresh = call.kind not in REPEATABLE

    def read(self, size: int) -> bytes:
        """Give curl the next part of the body."""
        self.sent = True
        return self._rest.read(size)

    def seek(self, offset: int, origin: int) -> int:
        """Go back to the start when curl repeats a request by itself."""
        self._rest.seek(offset, origin)
        return SEEK_DONE

    def prepare(self, curl: Any) -> None:
        """Set up what tornado leaves to the caller."""
        curl.setopt(pycurl.READFUNCTION, self.read)
        curl.setopt(pycurl.SEEKFUNCTION, self.seek)
        curl.setopt(pycurl.FRESH_CONNECT, int(self._fresh))
        curl.setopt(pycurl.FORBID_REUSE, int(self._fresh))
        # The store is reached by number, whatever proxy the environment
        # names.
        curl.setopt(pycurl.PROXY, '')
        curl.setopt(pycurl.TCP_KEEPALIVE, 1)
        curl.setopt(pycurl.TCP_KEEPIDLE, KEEP_ALIVE_IDLE)
        curl.setopt(pycurl.TCP_KEEPINTVL, KEEP_ALIVE_PAUSE)
