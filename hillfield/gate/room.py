"""How much room the host's target has, and how long one waits for it."""

from typing import Final

from hillfield.gate.state import GateState
from hillfield.model import Target

# Seconds of an attempt while nothing has been measured.
FIRST_NEED: Final = 0.02


def find_need(state: GateState) -> float:
    """Return the seconds that an attempt takes as a rule."""
    return state.latency.mean or FIRST_NEED


def count_room(state: GateState, now: float, target: Target) -> int:
    """Return how many requests the target takes at once, by all bounds."""
    free = max(0, target.slots - state.in_flight)
    turns = state.limit.count_turns(now)
    return free if turns is None else min(free, turns)


def find_wait(
    state: GateState,
    now: float,
    target: Target,
    ahead: int | None = None,
) -> float:
    """Return the seconds that one more would wait for a slot and a turn.

    `ahead` is how many go before it (None: all that wait, as before one of
    the lowest rank).
    """
    before = len(state.queue) if ahead is None else ahead
    slot = (before + 1) * find_need(state) / count_usable(state, target)
    return max(slot, state.limit.find_wait(now, before))


def count_usable(state: GateState, target: Target) -> int:
    """Return the slots that do useful work: one whose request hangs doesn't.

    It is 1 at the least: what is held back says that none does.
    """
    attempts = state.ledger.attempts.values()
    hung = sum(
        attempt.hung for attempt in attempts if attempt.target.id == target.id
    )
    return max(1, target.slots - hung)
