"""What the request path needs of the configuration."""

from typing import Protocol

from expression import Result
from msgspec import Struct

from hillfield.crashes import Likeness
from hillfield.model import RequestFailure, RequestPlan


class RequestHead(Struct, frozen=True):
    """Hold what a plan depends on.

    `account` and `secret` come from HTTP Basic credentials; both are empty
    when the caller sent none. `idempotency_key` is the header's value or
    empty, `host` that of the Host header, `hop` what the node at which the
    request began says of it (empty at that node itself).
    """

    method: str
    path: str
    account: str
    secret: str
    idempotency_key: str = ''
    host: str = ''
    hop: str = ''


class PlanSource(Protocol):
    """Resolve how a request is to be treated."""

    def resolve(
        self,
        head: RequestHead,
    ) -> Result[RequestPlan, RequestFailure]:
        """Return the plan, or the failure to answer with (not run)."""


class CrashGuard(Protocol):
    """Know requests again that end the targets that run them."""

    def identify(self, likeness: Likeness) -> bytes:
        """Return the fingerprint of a request."""

    def refuse(
        self,
        fingerprint: bytes,
        *,
        may_have_run: bool,
    ) -> RequestFailure | None:
        """Return why a request is not sent to any target, if so."""


class NoGuard:
    """Know no request again."""

    def identify(self, likeness: Likeness) -> bytes:
        """Take no fingerprint."""
        return b''

    def refuse(
        self,
        fingerprint: bytes,
        *,
        may_have_run: bool,
    ) -> RequestFailure | None:
        """Let everything through."""
