"""Requests that end targets, told among the nodes of the fleet.

The gate beside a target sees its end and tells all nodes at once, by a sealed
datagram each. What is lost on the way, and what a node that starts or was cut
off has missed, is mended by comparing digests with one other node each second,
only while there is anything to compare.
"""

from random import Random
from typing import Final

from hillfield.clocks import monotonic
from hillfield.crashes import (
    Asking,
    Comparison,
    CrashCodec,
    Findings,
    Inquiry,
    Message,
    split_rows,
)
from hillfield.model import Address
from hillfield.node.crashes import CallerGuard, CrashBook, GateGuard
from hillfield.node.datagrams import DatagramSocket
from hillfield.timers import Appointment, find_timer

# Rows of one datagram, and datagrams of one answer: what is left over goes in
# answer to the next question.
ROWS_AT_ONCE: Final = 24
DATAGRAMS_AT_ONCE: Final = 32
# Seconds between looks at what is to be told once more, or asked.
LOOK_AGAIN: Final = 0.3
# Share of the questions that go to the own failure domain: bytes to others are
# dear, and what a whole domain missed has to come from another.
NEAR_SHARE: Final = 0.75


class CrashExchange:
    """Share what one node knows with the others."""

    def __init__(
        self,
        address: Address,
        key: bytes,
        random: Random,
        book: CrashBook,
    ) -> None:
        """Prepare; nothing is opened before `start`."""
        self.socket = DatagramSocket(address, self._receive)
        self.book = book
        self.at_callers = CallerGuard(book)
        self.at_gate = GateGuard(book)
        self._codec = CrashCodec(key)
        self._random = random
        self._ticking: Appointment | None = None
        self._again: list[Findings] = []
        self._asking = Asking()
        book.on_news = self._spread

    def start(self) -> None:
        """Open the socket; raises `OSError` when it can't be had."""
        self.socket.start()
        self._ticking = find_timer().every(LOOK_AGAIN, self._tick)

    async def stop(self) -> None:
        """Tell no more, and close the socket."""
        if self._ticking is not None:
            self._ticking.cancel()
        await self.socket.stop()

    def _spread(self, told: Findings) -> None:
        self._again.append(told)
        self._send(told, self._list_hosts())

    def _tick(self) -> None:
        """Tell once more what may have been lost, and ask what was missed."""
        if self._again:
            hosts = self._list_hosts()
            for told in self._again:
                self._send(told, hosts)
            self._again.clear()
        now = monotonic()
        knows = bool(self.book.ledger.cases)
        if self._asking.is_due(now, knows=knows) and self._ask():
            self._asking.note_asked(now)

    def _ask(self) -> bool:
        """Ask one other node; False: none is known."""
        others = self.book.list_others()
        near = [other for other in others if self.book.is_near(other)]
        if near and self._random.random() < NEAR_SHARE:
            others = near
        if not others:
            return False
        host = self._random.choice(others).link.ip
        self._send(Inquiry(self.book.ledger.find_root()), [host])
        return True

    def _receive(self, datagram: bytes, ip: str) -> None:
        ledger = self.book.ledger
        match self._codec.open(datagram):
            case Findings() as told:
                self.book.take(monotonic(), told)
            case Inquiry(root=root) if root != ledger.find_root():
                self._send(Comparison(ledger.list_digests()), [ip])
            case Comparison() as compared:
                self._answer(compared, ip)

    def _answer(self, compared: Comparison, ip: str) -> None:
        """Tell the parts that differ, and ask back for them."""
        own = self.book.ledger.list_digests()
        pairs = zip(own, compared.digests, strict=False)
        differing = [
            part for part, (mine, theirs) in enumerate(pairs) if mine != theirs
        ]
        told = self.book.ledger.tell(monotonic(), differing)
        packed = list(split_rows(told, ROWS_AT_ONCE))
        for findings in packed[:DATAGRAMS_AT_ONCE]:
            self._send(findings, [ip])
        if differing and not compared.answering:
            self._send(Comparison(own, answering=True), [ip])

    def _list_hosts(self) -> list[str]:
        return [record.link.ip for record in self.book.list_others()]

    def _send(self, message: Message, hosts: list[str]) -> None:
        self.socket.send(self._codec.seal(message), hosts)
