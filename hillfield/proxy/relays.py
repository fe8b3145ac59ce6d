"""Answers and failures to callers, with their log entries and metrics."""

from collections.abc import Awaitable
from http import HTTPStatus

from hillfield.clocks import monotonic
from hillfield.events import EventCode, Occurrence
from hillfield.model import Outcome, RequestFailure, Step
from hillfield.proxy.attempts import Attempt
from hillfield.proxy.context import ProxyContext
from hillfield.proxy.courses import Course, name_age
from hillfield.proxy.failures import Fault
from hillfield.proxy.orders import Order
from hillfield.proxy.replies import Reply
from hillfield.routing.requests import Answered, Observation


class Relay:
    """Send one caller the answer of an attempt, or a failure."""

    def __init__(
        self,
        context: ProxyContext,
        order: Order,
        reply: Reply,
        course: Course,
    ) -> None:
        """Initialize; nothing is answered yet."""
        self._context = context
        self._order = order
        self._reply = reply
        self._course = course

    def begin(self, attempt: Attempt) -> Awaitable[None]:
        """Forward an answer in parts from now on."""
        attempt.relay = self._reply
        attempt.answer.relaying = True
        return self._reply.begin(attempt.answer, self._order.passage)

    def end(self, observation: Observation) -> None:
        """End a forwarded answer, visibly broken if it is incomplete."""
        if isinstance(observation, Answered):
            self._count(Outcome.ANSWERED, served=not observation.wrong)
            self._reply.end()
            return
        self._count(Outcome.UNKNOWN)
        failure = Fault.INTERRUPTED.failure('the answer ended early')
        self._record(failure)
        self._tell(failure)

    def send(self, attempt: Attempt) -> None:
        """Forward an answer that is complete in memory."""
        status = attempt.answer.start_line.code
        failed = status >= HTTPStatus.INTERNAL_SERVER_ERROR
        if failed:
            self._record_passed_on(attempt, status)
        self._count(Outcome.ANSWERED, served=not failed)
        self._reply.send_whole(attempt.answer, self._order.passage)

    def send_sign(self) -> None:
        """Send a keepalive, unless an answer has begun."""
        self._reply.send_sign()

    def fail(self, failure: RequestFailure) -> None:
        """Send a failure, or abort an answer that has begun."""
        self._record(failure)
        self._count(failure.outcome)
        self._tell(failure)

    def rescue(self, failure: RequestFailure) -> None:
        """Record an error after the request was closed; answer if none was."""
        if self._reply.begun:
            self._record(failure)
        else:
            self.fail(failure)

    def record_leaving(self) -> None:
        """Record that the caller closed the connection."""
        self._context.journal.record(
            Occurrence(
                EventCode.CALLER_GONE,
                service=self._order.plan.service,
                request=self._order.passage.request,
            ),
        )

    def _tell(self, failure: RequestFailure) -> None:
        if not self._reply.begun or self._reply.abort():
            self._reply.fail(failure, self._order.passage.request)

    def _count(self, outcome: Outcome, *, served: bool = False) -> None:
        plan = self._order.plan
        meter = self._context.meter
        meter.note_request(plan.service, outcome)
        age = name_age(plan, monotonic())
        if age is not None:
            meter.note_route(age, served)

    def _record_passed_on(self, attempt: Attempt, status: int) -> None:
        self._record(
            RequestFailure(
                status,
                Outcome.ANSWERED,
                Step.RELAY_ANSWER,
                str(attempt.send.address),
                int(EventCode.REQUEST_FAILED),
                f'its target answered {status}',
            ),
        )

    def _record(self, failure: RequestFailure) -> None:
        self._context.record_failure(
            failure,
            self._order.passage.request,
            self._order.plan.service,
            self._course.describe(self._order.plan, monotonic()),
        )
