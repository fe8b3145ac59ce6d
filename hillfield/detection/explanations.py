"""Explanation of why a target does or does not receive work."""

from msgspec import Struct

from hillfield.detection.evidence import Symptom
from hillfield.model import TargetId


class TargetExplanation(Struct, frozen=True):
    """Explain the state of one target.

    `since` is when its state began (monotonic seconds of this node), `share`
    what it receives of a healthy target's work (0: none), `floor_held` that
    it is unhealthy and only the floor keeps it in rotation.
    """

    target: TargetId
    state: str
    since: float
    evidence: str
    symptom: Symptom
    share: float
    floor_held: bool
