"""Processing of one request from its admission to its answer."""

from collections.abc import Awaitable
from functools import partial
from typing import Final

from hillfield.clocks import monotonic
from hillfield.model import RequestFailure
from hillfield.proxy.attempts import Attempt
from hillfield.proxy.context import ProxyContext
from hillfield.proxy.deadlines import Deadline
from hillfield.proxy.failures import Fault, describe_unexpected
from hillfield.proxy.forwarding import AnswerForwarder
from hillfield.proxy.guards import run_guarded
from hillfield.proxy.plannedrequests import PlannedRequest
from hillfield.proxy.planning import find_late_arrival
from hillfield.proxy.replies import Reply
from hillfield.proxy.running import RunningAttempts
from hillfield.proxy.summaries import AttemptSummary
from hillfield.routing.ports import Dispatching
from hillfield.routing.requests import (
    Answered,
    Arrival,
    CallerGone,
    Decision,
    Done,
    Observation,
    Refuse,
    Send,
    Wait,
)
from hillfield.timers import ScheduledCall, get_shared_timer

# Seconds in the Retry-After of a request that was not sent before its deadline.
_RETRY_AFTER: Final = 1.0


class Exchange:
    """Carry out the decisions on one request and answer its caller."""

    def __init__(
        self,
        context: ProxyContext,
        planned: PlannedRequest,
        reply: Reply,
    ) -> None:
        """Start the deadline timer; the request may still be arriving."""
        self.started = False
        self._started_at = float()
        self.closed = False
        self._context = context
        self._planned = planned
        summary = AttemptSummary(monotonic())
        self._forwarder = AnswerForwarder(context, planned, reply, summary)
        self._dispatching: Dispatching = context.dispatchers.for_service(
            planned.plan.service,
        )
        self._running = RunningAttempts(
            context,
            planned,
            self._dispatching,
            summary,
        )
        self._final_attempt: Attempt | None = None
        self._keepalive: ScheduledCall | None = None
        self._deadline = Deadline(
            planned.expires,
            partial(run_guarded, self.expire, self.handle_error),
        )

    def start(self, replayable: bool) -> None:
        """Ask for admission; `replayable`: the complete body is in memory."""
        self.started = True
        self._started_at = monotonic()
        request = self._planned.forwarding.key
        fingerprint = self._running.compute_fingerprint()
        refusal = self._running.find_refusal() or find_late_arrival(
            self._context,
            self._planned,
        )
        if refusal is not None:
            self.fail(refusal)
            return
        self._context.in_flight[request] = self
        delay = self._context.settings.keepalive_after
        if delay:
            self._keepalive = get_shared_timer().after(
                delay,
                self._forwarder.send_keepalive,
            )
        self.apply(
            self._dispatching.admit(
                monotonic(),
                Arrival(
                    request,
                    self._planned.plan,
                    self._planned.expires,
                    replayable,
                    fingerprint,
                ),
            ),
        )

    def apply(self, decision: Decision) -> None:
        """Carry out a decision of the dispatcher."""
        match decision:
            case Send() if self.closed:
                now = monotonic()
                self._dispatching.finish(now, decision.attempt, CallerGone())
            case Send():
                refusal = self._running.launch(decision, self)
                if refusal is not None:
                    self.fail(refusal)
            case Wait():
                self._context.poll_timers.schedule(self._dispatching)
            case Refuse():
                self.fail(decision.failure)
            case Done() if not self._running.attempts:
                self._send_answer()

    def cancel(self) -> None:
        """Cancel the request after its caller closed the connection."""
        if self.closed:
            return
        self._forwarder.record_caller_gone()
        if self.started and not self._running.attempts:
            self._dispatching.cancel(monotonic(), self._planned.forwarding.key)
        self._close()

    def fail(self, failure: RequestFailure) -> None:
        """Send a failure to the caller immediately."""
        if self.closed:
            return
        self._close()
        self._forwarder.fail(failure)

    def handle_overflow(self, attempt: Attempt) -> Awaitable[None] | None:
        """Forward an answer that exceeds the buffer limit, or reject it."""
        observation = attempt.answer.observe_partial()
        if observation is not None:
            attempt.reported = True
            decision = self._running.finish(attempt, observation)
            answered = isinstance(observation, Answered)
            if not (answered and isinstance(decision, Done)):
                attempt.abort()
                self.apply(decision)
                return None
        self._running.report_notice(attempt)
        self._running.cancel_attempts(attempt)
        return self._forwarder.begin(attempt)

    def handle_end(self, attempt: Attempt, observation: Observation) -> None:
        """Process the end of an attempt."""
        decision: Decision = Done(self._planned.forwarding.key)
        if not attempt.reported:
            decision = self._running.finish(attempt, observation)
        if attempt.answer.is_forwarded:
            self._close()
            self._forwarder.end(observation)
        elif is_final_answer(self._planned, observation, decision):
            self._final_attempt = attempt
            if not (_is_wrong(observation) and self._running.attempts):
                self._send_answer()
        else:
            self.apply(decision)
        self._context.poll(self._dispatching)

    def expire(self) -> None:
        """End the request at its deadline and answer its caller."""
        if self.closed:
            return
        if not self.started:
            self.fail(
                Fault.SLOW_REQUEST.failure('the body was not received in time'),
            )
            return
        if not self._running.attempts:
            self._dispatching.cancel(monotonic(), self._planned.forwarding.key)
        refusal = self._running.expire()
        if refusal is None:
            refusal = _find_deadline_failure(self._running.may_have_run)
        self.fail(refusal)

    def refuse_late(self) -> None:
        """Refuse the request if the drain leaves no time to send it."""
        if self.closed or self._running.attempts:
            return
        refusal = self._running.find_refusal()
        if refusal is not None:
            key = self._planned.forwarding.key
            self._dispatching.cancel(monotonic(), key)
            self.fail(refusal)

    def handle_error(self, error: Exception) -> None:
        """End the request after an unexpected error."""
        failure = describe_unexpected(error)
        if self.closed:
            self._forwarder.record_late_error(failure)
        else:
            self.fail(failure)

    def _send_answer(self) -> None:
        if self.closed:
            return
        attempt = self._final_attempt
        if attempt is None:
            self.fail(Fault.INTERRUPTED.failure('no answer is available'))
            return
        # An attempt references its exchange. Without the reference back to the
        # attempt there is no cycle that only the garbage collector could free.
        self._final_attempt = None
        self._close()
        self._forwarder.send(attempt)
        spent = monotonic() - self._started_at - self._running.target_seconds
        self._context.meter.record_added_latency(max(0, spent))

    def _close(self) -> None:
        self.closed = True
        self._deadline.cancel()
        if self._keepalive is not None:
            self._keepalive.cancel()
        self._planned.body.discard()
        self._planned.holder.release_request()
        self._context.in_flight.pop(self._planned.forwarding.key, None)
        busy = bool(self._running.attempts)
        self._running.cancel_attempts()
        if busy:
            self._context.poll(self._dispatching)


def _find_deadline_failure(may_have_run: bool) -> RequestFailure:
    if may_have_run:
        return Fault.DEADLINE_UNKNOWN.failure('no answer before the deadline')
    return Fault.DEADLINE_NOT_RUN.failure(
        'not sent before the deadline',
        retry_after=_RETRY_AFTER,
    )


def is_final_answer(
    planned: PlannedRequest,
    observation: Observation,
    decision: Decision,
) -> bool:
    """Return whether an attempt's answer is sent to the caller."""
    if not isinstance(observation, Answered):
        return False
    if isinstance(decision, Done):
        return True
    # The target's own failure answer is more specific than a generated one.
    return planned.plan.checks.relays_wrong and isinstance(decision, Refuse)


def _is_wrong(observation: Observation) -> bool:
    return isinstance(observation, Answered) and bool(observation.wrong)
