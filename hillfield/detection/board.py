"""Judge the targets of one service at one node."""

from hillfield.detection.announcing import replace_targets
from hillfield.detection.evidence import Evidence
from hillfield.detection.explaining import explain_targets, report_held
from hillfield.detection.explanations import TargetExplanation
from hillfield.detection.health import Health
from hillfield.detection.lateness import (
    AttemptNotes,
    count_given_up,
    count_overdue,
    is_counted,
)
from hillfield.detection.records import find_standing
from hillfield.detection.reports import Statement
from hillfield.detection.rotation import Rotation, build_rotation
from hillfield.detection.service import Service
from hillfield.detection.sharing import hear, tell
from hillfield.detection.sightings import count_end
from hillfield.detection.timers import advance, note_probe
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


class HealthBoard(AttemptNotes):
    """Judge targets by real requests against their peers.

    Pure: all times are seconds of one monotonic clock that the caller reads.
    """

    def __init__(
        self,
        policy: ServicePolicy,
        locality: Locality,
        tuning: Tuning = DEFAULT_TUNING,
    ) -> None:
        """Start without targets; `locality` is that of this node."""
        super().__init__(Service(policy, locality, tuning))
        self._rotation = build_rotation((), policy.floor)
        self._reported = self._rotation
        self._now: float = 0

    def adopt_policy(self, now: float, policy: ServicePolicy) -> None:
        """Take a new policy into force."""
        self._service.policy = policy
        self._service.changed = True

    def adopt_targets(self, now: float, targets: tuple[Target, ...]) -> None:
        """Replace the announced targets; call with draining ones at once."""
        self._now = now
        replace_targets(self._service, targets, now)

    def observe(
        self,
        now: float,
        target: TargetId,
        attempt: int,
        observation: Observation,
    ) -> None:
        """Note how an attempt ended."""
        self._now = now
        if isinstance(observation, Answered) and not observation.wrong:
            self.note_head(now, target, attempt)
        started = self._service.attempts.take(attempt)
        record = self._service.records.get(target)
        if record is None:
            return
        unwritten = isinstance(observation, ConnectFailed | NothingWritten)
        if record.health is Health.TRIAL and not unwritten:
            if attempt not in record.trials:
                return
        record.trials.discard(attempt)
        if isinstance(observation, TimedOut) and started is not None:
            if is_counted(self._service, started):
                count_given_up(self._service, record, started, now)
                return
        count_end(observation, self._service, record, now)

    def observe_probe(
        self,
        now: float,
        target: TargetId,
        healthy: bool,
        seconds: float,
    ) -> None:
        """Note what a probe found: at most a suspicion or a sooner trial."""
        record = self._service.records.get(target)
        if record is None:
            return
        note_probe(self._service, record, healthy, now)

    def rotation(self) -> Rotation:
        """Return the targets that may receive work, never under the floor."""
        service = self._service
        if service.changed:
            service.changed = False
            self._rotation = build_rotation(
                tuple(
                    find_standing(record, self._now)
                    for record in service.records.values()
                ),
                service.policy.floor,
            )
        return self._rotation

    def tick(self, now: float) -> tuple[Occurrence, ...]:
        """Return what has changed since the last tick; call each 0.1 s."""
        service = self._service
        self._now = now
        count_overdue(service, now)
        advance(service, now)
        rotation = self.rotation()
        if rotation is not self._reported:
            report_held(service, self._reported, rotation)
            self._reported = rotation
        occurrences = tuple(service.occurrences)
        service.occurrences.clear()
        return occurrences

    def evidence(self, now: float) -> tuple[Evidence, ...]:
        """Return what to tell other nodes; empty when all is well."""
        return tell(self._service, now)

    def adopt_evidence(
        self,
        now: float,
        node: str,
        domain: str,
        evidence: tuple[Evidence, ...],
    ) -> None:
        """Replace what that node, of that failure domain, has told."""
        self._now = now
        statements = tuple(
            Statement(node, domain, now, piece) for piece in evidence
        )
        hear(self._service, node, statements, now)

    def explain(self, now: float) -> tuple[TargetExplanation, ...]:
        """Explain the treatment of each target."""
        return explain_targets(self._service, self.rotation())
