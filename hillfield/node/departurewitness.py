"""Memory of the departures that other nodes have told, and answers from it."""

from asyncio import Task, create_task
from collections.abc import Callable
from typing import Final

from hillfield.departures import (
    Departure,
    DepartureAnswer,
    DepartureMemory,
    DepartureNotice,
    DepartureQuestion,
)
from hillfield.fleet.core import Core
from hillfield.fleet.state_table import has_known_before
from hillfield.node.departures import DepartureStorage

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
