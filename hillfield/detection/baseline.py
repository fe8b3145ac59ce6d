"""A simple detector, the baseline that measurements compare with.

Five consecutive errors or three failed probes take a target out for 30 s; a
probe that succeeds brings it back. It has no floor, disregards latency and
uses no evidence of other nodes; it is never the default.
"""

from dataclasses import dataclass
from typing import Final

from hillfield.detection.evidence import Symptom
from hillfield.detection.explanations import TargetExplanation
from hillfield.detection.resultdetector import ResultDetector
from hillfield.detection.rotation import Rotation, TargetStatus, build_rotation
from hillfield.events import EventCode, Occurrence
from hillfield.model import (
    Locality,
    ServicePolicy,
    Target,
    TargetId,
    TargetState,
)
from hillfield.routing.requests import (
    Answered,
    Broken,
    ConnectFailed,
    Observation,
    TimedOut,
)

ERRORS_TO_EJECT: Final = 5
PROBES_TO_EJECT: Final = 3
EJECTION_SECONDS: Final = 30


@dataclass(slots=True)
class _Record:
    target: Target
    errors: int = 0
    failed_probes: int = 0
    until: float = 0
    since: float = 0


class BaselineDetector(ResultDetector):
    """Eject after fixed consecutive errors for a fixed time."""

    def __init__(self, policy: ServicePolicy, locality: Locality) -> None:
        """Start without targets."""
        super().__init__()
        self._policy = policy
        self._locality = locality
        self._records: dict[TargetId, _Record] = {}
        self._rotation: Rotation | None = None
        self._now: float = 0

    def adopt_policy(self, now: float, policy: ServicePolicy) -> None:
        """Store the policy; this detector uses nothing of it."""
        self._policy = policy

    def adopt_targets(self, now: float, targets: tuple[Target, ...]) -> None:
        """Replace the announced targets."""
        known = self._records
        self._records = {}
        for target in targets:
            record = known.get(target.id) or _Record(target, since=now)
            record.target = target
            self._records[target.id] = record
        self._rotation = None

    def observe(
        self,
        now: float,
        target: TargetId,
        attempt: int,
        observation: Observation,
    ) -> None:
        """Count consecutive errors."""
        record = self._records.get(target)
        if record is None:
            return
        match observation:
            case Answered(wrong=''):
                record.errors = 0
            case ConnectFailed() | Broken() | TimedOut() | Answered():
                record.errors += 1
        if record.errors >= ERRORS_TO_EJECT:
            self.pending_occurrences.append(_eject(now, record, 'errors'))
            self._rotation = None
            self._now = now

    def observe_probe(
        self,
        now: float,
        target: TargetId,
        healthy: bool,
        seconds: float,
    ) -> None:
        """Eject after failed probes, return the target after a good one."""
        record = self._records.get(target)
        if record is None:
            return
        if healthy:
            record.until = min(record.until, now)
            record.failed_probes = 0
            return
        record.failed_probes += 1
        if record.failed_probes >= PROBES_TO_EJECT:
            self.pending_occurrences.append(
                _eject(now, record, 'failed probes')
            )
            self._rotation = None
            self._now = now

    def rotation(self) -> Rotation:
        """Return the targets that are not ejected."""
        if self._rotation is None:
            statuses = tuple(
                TargetStatus(
                    record.target,
                    float(_is_in_service(record, self._now)),
                    counts_as_kept=_is_in_service(record, self._now),
                )
                for record in self._records.values()
            )
            self._rotation = build_rotation(statuses, 0)
        return self._rotation

    def tick(self, now: float) -> tuple[Occurrence, ...]:
        """Return ejections since the last tick and end those that are over."""
        self._now = now
        self._rotation = None
        return self.take_occurrences()

    def explain(self, now: float) -> tuple[TargetExplanation, ...]:
        """Explain why each target does or does not receive work."""
        return tuple(
            TargetExplanation(
                target,
                'ejected' if record.until > now else 'healthy',
                record.since,
                f'{record.errors} consecutive errors',
                Symptom.BROKEN if record.errors else Symptom.NONE,
                float(record.until <= now),
                floor_held=False,
            )
            for target, record in self._records.items()
        )


def _eject(now: float, record: _Record, reason: str) -> Occurrence:
    record.errors = 0
    record.failed_probes = 0
    record.until = now + EJECTION_SECONDS
    record.since = now
    return Occurrence(
        EventCode.TARGET_EJECTED,
        service=record.target.id.service,
        target=str(record.target.id),
        detail=f'consecutive {reason}',
    )


def _is_in_service(record: _Record, now: float) -> bool:
    if record.target.state is TargetState.DRAINING:
        return False
    return record.until <= now
