"""State shared by the requests of one node."""

from functools import partial
from typing import Protocol

from hillfield.clocks import monotonic
from hillfield.events import EventCode, Journal, Occurrence
from hillfield.model import RequestFailure
from hillfield.proxy.deadlines import DrainLimits
from hillfield.proxy.guards import run_guarded
from hillfield.proxy.intake import Intake
from hillfield.proxy.meters import RequestMeter
from hillfield.proxy.polltimers import PollTimers
from hillfield.proxy.pool import Pool
from hillfield.proxy.ports import CrashGuard, PlanSource
from hillfield.proxy.settings import ProxySettings
from hillfield.routing.ports import Dispatchers, Dispatching
from hillfield.routing.requests import CallerGone, Decision, Send


class RequestOwner(Protocol):
    """Owner of a request that may be queued."""

    def apply(self, decision: Decision) -> None:
        """Carry out a decision of the dispatcher."""

    def expire(self) -> None:
        """End the request at its deadline and answer its caller."""

    def refuse_late(self) -> None:
        """Refuse the request if the drain leaves no time to send it."""

    def handle_error(self, error: Exception) -> None:
        """End the request after an unexpected error."""


class ProxyContext:
    """Requests in flight, and the components that they use."""

    def __init__(
        self,
        settings: ProxySettings,
        plans: PlanSource,
        dispatchers: Dispatchers,
        journal: Journal,
        meter: RequestMeter,
        guard: CrashGuard,
    ) -> None:
        """Start without requests."""
        self.settings = settings
        self.plans = plans
        self.dispatchers = dispatchers
        self.journal = journal
        self.meter = meter
        self.guard = guard
        self.pool = Pool(settings)
        self.intake = Intake()
        self.drain_limits: DrainLimits | None = None
        self.in_flight: dict[str, RequestOwner] = {}
        self.poll_timers = PollTimers(self.poll)

    @property
    def draining(self) -> bool:
        """Return whether the server stops."""
        return self.drain_limits is not None

    def poll(self, dispatching: Dispatching) -> None:
        """Carry out decisions on queued requests after an attempt has ended."""
        for decision in dispatching.poll(monotonic()):
            self.deliver(decision)
        self.poll_timers.schedule(dispatching)

    def deliver(self, decision: Decision) -> None:
        """Pass a decision to the request that it is for."""
        owner = self.in_flight.get(decision.request)
        if owner is not None:
            run_guarded(partial(owner.apply, decision), owner.handle_error)
        elif isinstance(decision, Send):
            dispatching = self.dispatchers.for_service(decision.target.service)
            dispatching.finish(monotonic(), decision.attempt, CallerGone())

    def expire_all(self) -> None:
        """End all requests now, each with a failure answer of its own."""
        for owner in tuple(self.in_flight.values()):
            run_guarded(owner.expire, owner.handle_error)

    def refuse_late(self) -> None:
        """Refuse queued requests that the drain leaves no time to send."""
        for owner in tuple(self.in_flight.values()):
            run_guarded(owner.refuse_late, owner.handle_error)

    def record_failure(
        self,
        failure: RequestFailure,
        request: str = '',
        service: str = '',
        summary: str = '',
    ) -> None:
        """Log a failure answer; deciding components have logged their own.

        `summary` describes the request's attempts.
        """
        try:
            code = EventCode(failure.event)
        except ValueError:
            code = EventCode.REQUEST_FAILED
        self.journal.record(
            Occurrence(
                code,
                service=service,
                request=request,
                peer=failure.peer,
                step=failure.step.value,
                detail='; '.join(filter(None, (failure.detail, summary))),
            ),
        )
