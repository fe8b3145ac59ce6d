"""Report failed requests of this host's callers to the gate."""

from hillfield.clocks import monotonic
from hillfield.gate.calls import FailedCalls
from hillfield.model import Outcome
from hillfield.proxy import RequestMeter


class CallMeter:
    """Forward to another meter, and record failures for the gate."""

    def __init__(self, meter: RequestMeter, calls: FailedCalls) -> None:
        """Forward every count to `meter`."""
        self._meter = meter
        self._calls = calls

    def record_request(self, service: str, outcome: Outcome) -> None:
        """Count a request by the outcome reported to its caller."""
        self._meter.record_request(service, outcome)
        if outcome is not Outcome.ANSWERED:
            self._calls.record(monotonic(), service)

    def record_added_latency(self, seconds: float) -> None:
        """Record the seconds that the node added to the target's latency."""
        self._meter.record_added_latency(seconds)

    def record_retry(self, reason: str) -> None:
        """Count a retry by how the previous attempt ended."""
        self._meter.record_retry(reason)

    def record_route(self, age: str, served: bool) -> None:
        """Count a request by the age of its route at this node."""
        self._meter.record_route(age, served)
