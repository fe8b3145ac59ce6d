"""The surface that every way of detection has."""

from typing import Protocol

from hillfield.detection.evidence import Evidence
from hillfield.detection.explanations import TargetExplanation
from hillfield.detection.rotation import Rotation
from hillfield.events import Occurrence
from hillfield.model import ServicePolicy, Target, TargetId
from hillfield.routing.requests import Observation


class Board(Protocol):
    """Judge the targets of one service at one node; times are seconds."""

    def adopt_policy(self, now: float, policy: ServicePolicy) -> None:
        """Take a new policy into force."""

    def adopt_targets(self, now: float, targets: tuple[Target, ...]) -> None:
        """Replace the announced targets."""

    def note_started(self, now: float, target: TargetId, attempt: int) -> None:
        """Note that an attempt is about to be written."""

    def note_head(self, now: float, target: TargetId, attempt: int) -> None:
        """Note that the head of the attempt's answer has come."""

    def observe(
        self,
        now: float,
        target: TargetId,
        attempt: int,
        observation: Observation,
    ) -> None:
        """Note how an attempt ended."""

    def observe_probe(
        self,
        now: float,
        target: TargetId,
        healthy: bool,
        seconds: float,
    ) -> None:
        """Note what a probe found."""

    def excuse(self, now: float, seconds: float) -> None:
        """Hold no silence of the last seconds against targets.

        This node read nothing in them.
        """

    def rotation(self) -> Rotation:
        """Return the targets that may receive work."""

    def tick(self, now: float) -> tuple[Occurrence, ...]:
        """Return what has changed since the last tick; call each 0.1 s."""

    def evidence(self, now: float) -> tuple[Evidence, ...]:
        """Return what to tell other nodes."""

    def adopt_evidence(
        self,
        now: float,
        node: str,
        domain: str,
        evidence: tuple[Evidence, ...],
    ) -> None:
        """Replace what that node has told earlier."""

    def explain(self, now: float) -> tuple[TargetExplanation, ...]:
        """Explain the treatment of each target."""
