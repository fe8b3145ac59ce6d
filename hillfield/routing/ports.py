"""Protocols through which the request path asks for routing decisions."""

from typing import Protocol

from hillfield.loadreports.reports import LoadReport
from hillfield.model import RequestPlan, TargetNotice
from hillfield.routing.requests import Arrival, Decision, Observation, Send


class Dispatching(Protocol):
    """Make the decisions for one service; `now` is in monotonic seconds."""

    def admit(self, now: float, arrival: Arrival) -> Decision:
        """Decide on a new request: send it, queue it or refuse it."""

    def record_written(self, now: float, attempt: int) -> None:
        """Record that the attempt's first byte is about to be written."""

    def record_head(self, now: float, attempt: int) -> None:
        """Record that the head of the attempt's answer has arrived."""

    def record_notice(
        self,
        now: float,
        attempt: int,
        notice: TargetNotice,
    ) -> None:
        """Record the notice that a target put into an attempt's answer."""

    def adopt_report(self, now: float, report: LoadReport) -> None:
        """Apply the free capacity of a target that its gate reported."""

    def record_silence(self, now: float, attempt: int) -> None:
        """Record that no keepalive for the attempt arrived in time."""

    def finish(
        self,
        now: float,
        attempt: int,
        observation: Observation,
    ) -> Decision:
        """End an attempt and decide how its request continues."""

    def compute_hedge_delay(self, plan: RequestPlan) -> float | None:
        """Return the seconds after which to hedge an attempt; None: never."""

    def hedge(self, now: float, request: str) -> Send | None:
        """Start a second attempt of a slow request if the budget allows it."""

    def cancel(self, now: float, request: str) -> None:
        """Drop a queued request whose caller has disconnected."""

    def poll(self, now: float) -> tuple[Decision, ...]:
        """Return decisions on queued requests; call after finish, in ticks."""

    def next_due(self) -> float | None:
        """Return when `poll` may send queued requests; None: after events."""


class Dispatchers(Protocol):
    """Provide the dispatcher of each service."""

    def for_service(self, service: str) -> Dispatching:
        """Return the dispatcher; it refuses requests if no target is known."""
