"""Free capacity of the host's target, and the expected wait for it."""

from typing import Final

from hillfield.gate.state import GateState
from hillfield.model import Target

# Seconds that an attempt is assumed to take before any has been measured.
INITIAL_DURATION: Final = 0.02


def estimate_duration(state: GateState) -> float:
    """Return the mean seconds that an attempt takes."""
    return state.latency.mean or INITIAL_DURATION


def count_free_slots(state: GateState, now: float, target: Target) -> int:
    """Return how many requests may be sent now, by slots and rate limit."""
    free = max(0, target.slots - state.in_flight)
    tokens = state.limit.count_tokens(now)
    return free if tokens is None else min(free, tokens)


def estimate_wait(
    state: GateState,
    now: float,
    target: Target,
    ahead: int | None = None,
) -> float:
    """Return the seconds that one more request would wait for slot and token.

    `ahead` is how many waiting requests go before it (None: all of them, as
    for the lowest rank).
    """
    waiting = len(state.queue) if ahead is None else ahead
    slot = (
        (waiting + 1)
        * estimate_duration(state)
        / count_usable_slots(state, target)
    )
    return max(slot, state.limit.estimate_wait(now, waiting))


def count_usable_slots(state: GateState, target: Target) -> int:
    """Return the number of slots whose requests do not hang, at least 1.

    That no slot is usable is expressed by the withheld work instead.
    """
    attempts = state.table.attempts.values()
    hung = sum(
        attempt.hung for attempt in attempts if attempt.target.id == target.id
    )
    return max(1, target.slots - hung)
