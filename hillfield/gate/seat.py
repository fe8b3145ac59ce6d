"""The target that a gate stands before."""

from msgspec import Struct

from hillfield.model import Target


class Seat(Struct, frozen=True):
    """Hold one life of the host's target.

    `name` is what the target calls this life of itself, `born` the moment of
    its start as it tells it (None: it doesn't); `target.id` holds the number
    by which other nodes know it.
    """

    target: Target
    name: str
    born: int | None = None

    @property
    def life(self) -> str:
        """Return what names this life at any node that stands before it."""
        return self.name if self.born is None else f'{self.name}/{self.born}'
