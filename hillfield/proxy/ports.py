"""Interfaces that the request path requires of other components."""

from typing import Protocol

from expression import Result
from msgspec import Struct

from hillfield.crashes import RequestIdentity
from hillfield.model import RequestFailure, RequestPlan


class RequestHead(Struct, frozen=True):
    """Parts of a request's head that its plan depends on.

    `account` and `secret` come from HTTP Basic credentials; both are empty if
    the caller sent none. `idempotency_key` and `host` are the values of their
    headers, or empty. `hop` is the header of the node that received the
    request from its caller (empty at that node itself), `request` the id that
    others see.
    """

    method: str
    path: str
    account: str
    secret: str
    idempotency_key: str = ''
    host: str = ''
    hop: str = ''
    request: str = ''


class PlanSource(Protocol):
    """Source of the plans of requests."""

    def resolve(
        self,
        head: RequestHead,
    ) -> Result[RequestPlan, RequestFailure]:
        """Return the plan, or the failure to answer with (not run)."""


class CrashGuard(Protocol):
    """Registry of requests that crash the targets that run them."""

    def compute_fingerprint(self, identity: RequestIdentity) -> bytes:
        """Return the fingerprint of a request."""

    def find_crash_refusal(
        self,
        fingerprint: bytes,
        *,
        may_have_run: bool,
    ) -> RequestFailure | None:
        """Return why a request must not be sent to any target, if so."""


class NoCrashGuard:
    """Crash guard that recognizes no request."""

    def compute_fingerprint(self, identity: RequestIdentity) -> bytes:
        """Return an empty fingerprint."""
        return b''

    def find_crash_refusal(
        self,
        fingerprint: bytes,
        *,
        may_have_run: bool,
    ) -> RequestFailure | None:
        """Return None: every request may be sent."""
