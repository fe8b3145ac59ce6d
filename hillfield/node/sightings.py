"""Tell requests of clients from calls that this host's target may have made."""

from typing import Final, Protocol

from hillfield.model import RequestPlan
from hillfield.repeats import ACCOUNTS, Sighting

# Seconds in which a host's target has run nothing before a request at its node
# can't be one of its calls: a run that its gate has given up may go on so long.
QUIET: Final = 1.0


class TargetWatch(Protocol):
    """Say what this host's target does."""

    def count_running(self) -> int:
        """Return how many requests the target runs."""

    def find_repeated(self) -> float:
        """Return the part of them that are repeats."""


class Sightings:
    """See requests of this host's callers beside what its target does."""

    def __init__(self, now: float, target: TargetWatch) -> None:
        """Start as if the target had run something until now."""
        self._busy = now
        self._target = target

    def look(self, now: float) -> None:
        """Note whether the target runs something."""
        if self._target.count_running():
            self._busy = now

    def see(self, now: float, plan: RequestPlan) -> Sighting:
        """Return what counts of a request."""
        if plan.account:
            # No target holds an account's key.
            return Sighting(plan.service, ACCOUNTS)
        self.look(now)
        return Sighting(
            plan.service,
            plan.route,
            proof=now - self._busy >= QUIET,
            repeated=self._target.find_repeated(),
        )
