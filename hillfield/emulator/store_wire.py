"""Turn gateway messages into the store stand-in's values and back."""

from expression import Error, Ok, Result

from hillfield.emulator.store_core import INVALID
from hillfield.emulator.store_values import (
    Change,
    Comparison,
    Delete,
    Finished,
    Lookup,
    Operation,
    Put,
    Reading,
    Record,
    Refusal,
    Span,
    Transaction,
)
from hillfield.store.store_settings import VALUE_LIMIT
from hillfield.store.wire import (
    Header,
    KeyValue,
    RangeRequest,
    RangeResponse,
)
from hillfield.store.wire_transactions import (
    DeleteResponse,
    PutResponse,
    RequestOperation,
    ResponseOperation,
    TransactionRequest,
    TransactionResponse,
)
from hillfield.store.wire_watches import Event


def read_lookup(message: RangeRequest) -> Lookup:
    """Read a range request."""
    span = Span(message.key, message.range_end)
    return Lookup(span, message.limit, message.revision)


def read_transaction(
    message: TransactionRequest,
) -> Result[Transaction, Refusal]:
    """Read a transaction; only revisions compared for equality are known."""
    if any(
        compare.target != 'MOD' or compare.relation != 'EQUAL'
        for compare in message.compare
    ):
        return Error(Refusal(INVALID, 'only MOD EQUAL can be compared'))
    steps = (*message.success, *message.failure)
    if any(len(step.requests) != 1 for step in steps):
        return Error(Refusal(INVALID, 'not one request in an operation'))
    if any(_is_too_large(step) for step in steps):
        return Error(Refusal(INVALID, 'request is too large'))
    return Ok(
        Transaction(
            tuple(
                Comparison(compare.key, compare.mod_revision or 0)
                for compare in message.compare
            ),
            tuple(map(read_operation, message.success)),
            tuple(map(read_operation, message.failure)),
        ),
    )


def read_operation(message: RequestOperation) -> Operation:
    """Read an operation that holds exactly one request."""
    if message.request_range is not None:
        return read_lookup(message.request_range)
    put = message.request_put
    if put is not None:
        return Put(put.key, put.payload, put.lease)
    deletion = message.request_delete_range
    return Delete(b'' if deletion is None else deletion.key)


def write_record(record: Record) -> KeyValue:
    """Write a record as a message."""
    return KeyValue(
        key=record.key,
        create_revision=record.created,
        mod_revision=record.modified,
        version=record.version,
        lease=record.lease,
        payload=record.payload,
    )


def write_reading(reading: Reading) -> RangeResponse:
    """Write the answer to a range."""
    return RangeResponse(
        header=Header(revision=reading.revision),
        kvs=tuple(map(write_record, reading.records)),
        more=reading.count > len(reading.records),
        count=reading.count,
    )


def write_finished(
    revision: int,
    transaction: Transaction,
    finished: Finished,
) -> TransactionResponse:
    """Write the answer to a transaction."""
    succeeded = finished.succeeded
    steps = transaction.success if succeeded else transaction.failure
    return TransactionResponse(
        header=Header(revision=revision),
        succeeded=succeeded,
        responses=tuple(
            _write_response(revision, step, reading)
            for step, reading in zip(steps, finished.readings, strict=True)
        ),
    )


def write_change(change: Change) -> Event:
    """Write an event of a watch."""
    if change.after is None:
        pair = KeyValue(key=change.key, mod_revision=change.revision)
        return Event(kind='DELETE', kv=pair)
    return Event(kv=write_record(change.after))


def _is_too_large(step: RequestOperation) -> bool:
    put = step.request_put
    return put is not None and len(put.payload) > VALUE_LIMIT


def _write_response(
    revision: int,
    step: Operation,
    reading: Reading,
) -> ResponseOperation:
    header = Header(revision=revision)
    if isinstance(step, Put):
        return ResponseOperation(response_put=PutResponse(header=header))
    if isinstance(step, Delete):
        deletion = DeleteResponse(header=header, deleted=reading.count)
        return ResponseOperation(response_delete_range=deletion)
    return ResponseOperation(response_range=write_reading(reading))
