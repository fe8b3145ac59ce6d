"""Remember which targets' gates hold work back."""

from typing import Final

from hillfield.model import TargetId

# Seconds for which a node takes a gate's word. Sickness lasts 5 s on the
# users' installations; a longer memory would leave a target idle that is well
# again, a shorter one asks its gate in vain. Work that may try a doubtful
# target goes there all the same.
DECLINE_LIFETIME: Final = 1.5


class RecentDeclines:
    """Hold the targets whose gates declined for longer than a moment.

    >>> held = RecentDeclines()
    >>> held.record(10.0, 'target')
    >>> held.list_targets(10.5), held.list_targets(11.5)
    (('target',), ())
    """

    def __init__(self) -> None:
        """Start without any."""
        self._until: dict[TargetId, float] = {}

    def record(self, now: float, target: TargetId) -> None:
        """Remember that a gate holds work back."""
        self._until[target] = now + DECLINE_LIFETIME

    def forget(self, target: TargetId) -> None:
        """Forget it: the target has answered."""
        self._until.pop(target, None)

    def list_targets(self, now: float) -> tuple[TargetId, ...]:
        """Return the targets not to ask without need."""
        over = [target for target, until in self._until.items() if until <= now]
        for target in over:
            self._until.pop(target)
        return tuple(self._until)
