"""Reach the platform's store over the etcd v3 JSON gateway."""

from collections.abc import AsyncIterator
from typing import TypeVar

from expression import Error, Ok, Result

from hillfield.events import Journal
from hillfield.store.calls import Call
from hillfield.store.counters import CallCounts, CallKind
from hillfield.store.gateway_messages import (
    build_range,
    build_swap,
    read_page,
    read_swap,
)
from hillfield.store.ports import (
    Accepted,
    Change,
    Conflict,
    Page,
    StoredValue,
    StoreError,
)
from hillfield.store.reports import SilentJournal
from hillfield.store.store_settings import StoreSettings
from hillfield.store.streams import open_watch
from hillfield.store.transport import Transport
from hillfield.store.wire import NOT_FOUND, RangeRequest, RangeResponse
from hillfield.store.wire_leases import (
    GrantRequest,
    KeepAliveLine,
    LeaseRequest,
    LeaseResponse,
)
from hillfield.store.wire_transactions import TransactionResponse

Kind = TypeVar('Kind')


class GatewayStore:
    """Implement `Store`; one instance a process, on the loop's thread."""

    def __init__(
        self,
        settings: StoreSettings,
        journal: Journal | None = None,
    ) -> None:
        """Open nothing yet; without a journal nothing is recorded."""
        self._settings = settings
        self._transport = Transport(settings, journal or SilentJournal())

    @property
    def counts(self) -> CallCounts:
        """Return the running totals of calls."""
        return self._transport.counts

    async def get(self, key: str) -> Result[StoredValue | None, StoreError]:
        """Read one key."""
        message = RangeRequest(key=key.encode())
        call = Call(CallKind.GET, '/v3/kv/range', message)
        page = await self._read(call)
        return page.map(_take_first)

    async def read_range(
        self,
        prefix: str,
        after: str,
        limit: int,
        *,
        stale: bool = False,
    ) -> Result[Page, StoreError]:
        """Read up to `limit` keys under the prefix that follow `after`."""
        message = build_range(prefix, after, limit)
        call = Call(CallKind.READ_RANGE, '/v3/kv/range', message)
        return await self._read(call)

    async def swap(
        self,
        changes: tuple[Change, ...],
    ) -> Result[Accepted | Conflict, StoreError]:
        """Make all the changes or none; too large values aren't sent."""
        call = Call(CallKind.SWAP, '/v3/kv/txn', build_swap(changes))
        limit = self._settings.value_limit
        if any(len(change.payload) > limit for change in changes):
            detail = f'a value is over the limit of {limit} bytes'
            return Error(self._transport.fail(call, '', detail, sent=False))
        reply = await self._transport.ask(call, TransactionResponse)
        return reply.bind(
            lambda message: self._check(call, read_swap(message)),
        )

    async def grant(self, seconds: int) -> Result[int, StoreError]:
        """Open a lease and return its number."""
        message = GrantRequest(seconds=seconds)
        call = Call(CallKind.GRANT, '/v3/lease/grant', message)
        reply = await self._transport.ask(call, LeaseResponse)
        return reply.bind(
            lambda lease: self._check(call, _read_grant(lease)),
        )

    async def renew(self, lease: int) -> Result[bool, StoreError]:
        """Keep a lease alive; False when it has lapsed."""
        message = LeaseRequest(lease=lease)
        call = Call(CallKind.RENEW, '/v3/lease/keepalive', message)
        reply = await self._transport.ask(call, KeepAliveLine)
        return reply.bind(
            lambda line: self._check(call, _read_renewal(line)),
        )

    async def revoke(self, lease: int) -> Result[bool, StoreError]:
        """End a lease and delete its keys; False when it had lapsed."""
        message = LeaseRequest(lease=lease)
        call = Call(CallKind.REVOKE, '/v3/lease/revoke', message)
        answer = await self._transport.send(call)
        if answer.is_ok() and answer.ok.refusal.code == NOT_FOUND:
            return Ok(False)  # noqa: WPS425 - a Result takes no keyword
        reply = answer.bind(
            lambda whole: self._transport.decode(call, whole, LeaseResponse),
        )
        return reply.map(lambda _: True)

    def watch(
        self,
        prefix: str,
        since: int,
    ) -> AsyncIterator[Result[StoredValue, StoreError]]:
        """Yield changes after revision `since`; ends after an error.

        All values of one revision come before any error, so the revision
        of the last value is safe to go on from.
        """
        return open_watch(self._transport, prefix, since)

    def close(self) -> None:
        """Close all connections but those of open watches."""
        self._transport.close()

    async def _read(self, call: Call) -> Result[Page, StoreError]:
        reply = await self._transport.ask(call, RangeResponse)
        return reply.bind(
            lambda message: self._check(call, read_page(message)),
        )

    def _check(
        self,
        call: Call,
        reading: Result[Kind, str],
    ) -> Result[Kind, StoreError]:
        return reading.map_error(
            lambda detail: self._transport.reject(
                call,
                str(self._transport.route.peer),
                detail,
            ),
        )


def _take_first(page: Page) -> StoredValue | None:
    return page.entries[0] if page.entries else None


def _read_grant(reply: LeaseResponse) -> Result[int, str]:
    if reply.lease > 0:
        return Ok(reply.lease)
    return Error('a lease without a number')


def _read_renewal(line: KeepAliveLine) -> Result[bool, str]:
    if line.outcome is None:
        return Error('no renewal in the answer')
    return Ok(line.outcome.seconds > 0)
