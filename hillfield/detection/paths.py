"""Judge only the way to each target, where the gates judge the targets."""

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

# Seconds that a way is left alone after its first failure; twice as long
# after each further one.
MIN_AVOIDANCE_SECONDS: Final = 0.25
MAX_AVOIDANCE_SECONDS: Final = 4.0
MAX_DOUBLINGS: Final = 6
# What a cold target gets of a warm one's work.
COLD_SHARE: Final = 0.4
# Ends that speak of the way: a node that got the request would have said so.
PATH_FAILURES: Final = (ConnectFailed, NothingWritten, TimedOut)


@dataclass(slots=True)
class _Path:
    target: Target
    since: float
    until: float = 0
    failures: int = 0


class PathBoard(ResultDetector):
    """Leave ways alone that failed; the last one is never given up."""

    def __init__(self, policy: ServicePolicy, locality: Locality) -> None:
        """Start without targets."""
        super().__init__()
        self._policy = policy
        self._locality = locality
        self._ways: dict[TargetId, _Path] = {}
        self._rotation: Rotation | None = None
        self._now: float = 0

    def adopt_policy(self, now: float, policy: ServicePolicy) -> None:
        """Take a new policy into force."""
        self._policy = policy
        self._rotation = None

    def adopt_targets(self, now: float, targets: tuple[Target, ...]) -> None:
        """Replace the announced targets."""
        known = self._ways
        self._ways = {}
        for target in targets:
            way = known.get(target.id) or _Path(target, now)
            way.target = target
            self._ways[target.id] = way
        self._rotation = None

    def observe(
        self,
        now: float,
        target: TargetId,
        attempt: int,
        observation: Observation,
    ) -> None:
        """Note whether an attempt got through to the node there."""
        way = self._ways.get(target)
        self._now = now
        if way is None or isinstance(observation, CallerGone):
            return
        if not isinstance(observation, PATH_FAILURES):
            way.failures = 0
            return
        seconds = _avoid_path(way, now)
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
        """Ignore probes: they lie."""

    def rotation(self) -> Rotation:
        """Return the targets whose way is not left alone."""
        if self._rotation is None:
            standings = tuple(
                _build_status(way, self._now) for way in self._ways.values()
            )
            self._rotation = build_rotation(standings, 0)
        return self._rotation

    def tick(self, now: float) -> tuple[Occurrence, ...]:
        """Return what has changed since the last tick; call each 0.1 s."""
        ends = (way.until for way in self._ways.values())
        if any(self._now < end <= now for end in ends):
            self._rotation = None
        self._now = now
        return self.take_occurrences()

    def explain(self, now: float) -> tuple[TargetExplanation, ...]:
        """Explain the treatment of each target."""
        return tuple(_explain(way, now) for way in self._ways.values())


def _avoid_path(way: _Path, now: float) -> float | None:
    """Leave a way alone; return for how long, None if it already is."""
    doublings = min(way.failures, MAX_DOUBLINGS)
    wanted = MIN_AVOIDANCE_SECONDS * 2**doublings
    seconds = min(MAX_AVOIDANCE_SECONDS, wanted)
    is_new = now >= way.until
    if is_new:
        way.failures += 1
        way.since = now
    way.until = max(way.until, now + seconds)
    return seconds if is_new else None


def _build_status(way: _Path, now: float) -> TargetStatus:
    target = way.target
    serves = way.until <= now
    share = COLD_SHARE if target.state is TargetState.COLD else FULL_SHARE
    return TargetStatus(
        target,
        share if serves else 0,
        counts_as_kept=serves,
        severity=way.failures,
    )


def _explain(way: _Path, now: float) -> TargetExplanation:
    serves = way.until <= now
    return TargetExplanation(
        way.target.id,
        'healthy' if serves else 'avoided',
        way.since,
        f'{way.failures} failures in a row to get through',
        Symptom.UNREACHABLE if way.failures else Symptom.NONE,
        float(serves),
        floor_held=False,
    )
