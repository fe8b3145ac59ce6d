"""Hold a store stand-in's data, faults and measurements together."""

from collections.abc import Callable

from expression import Result
from msgspec.structs import replace
from tornado.locks import Condition

from hillfield.emulator.store_calls import CallLog
from hillfield.emulator.store_core import KeyValueCore
from hillfield.emulator.store_faults import StoreFaults
from hillfield.emulator.store_history import HISTORY_LIMIT
from hillfield.emulator.store_leases import Lease, LeaseTable
from hillfield.emulator.store_values import (
    Finished,
    Lookup,
    Reading,
    Refusal,
    Transaction,
)


class StoreState:
    """Serve calls in order; `changed` wakes the watches."""

    def __init__(
        self,
        clock: Callable[[], float],
        history_limit: int = HISTORY_LIMIT,
    ) -> None:
        """Start empty and without faults."""
        self.faults = StoreFaults()
        self.changed = Condition()
        self.calls = CallLog(clock())
        self.core = KeyValueCore(history_limit)
        self.clock = clock
        self.leases = LeaseTable(self.core)

    def read(self, lookup: Lookup) -> Result[Reading, Refusal]:
        """Read a span, stale if the faults say so."""
        self.settle()
        faults = self.faults
        if faults.stale_reads > 0:
            self.faults = replace(faults, stale_reads=faults.stale_reads - 1)
            oldest = max(1, self.core.history.compacted)
            revision = max(oldest, self.core.revision - faults.stale_by)
            lookup = replace(lookup, revision=revision)
        return self.core.read(lookup)

    def transact(self, transaction: Transaction) -> Result[Finished, Refusal]:
        """Do a transaction and wake the watches."""
        self.settle()
        finished = self.core.transact(transaction)
        self.changed.notify_all()
        return finished

    def grant(self, seconds: int) -> Lease:
        """Open a lease."""
        return self.leases.grant(self.clock(), seconds)

    def renew(self, number: int) -> int:
        """Prolong a lease; return its seconds, 0 when it has lapsed."""
        self.settle()
        return self.leases.renew(self.clock(), number)

    def revoke(self, number: int) -> bool:
        """End a lease, by its holder or as a fault; False without one."""
        revoked = self.leases.revoke(number)
        self.changed.notify_all()
        return revoked

    def expire_all(self) -> None:
        """End all leases now, as a fault."""
        for number in self.leases.numbers:
            self.leases.revoke(number)
        self.changed.notify_all()

    def settle(self) -> None:
        """End the leases that are over; called now and then."""
        if self.leases.expire(self.clock()):
            self.changed.notify_all()

    def takes_answer(self) -> bool:
        """Tell whether the answer to this write is to be lost."""
        left = self.faults.lost_answers
        if left > 0:
            self.faults = replace(self.faults, lost_answers=left - 1)
        return left > 0

    def takes_read(self) -> bool:
        """Tell whether the answer to this read is to be lost."""
        left = self.faults.lost_reads
        if left > 0:
            self.faults = replace(self.faults, lost_reads=left - 1)
        return left > 0
