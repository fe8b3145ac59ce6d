"""What the request path needs of the decisions."""

from typing import Protocol

from hillfield.loadreports.reports import LoadReport
from hillfield.model import RequestPlan, TargetNotice
from hillfield.routing.requests import Arrival, Observation, Send, Verdict


class Dispatching(Protocol):
    """Decide for one service; `now` is monotonic seconds."""

    def admit(self, now: float, arrival: Arrival) -> Verdict:
        """Decide on a new request: send it, queue it or refuse it."""

    def note_written(self, now: float, attempt: int) -> None:
        """Note that the attempt's first byte is about to be written."""

    def note_head(self, now: float, attempt: int) -> None:
        """Note that the head of the attempt's answer has come."""

    def note_notice(
        self,
        now: float,
        attempt: int,
        notice: TargetNotice,
    ) -> None:
        """Take what a target says of itself in an attempt's answer."""

    def adopt_report(self, now: float, report: LoadReport) -> None:
        """Take what an answer tells of its target's room."""

    def note_silent(self, now: float, attempt: int) -> None:
        """Note that the other end gave no sign of life in time."""

    def finish(
        self,
        now: float,
        attempt: int,
        observation: Observation,
    ) -> Verdict:
        """End an attempt and decide what becomes of its request."""

    def find_hedge_delay(self, plan: RequestPlan) -> float | None:
        """Return the seconds from an attempt to a second one; None: never."""

    def hedge(self, now: float, request: str) -> Send | None:
        """Start a second attempt of a slow request, if the budget allows."""

    def leave(self, now: float, request: str) -> None:
        """Forget a request whose caller went away while it was queued."""

    def poll(self, now: float) -> tuple[Verdict, ...]:
        """Return verdicts for queued requests; call after finish, in ticks."""

    def next_due(self) -> float | None:
        """Return when a poll may move queued requests; None: at events."""


class Dispatchers(Protocol):
    """Find the dispatcher of a service."""

    def for_service(self, service: str) -> Dispatching:
        """Return the dispatcher; it refuses where no target is known."""
