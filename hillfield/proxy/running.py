"""In-flight attempts of one request."""

from asyncio import Task, TimerHandle, create_task, get_running_loop
from functools import partial
from typing import Final

from hillfield.clocks import monotonic
from hillfield.events import EventCode, Occurrence
from hillfield.model import RequestFailure
from hillfield.proxy.attempts import Attempt, AttemptOwner
from hillfield.proxy.context import ProxyContext
from hillfield.proxy.dialects import format_milliseconds
from hillfield.proxy.guards import run_guarded
from hillfield.proxy.plannedrequests import PlannedRequest, describe_identity
from hillfield.proxy.planning import find_late_send
from hillfield.proxy.resources import AttemptResources
from hillfield.proxy.summaries import AttemptSummary
from hillfield.routing.declining import Declined
from hillfield.routing.ports import Dispatching
from hillfield.routing.requests import (
    Answered,
    CallerGone,
    Decision,
    NothingWritten,
    Observation,
    Refuse,
    Send,
    Shed,
    TimedOut,
)

# Seconds until a hedge is tried again that found no target or no retry budget:
# slots become free about this often.
HEDGE_RETRY_SECONDS: Final = 0.1
# Observations of a complete answer.
_COMPLETE: Final = (Answered, Shed)
_CERTAINLY_NOT_RUN: Final = (Shed, Declined)


class RunningAttempts:
    """Start attempts and report the end of each to the dispatcher once.

    `may_have_run`: the request may have run at some target;
    `target_seconds`: the total time that its attempts spent at targets.
    """

    def __init__(
        self,
        context: ProxyContext,
        planned: PlannedRequest,
        dispatching: Dispatching,
        summary: AttemptSummary,
    ) -> None:
        """Start without attempts."""
        self._summary = summary
        self._planned = planned
        self._hedge_timer: TimerHandle | None = None
        self.attempts: dict[int, Attempt] = {}
        self.may_have_run = False
        self.target_seconds = float()
        self._last_end = ''
        self._fingerprint = b''
        self._context = context
        self._dispatching = dispatching
        self._resources = AttemptResources(
            context.pool,
            context.settings,
            dispatching,
            context.journal,
        )
        self._tasks: set[Task[None]] = set()

    def compute_fingerprint(self) -> bytes:
        """Compute and keep the fingerprint of the request after its body."""
        guard = self._context.guard
        self._fingerprint = guard.compute_fingerprint(
            describe_identity(self._planned)
        )
        return self._fingerprint

    def find_refusal(self) -> RequestFailure | None:
        """Return why the request must not be sent to any target, if so."""
        may_have_run = self.may_have_run or bool(self.attempts)
        refusal = self._context.guard.find_crash_refusal(
            self._fingerprint,
            may_have_run=may_have_run,
        )
        return refusal or find_late_send(
            self._context,
            self._planned,
            may_have_run=may_have_run,
        )

    def launch(
        self,
        send: Send,
        owner: AttemptOwner,
    ) -> RequestFailure | None:
        """Start an attempt and schedule a hedge beside it.

        First attempts, retries, hedges and queued requests all pass here, so
        each checks whether targets have exited while running the request
        meanwhile. If so, the request is not sent and the failure is returned.
        """
        refusal = self.find_refusal()
        if refusal is not None:
            now = monotonic()
            self._dispatching.finish(now, send.attempt, CallerGone())
            return refusal
        self._summary.record_sent(send)
        attempt = Attempt(send, self._planned, self._resources, owner)
        self.attempts[send.attempt] = attempt
        if self._last_end:
            self._record_retry(send)
        run_guarded(attempt.begin, owner.handle_error)
        task = create_task(attempt.run())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        if not self._planned.body.streamed:
            self._schedule_hedge(owner)
        return None

    def finish(self, attempt: Attempt, observation: Observation) -> Decision:
        """Report the end of an attempt and return the decision that follows."""
        self.attempts.pop(attempt.send.attempt, None)
        now = monotonic()
        self._last_end = type(observation).__name__
        self._summary.record_end(attempt.written_at, observation)
        if isinstance(observation, _COMPLETE):
            self.report_notice(attempt)
        if attempt.written_at is not None:
            self.target_seconds += now - attempt.written_at
            self.may_have_run |= not isinstance(observation, _CERTAINLY_NOT_RUN)
        return self._dispatching.finish(
            now,
            attempt.send.attempt,
            observation,
        )

    def report_notice(self, attempt: Attempt) -> None:
        """Report the target's notice once its answer is accepted."""
        notice = attempt.answer.notice
        if notice is not None:
            attempt.answer.notice = None
            now = monotonic()
            number = attempt.send.attempt
            self._dispatching.record_notice(now, number, notice)

    def cancel_attempts(self, winner: Attempt | None = None) -> None:
        """Cancel all attempts except the winner."""
        if self._hedge_timer is not None:
            self._hedge_timer.cancel()
        for attempt in tuple(self.attempts.values()):
            if attempt is not winner:
                attempt.abort()
                self.finish(attempt, CallerGone())

    def expire(self) -> RequestFailure | None:
        """End all attempts at the deadline; return the failure, if any."""
        refusal = None
        for attempt in tuple(self.attempts.values()):
            attempt.abort()
            decision = self.finish(attempt, _observe_expiry(attempt))
            if isinstance(decision, Refuse):
                refusal = decision.failure
        return refusal

    def _record_retry(self, send: Send) -> None:
        self._context.meter.record_retry(self._last_end)
        left = format_milliseconds(self._planned.expires - monotonic())
        self._context.journal.record(
            Occurrence(
                EventCode.REQUEST_SENT_ON,
                service=self._planned.plan.service,
                target=str(send.target),
                request=self._planned.forwarding.request,
                detail=f'after {self._last_end}, {left} ms left',
            ),
        )

    def _schedule_hedge(self, owner: AttemptOwner) -> None:
        delay = self._dispatching.compute_hedge_delay(self._planned.plan)
        if delay is not None:
            self._start_hedge_timer(delay, owner)

    def _start_hedge_timer(self, delay: float, owner: AttemptOwner) -> None:
        if self._hedge_timer is not None:
            self._hedge_timer.cancel()
        self._hedge_timer = get_running_loop().call_later(
            delay,
            run_guarded,
            partial(self._hedge, owner),
            owner.handle_error,
        )

    def _hedge(self, owner: AttemptOwner) -> None:
        statuses = [
            attempt.answer.start_line.code for attempt in self.attempts.values()
        ]
        if statuses != [0]:
            return
        send = self._dispatching.hedge(
            monotonic(),
            self._planned.forwarding.key,
        )
        if send is None:
            self._start_hedge_timer(HEDGE_RETRY_SECONDS, owner)
            return
        self._context.journal.record(
            Occurrence(
                EventCode.HEDGE_SENT,
                service=self._planned.plan.service,
                target=str(send.target),
                request=self._planned.forwarding.request,
            ),
        )
        self.launch(send, owner)


def _observe_expiry(attempt: Attempt) -> Observation:
    if attempt.written_at is not None:
        return TimedOut(attempt.answer.is_forwarded)
    return NothingWritten('deadline passed')
