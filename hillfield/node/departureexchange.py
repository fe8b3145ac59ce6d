"""Exchange of departures between the nodes of the fleet.

A node tells all others of a departure before it acknowledges it. A started
node that the store does not answer asks them what the node before it on its
host has acknowledged.
"""

from asyncio import Task, create_task
from collections.abc import Callable, Mapping
from random import Random
from typing import Final

from hillfield.announcements.departures import (
    Departure,
    DepartureAnswer,
    DepartureCodec,
    DepartureInquiry,
    DepartureMemory,
    DepartureNotice,
    DepartureQuestion,
    Voucher,
)
from hillfield.clocks import monotonic
from hillfield.events import EventCode, Journal, Occurrence
from hillfield.fleet.core import Core
from hillfield.fleet.recipients import list_others
from hillfield.fleet.state_table import has_known_before
from hillfield.model import Address
from hillfield.node.datagrams import DatagramSocket
from hillfield.node.departures import DepartureStorage
from hillfield.timers import ScheduledCall, get_shared_timer

# Seconds between checks for nodes that have joined and for due questions.
CHECK_INTERVAL: Final = 0.1
# Nodes asked in one round: one in each failure domain, and at least so many.
ASKED_NODES: Final = 4
# Departures in one datagram, the latest ones: a host has few targets.
DEPARTURES_PER_DATAGRAM: Final = 24
# Hosts for which this node reads the store at a time.
READS_AT_A_TIME: Final = 8

AnswerSender = Callable[[DepartureAnswer, list[str]], None]


class DepartureWitness:
    """Remember departures, and tell a started node of those at its host."""

    def __init__(self, storage: DepartureStorage, send: AnswerSender) -> None:
        """Start without memory; answers are sent with `send`."""
        self._storage = storage
        self._send = send
        self._memory = DepartureMemory()
        self._reads: dict[str, Task[None]] = {}

    def stop(self) -> None:
        """Stop reading the store."""
        for task in self._reads.values():
            task.cancel()

    def add(self, now: float, notice: DepartureNotice) -> bool:
        """Remember what a node tells; return whether any of it is new."""
        known = set(self._memory.recall(now, notice.host))
        fresh = [row for row in notice.departures if row not in known]
        self._memory.add(now, notice.host, fresh)
        return bool(fresh)

    def recall(self, now: float, host: str) -> tuple[Departure, ...]:
        """Return the latest departures at a host, as many as are sent."""
        return self._memory.recall(now, host)[-DEPARTURES_PER_DATAGRAM:]

    def answer(
        self,
        core: Core,
        now: float,
        question: DepartureQuestion,
        ip: str,
    ) -> None:
        """Answer from memory, and from the store if that is wanted."""
        host = question.host
        vouches = has_known_before(
            core.state_table,
            host,
            question.incarnation,
        )
        others = len(core.state_table.alive - {host})
        rows = self.recall(now, host)
        self._send(DepartureAnswer(rows, vouches, others=others), [ip])
        if question.read and not core.own.read_failed:
            self._start_reading(host, ip)

    def _start_reading(self, host: str, ip: str) -> None:
        if host not in self._reads and len(self._reads) < READS_AT_A_TIME:
            self._reads[host] = create_task(self._read_for(host, ip))

    async def _read_for(self, host: str, ip: str) -> None:
        """Read the store for a node that it does not answer."""
        read = await self._storage.read_of(host)
        self._reads.pop(host, None)
        if read.is_ok():
            rows = read.ok[-DEPARTURES_PER_DATAGRAM:]
            self._send(DepartureAnswer(rows, was_read=True), [ip])


class DepartureExchange:
    """Tell other nodes of departures, and learn from them at the start."""

    def __init__(
        self,
        address: Address,
        key: bytes,
        random: Random,
        storage: DepartureStorage,
        journal: Journal,
    ) -> None:
        """Prepare; nothing is opened before `start`."""
        self.socket = DatagramSocket(address, self._receive)
        self._codec = DepartureCodec(key)
        self._random = random
        self._storage = storage
        self._journal = journal
        self._witness = DepartureWitness(storage, self._send)
        self._inquiry = DepartureInquiry(float())
        self._told: frozenset[str] = frozenset()
        self._core: Core | None = None
        self._ticking: ScheduledCall | None = None
        storage.on_departure = self._tell

    def join(self, core: Core) -> None:
        """Set the source of this node's record and of the live members."""
        self._core = core

    def start(self) -> None:
        """Open the socket; raises `OSError` if it can't be bound."""
        self.socket.start()
        self._inquiry = DepartureInquiry(monotonic())
        self._ticking = get_shared_timer().every(CHECK_INTERVAL, self._tick)

    async def stop(self) -> None:
        """Stop asking, and close the socket."""
        if self._ticking is not None:
            self._ticking.cancel()
        self._witness.stop()
        await self.socket.stop()

    def _tell(self, starts: Mapping[str, int]) -> None:
        """Tell all other nodes of departures that they don't know."""
        core = self._core
        if core is None:
            return
        now = monotonic()
        host = core.own.record.name
        rows = tuple(Departure(*row) for row in starts.items())
        if self._witness.add(now, DepartureNotice(host, rows)):
            self._send_notice(core, now, core.state_table.alive)

    def _tick(self) -> None:
        core = self._core
        if core is None:
            return
        now = monotonic()
        alive = core.state_table.alive
        if alive is not self._told:
            self._send_notice(core, now, alive - self._told)
            self._told = alive
        if self._storage.tracker.held.is_holding(now):
            self._ask(core, now)

    def _send_notice(
        self,
        core: Core,
        now: float,
        names: frozenset[str],
    ) -> None:
        own = core.own.record.name
        rows = self._witness.recall(now, own)
        if rows:
            records = core.state_table.records
            hosts = [
                records[name].link.ip
                for name in names & records.keys()
                if name != own
            ]
            self._send(DepartureNotice(own, rows), hosts)

    def _ask(self, core: Core, now: float) -> None:
        if not self._inquiry.is_due(now):
            return
        hosts = choose_hosts(self._random, list_witnesses(core))
        if not hosts:
            return
        wants_reading = self._inquiry.wants_reading()
        question = DepartureQuestion(
            core.own.record.name, core.own.incarnation, wants_reading
        )
        self._send(question, hosts[:1] if wants_reading else hosts)
        self._inquiry.record_asked(now)

    def _receive(self, datagram: bytes, ip: str) -> None:
        core = self._core
        if core is None:
            return
        now = monotonic()
        match self._codec.open(datagram):
            case DepartureNotice() as notice:
                self._witness.add(now, notice)
            case DepartureQuestion() as question:
                self._witness.answer(core, now, question, ip)
            case DepartureAnswer() as answer:
                self._apply_answer(core, now, answer, ip)

    def _apply_answer(
        self,
        core: Core,
        now: float,
        answer: DepartureAnswer,
        ip: str,
    ) -> None:
        tracker = self._storage.tracker
        starts = {row.name: row.born for row in answer.departures}
        tracker.apply_departures(now, starts)
        sender = list_witnesses(core).get(ip)
        if sender is None or not tracker.held.is_holding(now):
            return
        if self._inquiry.add_answer(sender, answer):
            self._record_known(answer, sender.node)
            tracker.restore(now, {})

    def _record_known(self, answer: DepartureAnswer, sender: str) -> None:
        names = ', '.join(self._storage.tracker.departures.withdrawn) or 'none'
        vouchers = self._inquiry.list_vouchers()
        known_by = f'read by {sender}' if answer.was_read else vouchers
        self._journal.record(
            Occurrence(
                EventCode.DEPARTURES_LEARNED,
                step='start',
                detail=f'{names}; from {known_by}',
            ),
        )

    def _send(
        self,
        message: DepartureNotice | DepartureQuestion | DepartureAnswer,
        hosts: list[str],
    ) -> None:
        self.socket.send(self._codec.seal(message), hosts)


def list_witnesses(core: Core) -> dict[str, Voucher]:
    """Return the nodes that can be asked, by IP address.

    A node that starts has links before it knows any other member.
    """
    linked = {
        link.address.ip: Voucher(link.name, link.locality.failure_domain)
        for link in core.links
        if link.name and link.locality is not None
    }
    members = {
        other.link.ip: Voucher(other.name, other.locality.failure_domain)
        for other in list_others(core)
    }
    return linked | members


def choose_hosts(random: Random, witnesses: dict[str, Voucher]) -> list[str]:
    """Return random nodes to ask, among them one of each failure domain."""
    hosts = list(witnesses)
    random.shuffle(hosts)
    first = {witnesses[host].domain: host for host in hosts}
    chosen = list(first.values())
    rest = [host for host in hosts if host not in chosen]
    missing = max(0, ASKED_NODES - len(chosen))
    chosen.extend(rest[:missing])
    random.shuffle(chosen)
    return chosen
