"""Turn the port's values into gateway messages and back."""

from collections.abc import Iterable

from expression import Error, Ok, Result

from hillfield.store.keys import find_prefix_end, find_successor
from hillfield.store.ports import (
    Accepted,
    Change,
    Conflict,
    Page,
    StoredValue,
)
from hillfield.store.wire import KeyValue, RangeRequest, RangeResponse
from hillfield.store.wire_transactions import (
    Compare,
    DeleteRequest,
    PutRequest,
    RequestOperation,
    TransactionRequest,
    TransactionResponse,
)
from hillfield.store.wire_watches import Event


def build_range(prefix: str, after: str, limit: int) -> RangeRequest:
    r"""Build the message that reads part of a range.

    >>> build_range('/a/', '/a/x', 2).key
    b'/a/x\x00'
    """
    start = prefix.encode() or b'\0'
    if after:
        start = max(start, find_successor(after.encode()))
    return RangeRequest(
        key=start,
        range_end=find_prefix_end(prefix.encode()),
        limit=limit,
    )


def build_swap(changes: tuple[Change, ...]) -> TransactionRequest:
    """Build the transaction of a compare-and-swap."""
    return TransactionRequest(
        compare=tuple(
            Compare(
                key=change.key.encode(),
                target='MOD',
                mod_revision=change.expected,
            )
            for change in changes
        ),
        success=tuple(map(_build_write, changes)),
        failure=tuple(
            RequestOperation(
                request_range=RangeRequest(key=change.key.encode()),
            )
            for change in changes
        ),
    )


def read_page(message: RangeResponse) -> Result[Page, str]:
    """Read the answer to a range."""
    stored = _read_all(message.kvs)
    return stored.map(
        lambda entries: Page(message.header.revision, entries, message.more),
    )


def read_swap(
    message: TransactionResponse,
) -> Result[Accepted | Conflict, str]:
    """Read the answer to a compare-and-swap."""
    if message.succeeded:
        if message.header.revision <= 0:
            return Error('accepted without a revision')
        return Ok(Accepted(message.header.revision))
    ranges = (
        response.response_range.kvs
        for response in message.responses
        if response.response_range is not None
    )
    stored = _read_all(pair for pairs in ranges for pair in pairs)
    return stored.map(Conflict)


def read_events(
    events: Iterable[Event],
) -> Result[tuple[StoredValue, ...], str]:
    """Read the events of a watch; a deletion has an empty payload."""
    return _read_all(
        event.kv
        if event.kind == 'PUT'
        else KeyValue(key=event.kv.key, mod_revision=event.kv.mod_revision)
        for event in events
    )


def _build_write(change: Change) -> RequestOperation:
    key = change.key.encode()
    if not change.payload:
        return RequestOperation(request_delete_range=DeleteRequest(key=key))
    return RequestOperation(
        request_put=PutRequest(
            key=key,
            payload=change.payload,
            lease=change.lease,
        ),
    )


def _read_all(
    pairs: Iterable[KeyValue],
) -> Result[tuple[StoredValue, ...], str]:
    try:
        stored = tuple(map(_read_stored, pairs))
    except UnicodeDecodeError as error:
        return Error(f'key is not UTF-8: {error.object!r}')
    if any(entry.revision <= 0 for entry in stored):
        return Error('a key without a revision')
    return Ok(stored)


def _read_stored(pair: KeyValue) -> StoredValue:
    return StoredValue(pair.key.decode(), pair.mod_revision, pair.payload)
