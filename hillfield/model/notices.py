"""Notices: what targets report of themselves in their answers."""

from typing import Final

from msgspec import Struct


class TargetNotice(Struct, frozen=True):
    """Hold the notices of one answer about the target that gave it.

    `rate` is how many requests per second the target accepts from all nodes
    together (None: no limit is given, or none that can be parsed), `leaving`
    that it accepts no new work any more, `unreadable` the notices that could
    not be parsed (empty: none), `limit_unreadable` that its rate limit is
    among them.
    """

    rate: float | None = None
    leaving: bool = False
    unreadable: str = ''
    limit_unreadable: bool = False


class IncarnationNotice(Struct, frozen=True, array_like=True):
    """Hold the notices of one incarnation of a target, sent between nodes.

    `incarnation` is the name that the target itself gives it, the same at
    any node in front of it; `rate` and `leaving` are those of its answers.
    """

    incarnation: str
    rate: float | None = None
    leaving: bool = False


NO_NOTICE: Final = TargetNotice()
