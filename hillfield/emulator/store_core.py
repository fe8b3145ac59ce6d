"""Hold keys, revisions and history with the semantics of etcd v3.

Pure. Both the stand-in server and the in-memory store use it, so that the
semantics stand once.
"""

from bisect import bisect_left, insort
from typing import Final

from expression import Error, Ok, Result

from hillfield.emulator.store_history import (
    HISTORY_LIMIT,
    OUT_OF_RANGE,
    History,
)
from hillfield.emulator.store_values import (
    Change,
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
from hillfield.store.keys import ANY_KEY, find_successor

INVALID: Final = 3
NOT_FOUND: Final = 5
OPERATION_LIMIT: Final = 128


class KeyValueCore:
    """Hold the state of one store; the first revision is 1, as in etcd."""

    def __init__(self, history_limit: int = HISTORY_LIMIT) -> None:
        """Start empty."""
        self.revision = 1
        self.leases: set[int] = set()
        self._records: dict[bytes, Record] = {}
        self._keys: list[bytes] = []
        self.history = History(history_limit)

    def read(self, lookup: Lookup) -> Result[Reading, Refusal]:
        """Read a span, at an older revision if one is asked for."""
        revision = lookup.revision or self.revision
        if revision > self.revision:
            return Error(Refusal(OUT_OF_RANGE, 'revision is in the future'))
        if revision < self.history.compacted:
            return Error(self.history.refuse())
        records = self._find(lookup.span, revision)
        limit = lookup.limit or len(records)
        shown = tuple(records[:limit])
        return Ok(Reading(revision, shown, len(records)))

    def transact(self, transaction: Transaction) -> Result[Finished, Refusal]:
        """Do one branch of a transaction as a whole."""
        refusal = self._find_fault(transaction)
        if refusal is not None:
            return Error(refusal)
        succeeded = all(
            self._get_revision(comparison.key) == comparison.revision
            for comparison in transaction.comparisons
        )
        branch = transaction.success if succeeded else transaction.failure
        revision = self.revision + 1
        readings = tuple(self._run(step, revision) for step in branch)
        self.revision = max(self.revision, self.history.newest)
        return Ok(Finished(succeeded, readings))

    def delete_leased(self, lease: int) -> None:
        """Delete all keys of a lease in one revision, and forget it."""
        self.leases.discard(lease)
        deletions = tuple(
            Delete(key)
            for key in self._keys
            if self._records[key].lease == lease
        )
        self.transact(Transaction((), deletions))

    def compact(self, revision: int) -> None:
        """Forget the history up to and with this revision."""
        self.history.compact(min(revision, self.revision))

    def _find(self, span: Span, revision: int) -> list[Record]:
        if revision < self.revision:
            past = self.history.rewind(self._records, revision)
            return [past[key] for key in sorted(past) if span.covers(key)]
        start = bisect_left(self._keys, span.key)
        if span.end == ANY_KEY:
            end = len(self._keys)
        else:
            end = bisect_left(self._keys, span.end or find_successor(span.key))
        return [self._records[key] for key in self._keys[start:end]]

    def _get_revision(self, key: bytes) -> int:
        record = self._records.get(key)
        return 0 if record is None else record.modified

    def _find_fault(self, transaction: Transaction) -> Refusal | None:
        for branch in (transaction.success, transaction.failure):
            writes = [step for step in branch if not isinstance(step, Lookup)]
            keys = {step.key for step in writes}
            if len(branch) > OPERATION_LIMIT:
                return Refusal(INVALID, 'too many operations in txn request')
            if len(keys) < len(writes):
                return Refusal(INVALID, 'duplicate key given in txn request')
            leases = {step.lease for step in writes if isinstance(step, Put)}
            if leases - self.leases - {0}:
                return Refusal(NOT_FOUND, 'requested lease not found')
        return None

    def _run(self, step: Operation, revision: int) -> Reading:
        if isinstance(step, Lookup):
            records = self._find(step.span, self.revision)
            return Reading(revision, tuple(records), len(records))
        before = self._records.get(step.key)
        if isinstance(step, Put):
            self._keep(step, before, revision)
        elif before is None:
            return Reading(revision, (), 0)
        else:
            self._records.pop(step.key)
            self._keys.pop(bisect_left(self._keys, step.key))
        after = self._records.get(step.key)
        self.history.append(Change(revision, step.key, before, after))
        return Reading(revision, (), 1)

    def _keep(self, put: Put, before: Record | None, revision: int) -> None:
        if before is None:
            insort(self._keys, put.key)
        self._records[put.key] = Record(
            key=put.key,
            payload=put.payload,
            created=revision if before is None else before.created,
            modified=revision,
            version=1 if before is None else before.version + 1,
            lease=put.lease,
        )
