"""Signs of life of the node that a request was sent to."""

from collections.abc import Callable
from functools import partial
from typing import Protocol

from hillfield.clocks import TOLERATED, monotonic
from hillfield.proxy.guards import run_guarded
from hillfield.proxy.incoming import IncomingAnswer
from hillfield.proxy.orders import Order
from hillfield.proxy.tools import AttemptTools
from hillfield.routing.requests import Broken, Observation, Send
from hillfield.timers import STEP, Appointment, find_timer, run_when_read


class StrayNoting(Protocol):
    """Own a request."""

    def note_stray(self, error: Exception) -> None:
        """Note an error that nobody expected."""


class Attempting(Protocol):
    """Be an attempt under way."""

    send: Send
    ended: bool
    answer: IncomingAnswer
    written_at: float | None

    @property
    def owner(self) -> StrayNoting:
        """Return who owns the request."""

    def end(self, observation: Observation) -> None:
        """Note the end, once; the owner is told."""

    def cut(self) -> None:
        """End the attempt now; the other end sees the connection close."""


def expect_sign(
    attempt: Attempting,
    tools: AttemptTools,
    order: Order,
) -> Appointment | None:
    """Look for a sign of life in time, where the other end sends them.

    Who ends the attempt cancels it: until then it holds all of the request.
    """
    within = tools.settings.sign_within
    if not within:
        return None
    looking = partial(
        run_guarded,
        partial(look_for_sign, attempt, tools, order),
        attempt.owner.note_stray,
    )
    # Shared: most answers come before it, and need no wake-up then.
    return find_timer().after(
        within,
        partial(_look_in_time, monotonic() + within, looking),
    )


def look_for_sign(
    attempt: Attempting,
    tools: AttemptTools,
    order: Order,
) -> None:
    """Leave a silent way alone; what may run again goes elsewhere at once.

    Other work waits on once it has been handed over: it may run there, so it
    must not run twice.
    """
    if attempt.ended or attempt.answer.alive:
        return
    tools.pool.drop(attempt.send.target)
    held = attempt.written_at is None
    if not held:
        # The end of what was held back says as much by itself.
        tools.dispatching.note_silent(monotonic(), attempt.send.attempt)
    repeatable = order.plan.idempotent and not order.body.streamed
    if held or repeatable:
        attempt.end(Broken('no sign of life'))
        attempt.cut()


def _look_in_time(due: float, looking: Callable[[], None]) -> None:
    """Look at once, or where the loop is late, once it has read."""
    if monotonic() - due > STEP + TOLERATED:
        run_when_read(looking)
    else:
        looking()
