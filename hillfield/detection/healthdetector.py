"""Detect unhealthy targets of one service at one node."""

from hillfield.detection.aging import advance_time, apply_probe
from hillfield.detection.announcing import replace_targets
from hillfield.detection.evidence import Evidence
from hillfield.detection.explaining import explain_targets, report_floor_held
from hillfield.detection.explanations import TargetExplanation
from hillfield.detection.health import Health
from hillfield.detection.lateness import (
    AttemptTracker,
    count_overdue,
    count_timeout,
    is_counted_as_late,
)
from hillfield.detection.observations import count_observation
from hillfield.detection.records import build_status
from hillfield.detection.reports import ReceivedEvidence
from hillfield.detection.rotation import Rotation, build_rotation
from hillfield.detection.service import ServiceHealth
from hillfield.detection.sharing import receive_evidence, select_evidence
from hillfield.detection.tuning import DEFAULT_TUNING, Tuning
from hillfield.events import Occurrence
from hillfield.model import Locality, ServicePolicy, Target, TargetId
from hillfield.routing.requests import (
    Answered,
    ConnectFailed,
    NothingWritten,
    Observation,
    TimedOut,
)


class HealthDetector(AttemptTracker):
    """Detect unhealthy targets by comparing their requests with their peers'.

    Pure: all times are seconds of one monotonic clock that the caller reads.
    """

    def __init__(
        self,
        policy: ServicePolicy,
        locality: Locality,
        tuning: Tuning = DEFAULT_TUNING,
    ) -> None:
        """Start without targets; `locality` is that of this node."""
        super().__init__(ServiceHealth(policy, locality, tuning))
        self._rotation = build_rotation((), policy.floor)
        self._reported = self._rotation
        self._now: float = 0

    def adopt_policy(self, now: float, policy: ServicePolicy) -> None:
        """Apply a new policy."""
        self._service.policy = policy
        self._service.rotation_outdated = True

    def adopt_targets(self, now: float, targets: tuple[Target, ...]) -> None:
        """Replace the announced targets; call at once when one drains."""
        self._now = now
        replace_targets(self._service, targets, now)

    def observe(
        self,
        now: float,
        target: TargetId,
        attempt: int,
        observation: Observation,
    ) -> None:
        """Record how an attempt ended."""
        self._now = now
        if isinstance(observation, Answered) and not observation.wrong:
            self.record_head(now, target, attempt)
        started = self._service.attempts.remove(attempt)
        record = self._service.records.get(target)
        if record is None:
            return
        is_unwritten = isinstance(observation, ConnectFailed | NothingWritten)
        if record.health is Health.TRIAL and not is_unwritten:
            if attempt not in record.trial_attempts:
                return
        record.trial_attempts.discard(attempt)
        if isinstance(observation, TimedOut) and started is not None:
            if is_counted_as_late(self._service, started):
                count_timeout(self._service, record, started, now)
                return
        count_observation(observation, self._service, record, now)

    def observe_probe(
        self,
        now: float,
        target: TargetId,
        healthy: bool,
        seconds: float,
    ) -> None:
        """Record what a probe found.

        Probes never take a target out of rotation by themselves: they lower
        its threshold or move its next trial.
        """
        record = self._service.records.get(target)
        if record is None:
            return
        apply_probe(self._service, record, healthy, now)

    def rotation(self) -> Rotation:
        """Return the targets that may receive work, at least the floor."""
        service = self._service
        if service.rotation_outdated:
            service.rotation_outdated = False
            self._rotation = build_rotation(
                tuple(
                    build_status(record, self._now)
                    for record in service.records.values()
                ),
                service.policy.floor,
            )
        return self._rotation

    def tick(self, now: float) -> tuple[Occurrence, ...]:
        """Return the changes since the last tick; call it every 0.1 s."""
        service = self._service
        self._now = now
        count_overdue(service, now)
        advance_time(service, now)
        rotation = self.rotation()
        if rotation is not self._reported:
            report_floor_held(service, self._reported, rotation)
            self._reported = rotation
        occurrences = tuple(service.occurrences)
        service.occurrences.clear()
        return occurrences

    def evidence(self, now: float) -> tuple[Evidence, ...]:
        """Return evidence for other nodes; empty when all are healthy."""
        return select_evidence(self._service, now)

    def adopt_evidence(
        self,
        now: float,
        node: str,
        domain: str,
        evidence: tuple[Evidence, ...],
    ) -> None:
        """Replace the evidence of that node, in that failure domain."""
        self._now = now
        received = tuple(
            ReceivedEvidence(node, domain, now, piece) for piece in evidence
        )
        receive_evidence(self._service, node, received, now)

    def explain(self, now: float) -> tuple[TargetExplanation, ...]:
        """Explain why each target does or does not receive work."""
        return explain_targets(self._service, self.rotation())
