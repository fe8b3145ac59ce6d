"""The incarnation of its target that a gate serves."""

from msgspec import Struct

from hillfield.model import Target


class ServedIncarnation(Struct, frozen=True):
    """Hold the served incarnation of the host's target.

    `name` is the name that this incarnation announces, `born` the start time
    that it announces (None: it doesn't); `target.id` holds the incarnation
    number by which other nodes know it.
    """

    target: Target
    name: str
    born: int | None = None

    @property
    def identifier(self) -> str:
        """Return an identifier of this incarnation, the same at any node."""
        return self.name if self.born is None else f'{self.name}/{self.born}'
