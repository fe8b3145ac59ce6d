"""Check for keepalives of the node that a request was sent to."""

from collections.abc import Callable
from functools import partial
from typing import Protocol

from hillfield.clocks import LATENESS_TOLERANCE, monotonic
from hillfield.proxy.guards import run_guarded
from hillfield.proxy.incoming import IncomingAnswer
from hillfield.proxy.plannedrequests import PlannedRequest
from hillfield.proxy.resources import AttemptResources
from hillfield.routing.requests import Broken, Observation, Send
from hillfield.timers import (
    STEP_SECONDS,
    ScheduledCall,
    get_shared_timer,
    run_after_pending_reads,
)


class ErrorHandler(Protocol):
    """Owner of a request."""

    def handle_error(self, error: Exception) -> None:
        """Process an unexpected error."""


class AttemptInFlight(Protocol):
    """Attempt in flight."""

    send: Send
    ended: bool
    answer: IncomingAnswer
    written_at: float | None

    @property
    def owner(self) -> ErrorHandler:
        """Return the owner of the request."""

    def end(self, observation: Observation) -> None:
        """Report the first end of the attempt to the owner."""

    def abort(self) -> None:
        """End the attempt by closing its connection to the other end."""


def schedule_keepalive_check(
    attempt: AttemptInFlight,
    resources: AttemptResources,
    planned: PlannedRequest,
) -> ScheduledCall | None:
    """Schedule a check for a keepalive, where the other end sends them.

    The end of the attempt must cancel it: until then it references the
    complete request.
    """
    within = resources.settings.keepalive_within
    if not within:
        return None
    check = partial(
        run_guarded,
        partial(check_keepalive, attempt, resources, planned),
        attempt.owner.handle_error,
    )
    # On the shared timer: most answers arrive before, and need no wake-up.
    return get_shared_timer().after(
        within,
        partial(_run_in_time, monotonic() + within, check),
    )


def check_keepalive(
    attempt: AttemptInFlight,
    resources: AttemptResources,
    planned: PlannedRequest,
) -> None:
    """Stop using a silent connection; send repeatable work elsewhere at once.

    Other work keeps waiting once it has been written completely: it may run
    there, and must not run twice.
    """
    if attempt.ended or attempt.answer.received_any:
        return
    resources.pool.drop(attempt.send.target)
    incomplete = attempt.written_at is None
    if not incomplete:
        # For an incomplete request, its end alone reports the silence.
        resources.dispatching.record_silence(monotonic(), attempt.send.attempt)
    repeatable = planned.plan.idempotent and not planned.body.streamed
    if incomplete or repeatable:
        attempt.end(Broken('no keepalive arrived in time'))
        attempt.abort()


def _run_in_time(due: float, check: Callable[[], None]) -> None:
    """Check now, or if the loop is late, after pending input is read."""
    if monotonic() - due > STEP_SECONDS + LATENESS_TOLERANCE:
        run_after_pending_reads(check)
    else:
        check()
