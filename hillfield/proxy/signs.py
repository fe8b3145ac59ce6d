"""Check for keepalives of the node that a request was sent to."""

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
    """Owner of a request."""

    def note_stray(self, error: Exception) -> None:
        """Process an unexpected error."""


class Attempting(Protocol):
    """Attempt in flight."""

    send: Send
    ended: bool
    answer: IncomingAnswer
    written_at: float | None

    @property
    def owner(self) -> StrayNoting:
        """Return the owner of the request."""

    def end(self, observation: Observation) -> None:
        """Report the first end of the attempt to the owner."""

    def cut(self) -> None:
        """End the attempt by closing its connection to the other end."""


def expect_sign(
    attempt: Attempting,
    tools: AttemptTools,
    order: Order,
) -> Appointment | None:
    """Schedule a check for a keepalive, where the other end sends them.

    The end of the attempt must cancel it: until then it references the
    complete request.
    """
    within = tools.settings.sign_within
    if not within:
        return None
    looking = partial(
        run_guarded,
        partial(look_for_sign, attempt, tools, order),
        attempt.owner.note_stray,
    )
    # On the shared timer: most answers arrive before, and need no wake-up.
    return find_timer().after(
        within,
        partial(_look_in_time, monotonic() + within, looking),
    )


def look_for_sign(
    attempt: Attempting,
    tools: AttemptTools,
    order: Order,
) -> None:
    """Stop using a silent connection; send repeatable work elsewhere at once.

    Other work keeps waiting once it has been written completely: it may run
    there, and must not run twice.
    """
    if attempt.ended or attempt.answer.alive:
        return
    tools.pool.drop(attempt.send.target)
    held = attempt.written_at is None
    if not held:
        # For an incomplete request, its end alone reports the silence.
        tools.dispatching.note_silent(monotonic(), attempt.send.attempt)
    repeatable = order.plan.idempotent and not order.body.streamed
    if held or repeatable:
        attempt.end(Broken('no sign of life'))
        attempt.cut()


def _look_in_time(due: float, looking: Callable[[], None]) -> None:
    """Check now, or if the loop is late, after pending input is read."""
    if monotonic() - due > STEP + TOLERATED:
        run_when_read(looking)
    else:
        looking()
