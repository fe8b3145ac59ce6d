"""The target that a gate stands before."""

from dataclasses import dataclass

from hillfield.model import Target


@dataclass(frozen=True, slots=True)
class Seat:
    """Hold one life of the host's target.

    `name` is what the target calls this life of itself; `target.id` holds
    the number by which other nodes know it.
    """

    target: Target
    name: str
