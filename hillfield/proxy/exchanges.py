"""Processing of one request from its admission to its answer."""

from collections.abc import Awaitable
from functools import partial
from typing import Final

from hillfield.clocks import monotonic
from hillfield.model import RequestFailure
from hillfield.proxy.attempts import Attempt
from hillfield.proxy.context import ProxyContext
from hillfield.proxy.courses import Course
from hillfield.proxy.deadlines import Deadline
from hillfield.proxy.failures import Fault, describe_stray
from hillfield.proxy.guards import run_guarded
from hillfield.proxy.orders import Order
from hillfield.proxy.relays import Relay
from hillfield.proxy.replies import Reply
from hillfield.proxy.running import RunningAttempts
from hillfield.routing.ports import Dispatching
from hillfield.routing.requests import (
    Answered,
    Arrival,
    CallerGone,
    Done,
    Observation,
    Refuse,
    Send,
    Verdict,
    Wait,
)
from hillfield.timers import Appointment, find_timer

# Seconds in the Retry-After of a request that was not sent before its deadline.
_COME_BACK: Final = 1.0


class Exchange:
    """Carry out the decisions on one request and answer its caller."""

    def __init__(
        self,
        context: ProxyContext,
        order: Order,
        reply: Reply,
    ) -> None:
        """Start the deadline timer; the request may still be arriving."""
        self.started = False
        self._started_at = float()
        self.closed = False
        self._context = context
        self._order = order
        course = Course(monotonic())
        self._relay = Relay(context, order, reply, course)
        self._dispatching: Dispatching = context.dispatchers.for_service(
            order.plan.service,
        )
        self._running = RunningAttempts(
            context,
            order,
            self._dispatching,
            course,
        )
        self._fallback: Attempt | None = None
        self._sign: Appointment | None = None
        self._deadline = Deadline(
            order.expires,
            partial(run_guarded, self.expire, self.note_stray),
        )

    def start(self, replayable: bool) -> None:
        """Ask for admission; `replayable`: the complete body is in memory."""
        self.started = True
        self._started_at = monotonic()
        request = self._order.passage.key
        fingerprint = self._running.identify()
        refusal = self._running.find_refusal()
        if refusal is not None:
            self.fail(refusal)
            return
        self._context.takers[request] = self
        sign_after = self._context.settings.sign_after
        if sign_after:
            self._sign = find_timer().after(sign_after, self._relay.send_sign)
        self.take(
            self._dispatching.admit(
                monotonic(),
                Arrival(
                    request,
                    self._order.plan,
                    self._order.expires,
                    replayable,
                    fingerprint,
                ),
            ),
        )

    def take(self, verdict: Verdict) -> None:
        """Carry out a decision of the dispatcher."""
        match verdict:
            case Send() if self.closed:
                now = monotonic()
                self._dispatching.finish(now, verdict.attempt, CallerGone())
            case Send():
                refusal = self._running.launch(verdict, self)
                if refusal is not None:
                    self.fail(refusal)
            case Wait():
                self._context.wakes.follow(self._dispatching)
            case Refuse():
                self.fail(verdict.failure)
            case Done() if not self._running.attempts:
                self._settle()

    def leave(self) -> None:
        """Cancel the request after its caller closed the connection."""
        if self.closed:
            return
        self._relay.record_leaving()
        if self.started and not self._running.attempts:
            self._dispatching.leave(monotonic(), self._order.passage.key)
        self._close()

    def fail(self, failure: RequestFailure) -> None:
        """Send a failure to the caller immediately."""
        if self.closed:
            return
        self._close()
        self._relay.fail(failure)

    def note_overflow(self, attempt: Attempt) -> Awaitable[None] | None:
        """Forward an answer that exceeds the buffer limit, or reject it."""
        observation = attempt.answer.judge_part()
        if observation is None:
            return self._begin_relay(attempt)
        attempt.reported = True
        verdict = self._running.finish(attempt, observation)
        if isinstance(verdict, Done) and isinstance(observation, Answered):
            return self._begin_relay(attempt)
        attempt.cut()
        self.take(verdict)
        return None

    def note_ended(self, attempt: Attempt, observation: Observation) -> None:
        """Process the end of an attempt."""
        verdict: Verdict = Done(self._order.passage.key)
        if not attempt.reported:
            verdict = self._running.finish(attempt, observation)
        if attempt.answer.relaying:
            self._close()
            self._relay.end(observation)
        elif is_last_word(self._order, observation, verdict):
            self._fallback = attempt
            if not (_is_wrong(observation) and self._running.attempts):
                self._settle()
        else:
            self.take(verdict)
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
            self._dispatching.leave(monotonic(), self._order.passage.key)
        refusal = self._running.expire()
        if refusal is None:
            refusal = _find_deadline_failure(self._running.may_have_run)
        self.fail(refusal)

    def note_stray(self, error: Exception) -> None:
        """End the request after an unexpected error."""
        failure = describe_stray(error)
        if self.closed:
            self._relay.rescue(failure)
        else:
            self.fail(failure)

    def _begin_relay(self, attempt: Attempt) -> Awaitable[None]:
        self._running.hear(attempt)
        self._running.cut(attempt)
        return self._relay.begin(attempt)

    def _settle(self) -> None:
        if self.closed:
            return
        attempt = self._fallback
        if attempt is None:
            self.fail(Fault.INTERRUPTED.failure('no answer is available'))
            return
        # An attempt references its exchange. Without the reference back to the
        # attempt there is no cycle that only the garbage collector could free.
        self._fallback = None
        self._close()
        self._relay.send(attempt)
        spent = monotonic() - self._started_at - self._running.target_seconds
        self._context.meter.note_added(max(0, spent))

    def _close(self) -> None:
        self.closed = True
        self._deadline.cancel()
        if self._sign is not None:
            self._sign.cancel()
        self._order.body.discard()
        self._order.holder.end_work()
        self._context.takers.pop(self._order.passage.key, None)
        busy = bool(self._running.attempts)
        self._running.cut()
        if busy:
            self._context.poll(self._dispatching)


def _find_deadline_failure(may_have_run: bool) -> RequestFailure:
    if may_have_run:
        return Fault.DEADLINE_UNKNOWN.failure('no answer in time')
    return Fault.DEADLINE_NOT_RUN.failure(
        'not sent in time',
        retry_after=_COME_BACK,
    )


def is_last_word(
    order: Order,
    observation: Observation,
    verdict: Verdict,
) -> bool:
    """Return whether an attempt's answer is sent to the caller."""
    if not isinstance(observation, Answered):
        return False
    if isinstance(verdict, Done):
        return True
    # The target's own failure answer is more specific than a generated one.
    return order.plan.checks.relays_wrong and isinstance(verdict, Refuse)


def _is_wrong(observation: Observation) -> bool:
    return isinstance(observation, Answered) and bool(observation.wrong)
