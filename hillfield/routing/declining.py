"""Refusals by the node beside a target."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Declined:
    """The node beside the target refused: no byte went to the target."""

    detail: str
    retry_after: float | None = None
