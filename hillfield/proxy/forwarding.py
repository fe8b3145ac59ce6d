"""Answers and failures to callers, with their log entries and metrics."""

from collections.abc import Awaitable
from http import HTTPStatus

from hillfield.clocks import monotonic
from hillfield.events import EventCode, Occurrence
from hillfield.model import Outcome, RequestFailure, Step
from hillfield.proxy.attempts import Attempt
from hillfield.proxy.context import ProxyContext
from hillfield.proxy.failures import Fault
from hillfield.proxy.plannedrequests import PlannedRequest
from hillfield.proxy.replies import Reply
from hillfield.proxy.summaries import AttemptSummary, classify_route_age
from hillfield.routing.requests import Answered, Observation


class AnswerForwarder:
    """Send one caller the answer of an attempt, or a failure."""

    def __init__(
        self,
        context: ProxyContext,
        planned: PlannedRequest,
        reply: Reply,
        summary: AttemptSummary,
    ) -> None:
        """Initialize; nothing is answered yet."""
        self._context = context
        self._planned = planned
        self._reply = reply
        self._summary = summary

    def begin(self, attempt: Attempt) -> Awaitable[None]:
        """Forward an answer in parts from now on."""
        attempt.reply = self._reply
        attempt.answer.is_forwarded = True
        return self._reply.begin(attempt.answer, self._planned.forwarding)

    def end(self, observation: Observation) -> None:
        """End a forwarded answer, visibly broken if it is incomplete."""
        if isinstance(observation, Answered):
            self._count(Outcome.ANSWERED, served=not observation.wrong)
            self._reply.end()
            return
        self._count(Outcome.UNKNOWN)
        failure = Fault.INTERRUPTED.failure('the answer ended early')
        self._record(failure)
        self._send_failure(failure)

    def send(self, attempt: Attempt) -> None:
        """Forward an answer that is complete in memory."""
        status = attempt.answer.start_line.code
        failed = status >= HTTPStatus.INTERNAL_SERVER_ERROR
        if failed:
            self._record_target_failure(attempt, status)
        self._count(Outcome.ANSWERED, served=not failed)
        self._reply.send_complete(attempt.answer, self._planned.forwarding)

    def send_keepalive(self) -> None:
        """Send a keepalive, unless an answer has begun."""
        self._reply.send_keepalive()

    def fail(self, failure: RequestFailure) -> None:
        """Send a failure, or abort an answer that has begun."""
        self._record(failure)
        self._count(failure.outcome)
        self._send_failure(failure)

    def record_late_error(self, failure: RequestFailure) -> None:
        """Record an error after the request was closed; answer if none was."""
        if self._reply.begun:
            self._record(failure)
        else:
            self.fail(failure)

    def record_caller_gone(self) -> None:
        """Record that the caller closed the connection."""
        self._context.journal.record(
            Occurrence(
                EventCode.CALLER_GONE,
                service=self._planned.plan.service,
                request=self._planned.forwarding.request,
            ),
        )

    def _send_failure(self, failure: RequestFailure) -> None:
        if not self._reply.begun or self._reply.abort():
            self._reply.fail(failure, self._planned.forwarding.request)

    def _count(self, outcome: Outcome, *, served: bool = False) -> None:
        plan = self._planned.plan
        meter = self._context.meter
        meter.record_request(plan.service, outcome)
        age = classify_route_age(plan, monotonic())
        if age is not None:
            meter.record_route(age, served)

    def _record_target_failure(self, attempt: Attempt, status: int) -> None:
        self._record(
            RequestFailure(
                status,
                Outcome.ANSWERED,
                Step.RELAY_ANSWER,
                str(attempt.send.address),
                int(EventCode.REQUEST_FAILED),
                f'the target answered {status}',
            ),
        )

    def _record(self, failure: RequestFailure) -> None:
        self._context.record_failure(
            failure,
            self._planned.forwarding.request,
            self._planned.plan.service,
            self._summary.describe(self._planned.plan, monotonic()),
        )
