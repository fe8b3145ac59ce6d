"""What a target says of itself in its answers."""

from typing import Final

from msgspec import Struct


class TargetNotice(Struct, frozen=True):
    """Hold what one answer says of the target that gave it.

    `rate` is how many requests a second the target takes from all nodes
    together (None: it names no limit), `unread` what it wrote in place of a
    limit that can't be read (None: nothing of the kind).
    """

    rate: float | None = None
    unread: str | None = None


SAYS_NOTHING: Final = TargetNotice()
