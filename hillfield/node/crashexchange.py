"""Exchange of findings on crashing requests between the nodes of the fleet.

The gate beside a target observes its exit and sends it to all nodes at once,
in one sealed datagram each. Lost datagrams, and findings that a node missed
while it was starting or partitioned, are recovered by comparing digests with
one other node each second, only while there is anything to compare.
"""

from random import Random
from typing import Final

from hillfield.clocks import monotonic
from hillfield.crashes import (
    Comparison,
    ComparisonTimer,
    CrashCodec,
    Findings,
    Inquiry,
    Message,
    split_rows,
)
from hillfield.model import Address
from hillfield.node.crashes import CallerGuard, CrashTracker, GateGuard
from hillfield.node.datagrams import DatagramSocket
from hillfield.timers import ScheduledCall, get_shared_timer

# Rows of one datagram, and datagrams sent for one comparison; the rest follows
# at the next comparison.
ROWS_PER_DATAGRAM: Final = 24
DATAGRAMS_PER_COMPARISON: Final = 32
# Seconds between checks for findings to repeat and for a due inquiry.
CHECK_INTERVAL: Final = 0.3
# Share of the inquiries that go to the own failure domain. Bytes between failure
# domains are expensive; the rest is needed because a finding that a whole
# failure domain missed can only come from another.
OWN_DOMAIN_SHARE: Final = 0.75


class CrashExchange:
    """Exchange findings on crashing requests with the other nodes."""

    def __init__(
        self,
        address: Address,
        key: bytes,
        random: Random,
        tracker: CrashTracker,
    ) -> None:
        """Prepare; nothing is opened before `start`."""
        self.socket = DatagramSocket(address, self._receive)
        self.tracker = tracker
        self.at_callers = CallerGuard(tracker)
        self.at_gate = GateGuard(tracker)
        self._codec = CrashCodec(key)
        self._random = random
        self._ticking: ScheduledCall | None = None
        self._to_repeat: list[Findings] = []
        self._inquiry_timer = ComparisonTimer()
        tracker.on_findings = self._broadcast

    def start(self) -> None:
        """Open the socket; raises `OSError` if it can't be bound."""
        self.socket.start()
        self._ticking = get_shared_timer().every(CHECK_INTERVAL, self._tick)

    async def stop(self) -> None:
        """Stop sending, and close the socket."""
        if self._ticking is not None:
            self._ticking.cancel()
        await self.socket.stop()

    def _broadcast(self, findings: Findings) -> None:
        self._to_repeat.append(findings)
        self._send(findings, self._list_hosts())

    def _tick(self) -> None:
        """Repeat recent findings once, and send an inquiry when it is due."""
        if self._to_repeat:
            hosts = self._list_hosts()
            for findings in self._to_repeat:
                self._send(findings, hosts)
            self._to_repeat.clear()
        now = monotonic()
        has_cases = bool(self.tracker.registry.cases)
        if (
            self._inquiry_timer.is_due(now, has_reports=has_cases)
            and self._send_inquiry()
        ):
            self._inquiry_timer.record_sent(now)

    def _send_inquiry(self) -> bool:
        """Send an inquiry to one other node; False if none is known."""
        others = self.tracker.list_others()
        near = [other for other in others if self.tracker.is_near(other)]
        if near and self._random.random() < OWN_DOMAIN_SHARE:
            others = near
        if not others:
            return False
        host = self._random.choice(others).link.ip
        self._send(Inquiry(self.tracker.registry.compute_root()), [host])
        return True

    def _receive(self, datagram: bytes, ip: str) -> None:
        registry = self.tracker.registry
        match self._codec.open(datagram):
            case Findings() as findings:
                self.tracker.merge(monotonic(), findings)
            case Inquiry(root=root) if root != registry.compute_root():
                self._send(Comparison(registry.list_digests()), [ip])
            case Comparison() as comparison:
                self._send_differences(comparison, ip)

    def _send_differences(self, comparison: Comparison, ip: str) -> None:
        """Send the parts that differ, and request them in return."""
        own = self.tracker.registry.list_digests()
        pairs = zip(own, comparison.digests, strict=False)
        differing = [
            part
            for part, (own_digest, other_digest) in enumerate(pairs)
            if own_digest != other_digest
        ]
        findings = self.tracker.registry.export(monotonic(), differing)
        batches = list(split_rows(findings, ROWS_PER_DATAGRAM))
        for batch in batches[:DATAGRAMS_PER_COMPARISON]:
            self._send(batch, [ip])
        if differing and not comparison.answering:
            self._send(Comparison(own, answering=True), [ip])

    def _list_hosts(self) -> list[str]:
        return [record.link.ip for record in self.tracker.list_others()]

    def _send(self, message: Message, hosts: list[str]) -> None:
        self.socket.send(self._codec.seal(message), hosts)
