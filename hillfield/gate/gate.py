"""Decide for the host's target: slots, queue, and health.

All requests of the fleet to the target pass its gate, so only the gate knows
how many slots are free and what the last results were. What it refuses has
certainly not run, since no byte of it went to the target.
"""

from collections.abc import Callable

from hillfield.events import Journal
from hillfield.gate.admission import admit, serve_queue
from hillfield.gate.calls import FailedCalls
from hillfield.gate.completion import finish
from hillfield.gate.notices import record_limit_counts
from hillfield.gate.repeats import RepeatPart
from hillfield.gate.results import is_success
from hillfield.gate.serving import IncarnationServing
from hillfield.gate.state import GateState
from hillfield.gate.suspicion import check_running
from hillfield.model import UNBOUNDED, RepeatBound, RequestPlan
from hillfield.routing.phases import RequestTrigger
from hillfield.routing.requests import (
    Arrival,
    Broken,
    Decision,
    Done,
    Observation,
    Send,
)

GateListener = Callable[[float], None]


class Gate(IncarnationServing):
    """Implement `Dispatching` and `Dispatchers` for the target of this host."""

    def __init__(
        self, journal: Journal, bound: RepeatBound = UNBOUNDED
    ) -> None:
        """Start without a target; `closing` refuses all new requests.

        `bound` limits the repeats that all targets of the service get.
        `listener` is called after each event that may change the free
        capacity.
        """
        super().__init__(GateState(journal, RepeatPart(bound)))
        self.closing = False
        self.listener: GateListener = _ignore

    @property
    def failed_calls(self) -> FailedCalls:
        """Return the record of failed requests that began on this host."""
        return self._state.failed_calls

    def for_service(self, service: str) -> 'Gate':
        """Return this gate: it serves only one target."""
        return self

    def admit(self, now: float, arrival: Arrival) -> Decision:
        """Send a request, queue it, or refuse it: then it has not run."""
        decision = admit(self._state, now, arrival)
        self.listener(now)
        return decision

    def finish(
        self,
        now: float,
        attempt: int,
        observation: Observation,
    ) -> Decision:
        """End an attempt and decide what the other node is told."""
        attempt_record = self._state.table.find(attempt)
        if attempt_record is None:
            return Done('')
        decision = finish(self._state, now, attempt_record, observation)
        self.listener(now)
        if isinstance(observation, Broken):
            self.on_lost(attempt_record.target.id)
        elif is_success(observation):
            self.on_served(attempt_record.record.arrival)
        return decision

    def compute_hedge_delay(self, plan: RequestPlan) -> None:
        """Return None: there is no other target to hedge with."""

    def hedge(self, now: float, request: str) -> Send | None:
        """Return None: there is no other target to hedge with."""

    def cancel(self, now: float, request: str) -> None:
        """Drop a waiting request whose caller has left."""
        record = self._state.table.requests.get(request)
        if record is not None:
            self._state.queue.remove(record)
            self._state.table.end(record, RequestTrigger.LEAVE)

    def discount_pause(self, now: float, seconds: float) -> None:
        """Discount a pause of this process from the ages of the attempts."""
        self._state.table.discount_pause(now, seconds)

    def poll(self, now: float) -> tuple[Decision, ...]:
        """Return decisions on waiting requests; call after finish, in ticks."""
        check_running(self._state, now)
        record_limit_counts(self._state, now)
        decisions = serve_queue(self._state, now)
        self.listener(now)
        return decisions

    def next_due(self) -> float | None:
        """Return a past time if displaced requests wait for a poll.

        None: the queue moves only at the end of an attempt or in a tick.
        """
        return 0 if self._state.displaced else None


def _ignore(now: float) -> None:
    """Ignore the event."""
