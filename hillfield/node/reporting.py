"""Load reports between nodes: datagrams, sent when due and taken in."""

from collections.abc import Callable
from typing import Final

from hillfield.clocks import monotonic
from hillfield.fleet.audience import Audience, choose_audience, list_alive
from hillfield.fleet.core import Core
from hillfield.gate import Gate
from hillfield.loadreports import LoadReport, ReportCodec, ReportPacer
from hillfield.model import Address
from hillfield.node.datagrams import DatagramSocket
from hillfield.node.listeners import Listeners
from hillfield.routing.requests import Verdict

# Seconds for which an audience is kept before it is chosen anew.
AUDIENCE_KEPT: Final = 1.0
# What datagrams are counted as that come from elsewhere.
PASSED: Final = 'passed'

ReportTaker = Callable[[float, LoadReport], tuple[Verdict, ...]]
Deliverer = Callable[[tuple[Verdict, ...]], None]


class LoadReporting:
    """Tell others of the room at this host's target; hear of theirs.

    A report that a node of another failure domain has sent is passed on to
    those nodes of this one that use the target, as it came.
    """

    def __init__(
        self,
        address: Address,
        key: bytes,
        gate: Gate,
        take: ReportTaker,
        deliver: Deliverer,
    ) -> None:
        """Prepare; nothing is opened before `start`."""
        self.socket = DatagramSocket(address, self._receive)
        self._codec = ReportCodec(key)
        self._gate = gate
        self._follow = take
        self._deliver = deliver
        self._pacer = ReportPacer()
        self._audience = Audience()
        self._chosen = -AUDIENCE_KEPT
        self._core: Core | None = None
        self._listeners: Listeners | None = None

    def join(self, core: Core) -> None:
        """Take what the node knows of its fleet: until then nobody is told."""
        self._core = core
        self._listeners = Listeners(core)

    def start(self) -> None:
        """Open the socket; raises `OSError` when it can't be had."""
        self.socket.start()
        self._gate.listener = self.note
        self._gate.on_answer = self._pacer.note_answer

    async def stop(self) -> None:
        """Close the socket."""
        await self.socket.stop()

    def note(self, now: float) -> None:
        """Tell those who are due of what may have changed."""
        report = self._gate.report(now)
        if report is None:
            return
        seat = self._gate.seat
        slots = 0 if seat is None else seat.target.slots
        self._take(now, report)
        near = self._find_listeners(now, report)
        if self._pacer.is_due_near(now, report, slots, len(near)):
            self.socket.send(self._codec.seal(report), near)
        audience = self._follow_audience(now)
        if self._pacer.is_due_far(now, report):
            self.socket.send(self._codec.seal(report), audience.far)

    def _follow_audience(self, now: float) -> Audience:
        core = self._core
        if core is not None and now - self._chosen >= AUDIENCE_KEPT:
            self._chosen = now
            others = list_alive(core)
            self._audience = choose_audience(core.own.record, others)
        return self._audience

    def _find_listeners(
        self,
        now: float,
        report: LoadReport,
    ) -> tuple[str, ...]:
        if self._listeners is None:
            return ()
        return self._listeners.find(now, report.target)

    def _take(self, now: float, report: LoadReport) -> None:
        self._deliver(self._follow(now, report))

    def _receive(self, datagram: bytes, sender: str) -> None:
        report = self._codec.open(datagram)
        if report is None:
            return
        now = monotonic()
        self._take(now, report)
        if sender in self._follow_audience(now).elsewhere:
            near = self._find_listeners(now, report)
            self.socket.send(datagram, near, PASSED)
