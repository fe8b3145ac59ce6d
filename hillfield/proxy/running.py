"""In-flight attempts of one request."""

from asyncio import Task, TimerHandle, create_task, get_running_loop
from functools import partial
from typing import Final

from hillfield.clocks import monotonic
from hillfield.events import EventCode, Occurrence
from hillfield.model import RequestFailure
from hillfield.proxy.attempts import Attempt, AttemptOwner
from hillfield.proxy.context import ProxyContext
from hillfield.proxy.courses import Course
from hillfield.proxy.dialects import show_milliseconds
from hillfield.proxy.guards import run_guarded
from hillfield.proxy.orders import Order, describe_likeness
from hillfield.proxy.tools import AttemptTools
from hillfield.routing.declining import Declined
from hillfield.routing.ports import Dispatching
from hillfield.routing.requests import (
    Answered,
    CallerGone,
    NothingWritten,
    Observation,
    Refuse,
    Send,
    Shed,
    TimedOut,
    Verdict,
)

# Seconds until a hedge is tried again that found no target or no retry budget:
# slots become free about this often.
HEDGE_AGAIN: Final = 0.1
# Observations of a complete answer.
_WHOLE: Final = (Answered, Shed)
_SURELY_NOT_RUN: Final = (Shed, Declined)


class RunningAttempts:
    """Start attempts and report the end of each to the dispatcher once.

    `may_have_run`: the request may have run at some target;
    `target_seconds`: the total time that its attempts spent at targets.
    """

    def __init__(
        self,
        context: ProxyContext,
        order: Order,
        dispatching: Dispatching,
        course: Course,
    ) -> None:
        """Start without attempts."""
        self._course = course
        self._order = order
        self._hedge_timer: TimerHandle | None = None
        self.attempts: dict[int, Attempt] = {}
        self.may_have_run = False
        self.target_seconds = float()
        self._reason = ''
        self._fingerprint = b''
        self._context = context
        self._dispatching = dispatching
        self._tools = AttemptTools(
            context.pool,
            context.settings,
            dispatching,
        )
        self._tasks: set[Task[None]] = set()

    def identify(self) -> bytes:
        """Compute and keep the fingerprint of the request after its body."""
        guard = self._context.guard
        self._fingerprint = guard.identify(describe_likeness(self._order))
        return self._fingerprint

    def find_refusal(self) -> RequestFailure | None:
        """Return why the request must not be sent to any target, if so."""
        return self._context.guard.refuse(
            self._fingerprint,
            may_have_run=self.may_have_run or bool(self.attempts),
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
        self._course.note_sent(send)
        attempt = Attempt(send, self._order, self._tools, owner)
        self.attempts[send.attempt] = attempt
        if self._reason:
            self._note_retry(send)
        run_guarded(attempt.begin, owner.note_stray)
        task = create_task(attempt.run())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        if not self._order.body.streamed:
            self._time_hedge(owner)
        return None

    def finish(self, attempt: Attempt, observation: Observation) -> Verdict:
        """Report the end of an attempt and return the decision that follows."""
        self.attempts.pop(attempt.send.attempt, None)
        now = monotonic()
        self._reason = type(observation).__name__
        self._course.note(attempt.written_at, observation)
        if isinstance(observation, _WHOLE):
            self.hear(attempt)
        if attempt.written_at is not None:
            self.target_seconds += now - attempt.written_at
            self.may_have_run |= not isinstance(observation, _SURELY_NOT_RUN)
        return self._dispatching.finish(
            now,
            attempt.send.attempt,
            observation,
        )

    def hear(self, attempt: Attempt) -> None:
        """Report the target's notice once its answer is accepted."""
        notice = attempt.answer.notice
        if notice is not None:
            attempt.answer.notice = None
            now = monotonic()
            number = attempt.send.attempt
            self._dispatching.note_notice(now, number, notice)

    def cut(self, winner: Attempt | None = None) -> None:
        """Cancel all attempts except the winner."""
        if self._hedge_timer is not None:
            self._hedge_timer.cancel()
        for attempt in tuple(self.attempts.values()):
            if attempt is not winner:
                attempt.cut()
                self.finish(attempt, CallerGone())

    def expire(self) -> RequestFailure | None:
        """End all attempts at the deadline; return the failure, if any."""
        refusal = None
        for attempt in tuple(self.attempts.values()):
            attempt.cut()
            verdict = self.finish(attempt, _observe_expiry(attempt))
            if isinstance(verdict, Refuse):
                refusal = verdict.failure
        return refusal

    def _note_retry(self, send: Send) -> None:
        self._context.meter.note_retry(self._reason)
        left = show_milliseconds(self._order.expires - monotonic())
        self._context.journal.record(
            Occurrence(
                EventCode.REQUEST_SENT_ON,
                service=self._order.plan.service,
                target=str(send.target),
                request=self._order.passage.request,
                detail=f'after {self._reason}, {left} ms left',
            ),
        )

    def _time_hedge(self, owner: AttemptOwner) -> None:
        delay = self._dispatching.find_hedge_delay(self._order.plan)
        if delay is not None:
            self._await_hedge(delay, owner)

    def _await_hedge(self, delay: float, owner: AttemptOwner) -> None:
        if self._hedge_timer is not None:
            self._hedge_timer.cancel()
        self._hedge_timer = get_running_loop().call_later(
            delay,
            run_guarded,
            partial(self._hedge, owner),
            owner.note_stray,
        )

    def _hedge(self, owner: AttemptOwner) -> None:
        heads = [
            attempt.answer.start_line.code for attempt in self.attempts.values()
        ]
        if heads != [0]:
            return
        send = self._dispatching.hedge(monotonic(), self._order.passage.key)
        if send is None:
            self._await_hedge(HEDGE_AGAIN, owner)
            return
        self._context.journal.record(
            Occurrence(
                EventCode.HEDGE_SENT,
                service=self._order.plan.service,
                target=str(send.target),
                request=self._order.passage.request,
            ),
        )
        self.launch(send, owner)


def _observe_expiry(attempt: Attempt) -> Observation:
    if attempt.written_at is not None:
        return TimedOut(attempt.answer.relaying)
    return NothingWritten('deadline passed')
