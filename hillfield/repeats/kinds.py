"""Kinds of repeats, and which of them goes first where tokens are short."""

from enum import StrEnum
from types import MappingProxyType
from typing import Final, Protocol

from hillfield.repeats.bounds import SHORT


class RepeatKind(StrEnum):
    """Say why a request is sent once more.

    `SHED`: a target says that it has not run. `FAILED`: an attempt ended, or
    hung, without an answer. `HEDGE`: another attempt may still be answered.
    """

    SHED = 'shed'
    FAILED = 'failed'
    HEDGE = 'hedge'


# The part of a service's bound that must not be spent yet for a repeat of the
# kind.
# What a target has said not to have run is lost without its repeat, whatever
# the route; a hedge only shortens a wait, and must never starve a retry.
LEAST_ROOM: Final = MappingProxyType[RepeatKind, float](
    {
        RepeatKind.SHED: 0,
        RepeatKind.FAILED: SHORT,
        RepeatKind.HEDGE: 0.4,
    },
)


class RepeatTokens(Protocol):
    """Say which repeats the fleet's bound allows this node."""

    def can_take(self, service: str, kind: RepeatKind) -> bool:
        """Tell whether a repeat is allowed now."""

    def take(self, service: str, kind: RepeatKind) -> bool:
        """Take a repeat from the bound, if it is allowed."""
