"""Enforcement of account limits across nodes, by datagrams.

Each node reports the usage of its accounts and receives its shares.
"""

from collections.abc import Iterator, Sequence
from functools import partial
from random import Random
from typing import Final, TypeVar

from hillfield.clocks import monotonic
from hillfield.configuration.schema.accounts import FleetAccount
from hillfield.fleet.core import Core
from hillfield.fleet.recipients import list_others
from hillfield.fleet.records import NodeState
from hillfield.model import Address
from hillfield.node.datagrams import DatagramSocket
from hillfield.quotas import (
    LocalUsage,
    Membership,
    QuotaCodec,
    ShareRow,
    UsageCounter,
    UsageRow,
)
from hillfield.quotas.messages import ShareUpdate, UsageReport
from hillfield.timers import ScheduledCall, get_shared_timer

# Rows of one datagram; the rest goes into further datagrams.
ROWS_PER_DATAGRAM: Final = 16
# Seconds between checks for usage to report.
REPORT_INTERVAL: Final = 0.2

Row = TypeVar('Row')


class QuotaExchange:
    """Implement `Quotas` together with the other nodes of the fleet.

    A request is admitted by the local state at once; usage is reported later.
    """

    def __init__(
        self,
        address: Address,
        key: bytes,
        random: Random,
    ) -> None:
        """Prepare; nothing is opened before `start`."""
        self.socket = DatagramSocket(address, self._receive)
        self._codec = QuotaCodec(key)
        self._local = LocalUsage(random)
        self._counts = UsageCounter()
        self._members = Membership()
        self._core: Core | None = None
        self._ticking: ScheduledCall | None = None

    def join(self, core: Core) -> None:
        """Set the source of this node's record and of the live members."""
        self._core = core

    def start(self) -> None:
        """Open the socket; raises `OSError` if it can't be bound."""
        self.socket.start()
        self._ticking = get_shared_timer().every(REPORT_INTERVAL, self._tick)

    async def stop(self) -> None:
        """Stop reporting, and close the socket."""
        if self._ticking is not None:
            self._ticking.cancel()
        await self.socket.stop()

    def adopt(self, accounts: tuple[FleetAccount, ...]) -> None:
        """Apply new limits."""
        self._counts.adopt(accounts)

    def ask(self, account: FleetAccount) -> float:
        """Return 0 and count the request, or the seconds to wait."""
        return self._local.admit(monotonic(), account)

    def _tick(self) -> None:
        """Send due reports and updates."""
        core = self._core
        if core is None:
            return
        now = monotonic()
        self._members.update(
            now, core.state_table.alive, partial(_has_left, core)
        )
        due = self._local.list_due(now)
        if due:
            self._report(core, due, now)
        updates = self._counts.list_updates(now, self._members.fraction)
        if updates:
            self._send_to_all(core, updates, now)

    def _report(
        self,
        core: Core,
        due: tuple[UsageRow, ...],
        now: float,
    ) -> None:
        own = core.own.record.name
        by_counter: dict[str, list[UsageRow]] = {}
        for row in due:
            counter = self._members.select_counter(row.account) or own
            by_counter.setdefault(counter, []).append(row)
        for counter, rows in by_counter.items():
            if counter == own:
                self._local.apply_shares(
                    now, self._count(now, own, tuple(rows))
                )
                continue
            record = core.state_table.records.get(counter)
            if record is not None:
                for batch in _split(rows):
                    self._send(UsageReport(own, batch), record.link.ip)

    def _send_to_all(
        self,
        core: Core,
        updates: tuple[ShareRow, ...],
        now: float,
    ) -> None:
        self._local.apply_shares(now, updates)
        others = [record.link.ip for record in list_others(core)]
        for rows in _split(updates):
            self._send(ShareUpdate(rows), *others)

    def _count(
        self,
        now: float,
        sender: str,
        rows: tuple[UsageRow, ...],
    ) -> tuple[ShareRow, ...]:
        return self._counts.receive_report(
            now, sender, rows, self._members.fraction
        )

    def _receive(self, datagram: bytes, ip: str) -> None:
        now = monotonic()
        match self._codec.open(datagram):
            case UsageReport(sender=sender, rows=rows):
                shares = self._count(now, sender, rows)
                if shares:
                    self._send(ShareUpdate(shares), ip)
            case ShareUpdate(rows=shares):
                self._local.apply_shares(now, shares)

    def _send(self, message: UsageReport | ShareUpdate, *hosts: str) -> None:
        self.socket.send(self._codec.seal(message), hosts)


def _has_left(core: Core, name: str) -> bool:
    record = core.state_table.records.get(name)
    return record is not None and record.state is NodeState.LEAVING


def _split(rows: Sequence[Row]) -> Iterator[tuple[Row, ...]]:
    for start in range(0, len(rows), ROWS_PER_DATAGRAM):
        yield tuple(rows[start : start + ROWS_PER_DATAGRAM])
