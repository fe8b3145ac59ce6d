"""Plain round-robin routing as a baseline for measurements.

It sends requests round robin over the rotation and retries idempotent ones once
at the next target; it has no budget, no bound on requests in flight, no queue
and no hedges. It keeps promises 3 and 4 and is never the default.
"""

from typing import Final

from hillfield.events import EventCode, Occurrence
from hillfield.model import RequestPlan, Step, Target
from hillfield.routing.classification import classify_observation
from hillfield.routing.dispatcher import Dispatcher
from hillfield.routing.phases import AttemptAction, RequestTrigger
from hillfield.routing.records import RequestRecord
from hillfield.routing.refusals import Cause, describe_failed_attempt, refuse
from hillfield.routing.requests import (
    Arrival,
    Decision,
    Done,
    Observation,
    Send,
)

ATTEMPTS: Final = 2


class BaselineDispatcher(Dispatcher):
    """Route round robin, with the interface of `Dispatcher`."""

    def adopt_targets(
        self,
        now: float,
        targets: tuple[Target, ...],
        nodes: int = 1,
    ) -> None:
        """Replace the announced targets of the service."""
        self.detector.adopt_targets(now, targets)

    def admit(self, now: float, arrival: Arrival) -> Decision:
        """Send a new request to the next target."""
        return self._send(now, self._service.table.open(arrival))

    def finish(
        self,
        now: float,
        attempt: int,
        observation: Observation,
    ) -> Decision:
        """End an attempt; retry an idempotent request once."""
        found = self._service.table.find(attempt)
        if found is None:
            return Done('')
        record = found.record
        classification = classify_observation(observation)
        action = found.follow(classification.trigger)
        self._service.table.close(found)
        self.detector.observe(now, found.target.id, attempt, observation)
        if action is AttemptAction.MAY_HAVE_RUN:
            record.follow(RequestTrigger.MAY_HAVE_RUN)
        elif action is not AttemptAction.NOT_RUN:
            self._service.table.end(record, RequestTrigger.SETTLE)
            return Done(record.arrival.request)
        if _can_retry(now, record):
            return self._send(now, record)
        return refuse(
            self._service, record, describe_failed_attempt(classification)
        )

    def compute_hedge_delay(self, plan: RequestPlan) -> None:
        """Return None: no request is hedged."""

    def hedge(self, now: float, request: str) -> Send | None:
        """Return None: no request is hedged."""

    def cancel(self, now: float, request: str) -> None:
        """Do nothing: no request is ever queued."""

    def poll(self, now: float) -> tuple[Decision, ...]:
        """Return nothing: no request is ever queued."""
        return ()

    def next_due(self) -> float | None:
        """Return None: no request is ever queued."""

    def tick(self, now: float) -> tuple[Occurrence, ...]:
        """Return the events of the targets' health since the last tick."""
        return self.detector.tick(now)

    def _send(self, now: float, record: RequestRecord) -> Decision:
        candidates = self.detector.rotation().candidates
        if not candidates:
            cause = Cause(
                EventCode.SERVICE_WITHOUT_TARGET,
                Step.ROUTE,
                'no target of the service is known here',
            )
            return refuse(self._service, record, cause)
        table = self._service.table
        candidate = candidates[table.sends % len(candidates)]
        return table.start(now, record, candidate.target)


def _can_retry(now: float, record: RequestRecord) -> bool:
    if len(record.tried) >= ATTEMPTS or now >= record.arrival.expires:
        return False
    return record.arrival.plan.idempotent and record.arrival.replayable
