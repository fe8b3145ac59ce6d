"""Decide for the host's target: slots, waiting, and whether it is sick.

The gate sees every request of the fleet to its target, so it alone knows
how many slots are free and how the last requests ended. What it refuses has
certainly not run, since not a byte of it went to the target.
"""

from collections.abc import Callable

from hillfield.events import Journal
from hillfield.gate.admission import admit, serve_queue
from hillfield.gate.calls import FailedCalls
from hillfield.gate.completion import finish
from hillfield.gate.endings import is_success
from hillfield.gate.hearing import tell_kept
from hillfield.gate.occupancy import GateSeat
from hillfield.gate.state import GateState
from hillfield.gate.suspicion import judge_running
from hillfield.model import RequestPlan
from hillfield.routing.phases import RequestTrigger
from hillfield.routing.requests import (
    Arrival,
    Broken,
    Done,
    Observation,
    Send,
    Verdict,
)


GateListener = Callable[[float], None]


class Gate(GateSeat):
    """Implement `Dispatching` and `Dispatchers` for the one target here."""

    def __init__(self, journal: Journal) -> None:
        """Start without a target; `closing` refuses all that is new.

        `listener` is told of whatever may change the target's room.
        """
        super().__init__(GateState(journal))
        self.closing = False
        self.listener: GateListener = _tell_nobody

    @property
    def calls(self) -> FailedCalls:
        """Return where failed requests of this host are noted."""
        return self._state.calls

    def for_service(self, service: str) -> 'Gate':
        """Return this gate: it stands before one target only."""
        return self

    def admit(self, now: float, arrival: Arrival) -> Verdict:
        """Send a request, let it wait, or refuse it: then it has not run."""
        verdict = admit(self._state, now, arrival)
        self.listener(now)
        return verdict

    def finish(
        self,
        now: float,
        attempt: int,
        observation: Observation,
    ) -> Verdict:
        """End an attempt and decide what the other node is told."""
        found = self._state.ledger.find(attempt)
        if found is None:
            return Done('')
        verdict = finish(self._state, now, found, observation)
        self.listener(now)
        if isinstance(observation, Broken):
            self.on_lost(found.target.id)
        elif is_success(observation):
            self.on_served(found.record.arrival.fingerprint)
        return verdict

    def find_hedge_delay(self, plan: RequestPlan) -> None:
        """Name no delay: there is one target here."""

    def hedge(self, now: float, request: str) -> Send | None:
        """Send nothing: there is one target here."""

    def leave(self, now: float, request: str) -> None:
        """Forget a request whose caller went away while it waited."""
        record = self._state.ledger.requests.get(request)
        if record is not None:
            self._state.queue.remove(record)
            self._state.ledger.end(record, RequestTrigger.LEAVE)

    def excuse(self, now: float, seconds: float) -> None:
        """Hold no silence of the last seconds against the target."""
        self._state.ledger.excuse(now, seconds)

    def poll(self, now: float) -> tuple[Verdict, ...]:
        """Return verdicts for the waiting; call after finish, in ticks."""
        judge_running(self._state, now)
        tell_kept(self._state, now)
        verdicts = serve_queue(self._state, now)
        self.listener(now)
        return verdicts

    def next_due(self) -> float | None:
        """Name a time gone by for what made way for others.

        Else none: the end of an attempt or a tick moves the queue.
        """
        return 0 if self._state.declined else None


def _tell_nobody(now: float) -> None:
    """Tell nobody: no one has asked yet."""
