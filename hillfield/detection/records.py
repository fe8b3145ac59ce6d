"""The counts and the state that one node keeps for one target."""

from dataclasses import dataclass, field
from typing import Final

from msgspec import Struct

from hillfield.detection.evidence import Symptom
from hillfield.detection.health import HEALTH_CHART, Health
from hillfield.detection.indicators import Indicator
from hillfield.detection.rotation import FULL_SHARE, TargetStatus
from hillfield.detection.tallies import Tally
from hillfield.model import Target, TargetState

SHEDDING_SHARE: Final = 0.5
MIN_WARMUP_SHARE: Final = 0.1
WARMUP_STEPS: Final = 10
UNREACHABLE_SEVERITY: Final = 4
FAILING_SEVERITY: Final = 2
LATE_SYMPTOMS: Final = frozenset((Symptom.SLOW, Symptom.STALLED))


class TrialStage(Struct, frozen=True):
    """Set the share of a target on trial, and the successes required."""

    share: float
    successes: int


FIRST_TRIAL_SHARE: Final = 0.2
SECOND_TRIAL_SHARE: Final = 0.3
THIRD_TRIAL_SHARE: Final = 0.6
TRIAL_STAGES: Final = (
    TrialStage(FIRST_TRIAL_SHARE, 3),
    TrialStage(SECOND_TRIAL_SHARE, 5),
    TrialStage(THIRD_TRIAL_SHARE, 8),
)


def _create_tallies() -> tuple[Tally, ...]:
    return tuple(Tally() for _ in Indicator)


@dataclass(slots=True)
class TargetRecord:
    """Hold a target's counts and its state; times are in seconds.

    `out_until` is when an ejection or avoidance ends, `recent_ejections` how
    often the target was taken out of rotation recently,
    `consecutive_successes` how many of its answers were right since the last
    failure (in this stage of its trial, or while only the floor uses it),
    `trial_attempts` the attempts that belong to the trial.
    """

    target: Target
    announced_at: float
    since: float
    distance: int
    health: Health = HEALTH_CHART.initial
    tallies: tuple[Tally, ...] = field(default_factory=_create_tallies)
    error_symptom: Symptom = Symptom.BROKEN
    symptom: Symptom = Symptom.NONE
    reason: str = ''
    severity: float = 0
    out_until: float = 0
    recent_ejections: int = 0
    trial_stage: int = 0
    consecutive_successes: int = 0
    trial_attempts: set[int] = field(default_factory=set)
    shed_until: float = 0
    ejections_reduced_at: float = 0
    failed_probes: int = 0
    warmup_share: float = MIN_WARMUP_SHARE

    def reset_counts(self) -> None:
        """Reset the counts and the successes of a trial."""
        self.consecutive_successes = 0
        self.trial_attempts.clear()
        for tally in self.tallies:
            tally.reset_run()


def compute_share(record: TargetRecord, now: float) -> float:
    """Return the share of a healthy target's work that this one gets."""
    match record.health:
        case Health.EJECTED | Health.AVOIDED | Health.DRAINING:
            return 0
        case Health.TRIAL:
            return TRIAL_STAGES[record.trial_stage].share
        case Health.WARMING:
            share = record.warmup_share
        case _:
            share = FULL_SHARE
    is_shedding = record.target.state is TargetState.SHEDDING
    if is_shedding or record.shed_until > now:
        return share * SHEDDING_SHARE
    return share


def build_status(record: TargetRecord, now: float) -> TargetStatus:
    """Return the target's status for building the rotation."""
    share = compute_share(record, now)
    return TargetStatus(
        record.target,
        share,
        counts_as_kept=share > 0 and record.health is not Health.TRIAL,
        severity=_select_severity(record),
        keeps_share=must_keep_share(record),
    )


def must_keep_share(record: TargetRecord) -> bool:
    """Return whether a target must get its share to be evaluated.

    Load balancing sends little work to a target that answers late, too
    little to eject or clear it. A target with another symptom needs no such
    rule: the few requests that it fails are enough evidence.
    """
    is_late = record.symptom in LATE_SYMPTOMS
    return is_late and record.health is Health.SUSPECTED


def _select_severity(record: TargetRecord) -> float:
    if record.health is Health.TRIAL:
        # It may have recovered: used before those known to be unhealthy.
        return 0
    return record.severity


def compute_severity(symptom: Symptom, rate: float) -> float:
    """Return how severe a symptom is; the floor uses the least severe first.

    A slow answer is still an answer; an unreachable target gives none.
    """
    match symptom:
        case Symptom.SLOW:
            return 1
        case Symptom.UNREACHABLE:
            return UNREACHABLE_SEVERITY
        case _:
            return FAILING_SEVERITY + rate


def update_warmup(record: TargetRecord, now: float, slow_start: float) -> bool:
    """Raise a warming target's share; return whether it has changed."""
    share = FULL_SHARE
    if record.target.state is TargetState.COLD:
        record.announced_at = now
    if slow_start > 0:
        age = now - record.announced_at
        share = int(WARMUP_STEPS * age / slow_start) / WARMUP_STEPS
    share = min(FULL_SHARE, max(MIN_WARMUP_SHARE, share))
    changed = share != record.warmup_share
    record.warmup_share = share
    return changed
