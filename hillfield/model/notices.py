"""What a target says of itself in its answers."""

from typing import Final

from msgspec import Struct


class TargetNotice(Struct, frozen=True):
    """Hold what one answer says of the target that gave it.

    `rate` is how many requests a second the target takes from all nodes
    together (None: it names no limit, or none that can be read), `leaving`
    that it takes no new work any more, `unread` what it says and nobody can
    read (empty: nothing of the kind), `vague` that its limit is part of that.
    """

    rate: float | None = None
    leaving: bool = False
    unread: str = ''
    vague: bool = False


class LifeNotice(Struct, frozen=True, array_like=True):
    """Hold what nodes tell each other of what a life of a target says.

    `life` names it as the target does, whichever node stands before it, `rate`
    and `leaving` are those of its answers.
    """

    life: str
    rate: float | None = None
    leaving: bool = False


SAYS_NOTHING: Final = TargetNotice()
