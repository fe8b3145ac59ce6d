"""Exchange of load reports between nodes, by datagrams."""

from collections.abc import Callable
from typing import Final

from hillfield.clocks import monotonic
from hillfield.fleet.core import Core
from hillfield.fleet.recipients import (
    ReportRecipients,
    choose_recipients,
    list_alive,
)
from hillfield.gate import Gate
from hillfield.loadreports import LoadReport, ReportCodec, ReportPacer
from hillfield.model import Address
from hillfield.node.datagrams import DatagramSocket
from hillfield.node.targetusers import TargetUsers
from hillfield.routing.requests import Decision

# Seconds for which the chosen recipients of other failure domains are kept.
RECIPIENTS_KEPT_SECONDS: Final = 1.0
# Label of the datagram counter for forwarded reports.
PASSED: Final = 'passed'

ReportListener = Callable[[float, LoadReport], tuple[Decision, ...]]
Deliverer = Callable[[tuple[Decision, ...]], None]


class LoadReporting:
    """Send the capacity of this host's target; receive that of others.

    A report from a node of another failure domain is forwarded unchanged to
    the nodes of this failure domain that use the target.
    """

    def __init__(
        self,
        address: Address,
        key: bytes,
        gate: Gate,
        on_report: ReportListener,
        deliver: Deliverer,
    ) -> None:
        """Prepare; nothing is opened before `start`."""
        self.socket = DatagramSocket(address, self._receive)
        self._codec = ReportCodec(key)
        self._gate = gate
        self._on_report = on_report
        self._deliver = deliver
        self._pacer = ReportPacer()
        self._recipients = ReportRecipients()
        self._chosen_at = -RECIPIENTS_KEPT_SECONDS
        self._core: Core | None = None
        self._target_users: TargetUsers | None = None

    def join(self, core: Core) -> None:
        """Set the state of the fleet; no report is sent before."""
        self._core = core
        self._target_users = TargetUsers(core)

    def start(self) -> None:
        """Open the socket; raises `OSError` if it can't be bound."""
        self.socket.start()
        self._gate.listener = self.send_reports
        self._gate.on_answer = self._pacer.record_answer

    async def stop(self) -> None:
        """Close the socket."""
        await self.socket.stop()

    def send_reports(self, now: float) -> None:
        """Send the present load to the nodes for which a report is due."""
        self._count_targets(now)
        report = self._gate.report(now)
        if report is None:
            return
        serving = self._gate.serving
        slots = 0 if serving is None else serving.target.slots
        self._apply(now, report)
        users = self._list_users(now, report)
        if self._pacer.is_due_near(now, report, slots, len(users)):
            self.socket.send(self._codec.seal(report), users)
        recipients = self._get_recipients(now)
        if self._pacer.is_due_far(now, report):
            self.socket.send(self._codec.seal(report), recipients.remote_relays)

    def _count_targets(self, now: float) -> None:
        """Tell the gate how many targets share the bound on repeats."""
        serving = self._gate.serving
        if self._core is not None and serving is not None:
            targets = self._core.view.targets_of(serving.target.id.service)
            self._gate.adopt_targets(now, len(targets))

    def _get_recipients(self, now: float) -> ReportRecipients:
        core = self._core
        if (
            core is not None
            and now - self._chosen_at >= RECIPIENTS_KEPT_SECONDS
        ):
            self._chosen_at = now
            others = list_alive(core)
            self._recipients = choose_recipients(core.own.record, others)
        return self._recipients

    def _list_users(
        self,
        now: float,
        report: LoadReport,
    ) -> tuple[str, ...]:
        if self._target_users is None:
            return ()
        return self._target_users.list_addresses(now, report.target)

    def _apply(self, now: float, report: LoadReport) -> None:
        self._deliver(self._on_report(now, report))

    def _receive(self, datagram: bytes, sender: str) -> None:
        report = self._codec.open(datagram)
        if report is None:
            return
        now = monotonic()
        self._apply(now, report)
        if sender in self._get_recipients(now).remote_nodes:
            users = self._list_users(now, report)
            self.socket.send(datagram, users, PASSED)
