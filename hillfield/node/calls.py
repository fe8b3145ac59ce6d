"""Let the gate hear which requests of its host have failed."""

from hillfield.clocks import monotonic
from hillfield.gate.calls import FailedCalls
from hillfield.model import Outcome
from hillfield.proxy import RequestMeter


class CallMeter:
    """Count as another meter does, and note failures for the gate."""

    def __init__(self, meter: RequestMeter, calls: FailedCalls) -> None:
        """Pass all on to `meter`."""
        self._meter = meter
        self._calls = calls

    def note_request(self, service: str, outcome: Outcome) -> None:
        """Count a request by what its caller was told."""
        self._meter.note_request(service, outcome)
        if outcome is not Outcome.ANSWERED:
            self._calls.note(monotonic(), service)

    def note_added(self, seconds: float) -> None:
        """Note what the node added to the target's own time."""
        self._meter.note_added(seconds)

    def note_retry(self, reason: str) -> None:
        """Count a further attempt by what ended the one before."""
        self._meter.note_retry(reason)

    def note_route(self, age: str, served: bool) -> None:
        """Count a request by how long its route has been known here."""
        self._meter.note_route(age, served)
