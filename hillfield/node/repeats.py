"""The fleet's bound on repeats between nodes: reports out, loans in."""

from collections.abc import Iterable
from random import Random
from typing import Final, Protocol

from msgspec import Struct

from hillfield.clocks import monotonic
from hillfield.events import EventCode, Occurrence
from hillfield.fleet.core import Core
from hillfield.fleet.records import NodeState
from hillfield.model import Address, RequestPlan
from hillfield.node.datagrams import DatagramSocket
from hillfield.node.parts import Recording
from hillfield.node.sightings import Sightings, TargetWatch
from hillfield.node.tokens import CountedTokens
from hillfield.quotas import Membership
from hillfield.repeats import (
    Lenders,
    LoanRow,
    Loans,
    LocalUse,
    RepeatBound,
    RepeatCodec,
    Report,
    Roster,
    UseRow,
)
from hillfield.repeats.lenders import RESTORED
from hillfield.timers import Appointment, find_timer

# Seconds between looks at what is to be reported.
LOOK_AGAIN: Final = 0.2
# Seconds for which a silent node may still hold its part of the bound: longer
# than nodes are cut off as a rule.
SILENCE_HELD: Final = 120.0
# Rows of one datagram; those that don't fit go in a further one.
ROWS_AT_ONCE: Final = 8
# Random numbers that tell lives of a node apart, and where reports begin.
LIVES: Final = 1_000_000_000
NUMBERS: Final = 1_000_000


class ServiceList(Protocol):
    """Say which services there are."""

    def services(self) -> tuple[str, ...]:
        """Return the services that some route leads to."""


class Surroundings(Struct, frozen=True):
    """Hold what an exchange looks at and writes to in its node."""

    target: TargetWatch
    routes: ServiceList
    recording: Recording


class RepeatExchange:
    """Keep to the bound together with the other nodes; `tokens` grant it."""

    def __init__(
        self,
        address: Address,
        key: bytes,
        bound: RepeatBound,
        surroundings: Surroundings,
    ) -> None:
        """Prepare; nothing is opened before `start`."""
        self.socket = DatagramSocket(address, self._receive)
        self._codec = RepeatCodec(key)
        self._bound = bound
        random = Random()
        self._life = random.randrange(LIVES)
        self._local = LocalUse(bound, monotonic(), random.randrange(NUMBERS))
        self._lenders = Lenders(bound)
        self._members = Membership(SILENCE_HELD)
        self._sightings = Sightings(monotonic(), surroundings.target)
        self._journal = surroundings.recording.journal
        self.tokens = CountedTokens(self._local, surroundings.recording.metrics)
        self._routes = surroundings.routes
        self._core: Core | None = None
        self._ticking: Appointment | None = None

    def join(self, core: Core) -> None:
        """Take what the node knows of its fleet."""
        self._core = core

    def start(self) -> None:
        """Open the socket; raises `OSError` when it can't be had."""
        self.socket.start()
        self._ticking = find_timer().every(LOOK_AGAIN, self._tick)

    async def stop(self) -> None:
        """Report no more, and close the socket."""
        if self._ticking is not None:
            self._ticking.cancel()
        await self.socket.stop()

    def note_plan(self, plan: RequestPlan) -> None:
        """Count a request that a caller of this host has sent."""
        now = monotonic()
        self._local.note_request(now, self._sightings.see(now, plan))

    def _tick(self) -> None:
        """Report what is due."""
        core = self._core
        if core is None:
            return
        now = monotonic()
        self._sightings.look(now)
        left = frozenset(_list_left(core))
        self._members.follow(now, core.book.alive, left.__contains__)
        self._local.follow(self._find_roster(now, core).size)
        self._lenders.pass_time(now)
        own = core.own.record.name
        lenders = {
            service: self._members.find_counter(service) or own
            for service in self._routes.services()
        }
        by_lender: dict[str, list[UseRow]] = {}
        for row in self._local.list_due(now, lenders):
            by_lender.setdefault(lenders[row.service], []).append(row)
        for lender, rows in by_lender.items():
            self._report(now, core, lender, rows)

    def _report(
        self,
        now: float,
        core: Core,
        lender: str,
        rows: list[UseRow],
    ) -> None:
        own = core.own.record.name
        record = core.book.records.get(lender)
        age = round(self._local.age(now), 1)
        for start in range(0, len(rows), ROWS_AT_ONCE):
            packed = tuple(rows[start : start + ROWS_AT_ONCE])
            report = Report(own, self._life, age, packed)
            if lender == own:
                loans = self._lend(now, core, report)
                self._local.adopt(now, loans)
            elif record is not None:
                self._send(report, record.link.ip)

    def _lend(
        self,
        now: float,
        core: Core,
        report: Report,
    ) -> tuple[LoanRow, ...]:
        roster = self._find_roster(now, core)
        loans = self._lenders.take(now, report, roster)
        for row in self._lenders.list_changes(report, loans):
            code = EventCode.REPEATS_EXHAUSTED
            if row.room >= RESTORED:
                code = EventCode.REPEATS_RESTORED
            told = Occurrence(code, service=row.service)
            self._journal.record(told)
        return loans

    def _find_roster(self, now: float, core: Core) -> Roster:
        return Roster(core.book.alive, self._members.list_silent(now))

    def _receive(self, datagram: bytes, ip: str) -> None:
        core = self._core
        now = monotonic()
        match self._codec.open(datagram):
            case Report() as report if core is not None:
                loans = self._lend(now, core, report)
                if loans:
                    self._send(Loans(loans), ip)
            case Loans(rows=rows):
                self._local.adopt(now, rows)

    def _send(self, message: Report | Loans, host: str) -> None:
        self.socket.send(self._codec.seal(message), [host])


def _list_left(core: Core) -> Iterable[str]:
    for name, record in core.book.records.items():
        if record.state is NodeState.LEAVING:
            yield name
