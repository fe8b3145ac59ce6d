"""Targets whose gates declined work recently."""

from typing import Final

from hillfield.model import TargetId

# Seconds for which a decline counts. Targets are unhealthy for 5 s; a longer
# time would leave a recovered target idle, a shorter one would send its gate
# requests in vain. Trials are sent there all the same.
DECLINE_LIFETIME: Final = 1.5


class RecentDeclines:
    """Hold the targets whose gates said that they decline further requests.

    >>> declines = RecentDeclines()
    >>> declines.record(10.0, 'target')
    >>> declines.list_targets(10.5), declines.list_targets(11.5)
    (('target',), ())
    """

    def __init__(self) -> None:
        """Start without declines."""
        self._until: dict[TargetId, float] = {}

    def record(self, now: float, target: TargetId) -> None:
        """Record a decline of the target's gate."""
        self._until[target] = now + DECLINE_LIFETIME

    def forget(self, target: TargetId) -> None:
        """Drop the target's decline, since it has answered."""
        self._until.pop(target, None)

    def list_targets(self, now: float) -> tuple[TargetId, ...]:
        """Return the targets to avoid while others are available."""
        over = [target for target, until in self._until.items() if until <= now]
        for target in over:
            self._until.pop(target)
        return tuple(self._until)
