"""Detect failed paths to targets; their gates test the targets."""

from dataclasses import dataclass
from typing import Final

from hillfield.detection.evidence import Symptom
from hillfield.detection.explanations import TargetExplanation
from hillfield.detection.resultdetector import ResultDetector
from hillfield.detection.rotation import (
    FULL_SHARE,
    Rotation,
    TargetStatus,
    build_rotation,
)
from hillfield.events import EventCode, Occurrence
from hillfield.model import (
    Locality,
    ServicePolicy,
    Target,
    TargetId,
    TargetState,
)
from hillfield.routing.requests import (
    CallerGone,
    ConnectFailed,
    NothingWritten,
    Observation,
    TimedOut,
)

# Seconds for which a path is avoided after its first failure; twice as long
# after each further one.
MIN_AVOIDANCE_SECONDS: Final = 0.25
MAX_AVOIDANCE_SECONDS: Final = 4.0
MAX_DOUBLINGS: Final = 6
# Work of a cold target as a share of a warm one's.
COLD_SHARE: Final = 0.4
# Failures of the path: a node that got the request would have answered.
PATH_FAILURES: Final = (ConnectFailed, NothingWritten, TimedOut)


@dataclass(slots=True)
class _Path:
    target: Target
    since: float
    until: float = 0
    failures: int = 0


class PathDetector(ResultDetector):
    """Avoid paths that failed, except for the last one."""

    def __init__(self, policy: ServicePolicy, locality: Locality) -> None:
        """Start without targets."""
        super().__init__()
        self._policy = policy
        self._locality = locality
        self._paths: dict[TargetId, _Path] = {}
        self._rotation: Rotation | None = None
        self._now: float = 0

    def adopt_policy(self, now: float, policy: ServicePolicy) -> None:
        """Apply a new policy."""
        self._policy = policy
        self._rotation = None

    def adopt_targets(self, now: float, targets: tuple[Target, ...]) -> None:
        """Replace the announced targets."""
        known = self._paths
        self._paths = {}
        for target in targets:
            path = known.get(target.id) or _Path(target, now)
            path.target = target
            self._paths[target.id] = path
        self._rotation = None

    def observe(
        self,
        now: float,
        target: TargetId,
        attempt: int,
        observation: Observation,
    ) -> None:
        """Record whether an attempt reached the node of the target."""
        path = self._paths.get(target)
        self._now = now
        if path is None or isinstance(observation, CallerGone):
            return
        if not isinstance(observation, PATH_FAILURES):
            path.failures = 0
            return
        seconds = _avoid_path(path, now)
        self._rotation = None
        if seconds is not None:
            self.pending_occurrences.append(
                Occurrence(
                    EventCode.TARGET_AVOIDED,
                    service=target.service,
                    target=str(target),
                    detail=f'for {seconds} s: {observation}',
                ),
            )

    def observe_probe(
        self,
        now: float,
        target: TargetId,
        healthy: bool,
        seconds: float,
    ) -> None:
        """Ignore probes: they may fail or pass regardless of requests."""

    def rotation(self) -> Rotation:
        """Return the targets whose path is not avoided."""
        if self._rotation is None:
            statuses = tuple(
                _build_status(path, self._now) for path in self._paths.values()
            )
            self._rotation = build_rotation(statuses, 0)
        return self._rotation

    def tick(self, now: float) -> tuple[Occurrence, ...]:
        """Return the changes since the last tick; call it every 0.1 s."""
        ends = (path.until for path in self._paths.values())
        if any(self._now < end <= now for end in ends):
            self._rotation = None
        self._now = now
        return self.take_occurrences()

    def explain(self, now: float) -> tuple[TargetExplanation, ...]:
        """Explain why each target does or does not receive work."""
        return tuple(_explain(path, now) for path in self._paths.values())


def _avoid_path(path: _Path, now: float) -> float | None:
    """Avoid a path; return for how many seconds, None if it already was."""
    doublings = min(path.failures, MAX_DOUBLINGS)
    doubled = MIN_AVOIDANCE_SECONDS * 2**doublings
    seconds = min(MAX_AVOIDANCE_SECONDS, doubled)
    is_new = now >= path.until
    if is_new:
        path.failures += 1
        path.since = now
    path.until = max(path.until, now + seconds)
    return seconds if is_new else None


def _build_status(path: _Path, now: float) -> TargetStatus:
    target = path.target
    is_usable = path.until <= now
    share = COLD_SHARE if target.state is TargetState.COLD else FULL_SHARE
    return TargetStatus(
        target,
        share if is_usable else 0,
        counts_as_kept=is_usable,
        severity=path.failures,
    )


def _explain(path: _Path, now: float) -> TargetExplanation:
    is_usable = path.until <= now
    return TargetExplanation(
        path.target.id,
        'healthy' if is_usable else 'avoided',
        path.since,
        f'{path.failures} consecutive failures to reach its node',
        Symptom.UNREACHABLE if path.failures else Symptom.NONE,
        float(is_usable),
        floor_held=False,
    )
