"""Steps that must not overlap."""

from collections import deque
from collections.abc import Awaitable, Callable, Iterable
from typing import TypeVar

Found = TypeVar('Found')
Step = Callable[[], Awaitable[Found]]


async def run_in_turn(
    steps: Iterable[Step[Found]],
) -> tuple[Found, ...]:
    """Run one step after the other and return what each found."""
    left = deque(steps)
    found: list[Found] = []
    while left:
        step = left.popleft()
        found.append(await step())
    return tuple(found)
