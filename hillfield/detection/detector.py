"""The interface of detectors of unhealthy targets."""

from typing import Protocol

from hillfield.detection.evidence import Evidence
from hillfield.detection.explanations import TargetExplanation
from hillfield.detection.rotation import Rotation
from hillfield.events import Occurrence
from hillfield.model import ServicePolicy, Target, TargetId
from hillfield.routing.requests import Observation


class Detector(Protocol):
    """Decide which targets of a service are healthy; times are seconds."""

    def adopt_policy(self, now: float, policy: ServicePolicy) -> None:
        """Apply a new policy."""

    def adopt_targets(self, now: float, targets: tuple[Target, ...]) -> None:
        """Replace the announced targets."""

    def record_start(self, now: float, target: TargetId, attempt: int) -> None:
        """Record that an attempt is about to be written."""

    def record_head(self, now: float, target: TargetId, attempt: int) -> None:
        """Record that the head of the attempt's answer was received."""

    def observe(
        self,
        now: float,
        target: TargetId,
        attempt: int,
        observation: Observation,
    ) -> None:
        """Record how an attempt ended."""

    def observe_probe(
        self,
        now: float,
        target: TargetId,
        healthy: bool,
        seconds: float,
    ) -> None:
        """Record what a probe found."""

    def discount_pause(self, now: float, seconds: float) -> None:
        """Leave the last seconds out of the age of attempts in flight.

        This node read no answers during them.
        """

    def rotation(self) -> Rotation:
        """Return the targets that may receive work."""

    def tick(self, now: float) -> tuple[Occurrence, ...]:
        """Return the changes since the last tick; call it every 0.1 s."""

    def evidence(self, now: float) -> tuple[Evidence, ...]:
        """Return the evidence to send to other nodes."""

    def adopt_evidence(
        self,
        now: float,
        node: str,
        domain: str,
        evidence: tuple[Evidence, ...],
    ) -> None:
        """Replace the evidence that the node sent earlier."""

    def explain(self, now: float) -> tuple[TargetExplanation, ...]:
        """Explain why each target does or does not receive work."""
