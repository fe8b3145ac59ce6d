"""What a dispatcher decides on second attempts beside the first."""

from hillfield.model import RequestPlan
from hillfield.routing.hedging import find_delay, hedge
from hillfield.routing.notes import AttemptNotes
from hillfield.routing.requests import Send


class Hedges(AttemptNotes):
    """Say when a request is hedged, and where."""

    def find_hedge_delay(self, plan: RequestPlan) -> float | None:
        """Return the seconds from an attempt to a second one; None: never."""
        return find_delay(self._service, plan)

    def hedge(self, now: float, request: str) -> Send | None:
        """Start a second attempt of a slow request, if the budget allows."""
        record = self._service.ledger.requests.get(request)
        if record is None:
            return None
        return hedge(self._service, now, record)
