"""Actions one after another."""

from collections import deque
from collections.abc import Awaitable, Callable, Iterable
from typing import TypeVar

Outcome = TypeVar('Outcome')


Action = Callable[[], Awaitable[Outcome]]


async def take_turns(
    actions: Iterable[Action[Outcome]],
) -> tuple[Outcome, ...]:
    """Begin each action when the one before has ended."""
    waiting = deque(actions)
    outcomes = []
    while waiting:
        outcomes.append(await waiting.popleft()())
    return tuple(outcomes)
