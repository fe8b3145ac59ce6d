"""Transitions of state charts."""

from enum import StrEnum
from typing import Generic, TypeVar

from msgspec import Struct

States = TypeVar('States', bound=StrEnum)
Actions = TypeVar('Actions', bound=StrEnum)


class ChartError(ValueError):
    """Report an invalid chart, which is a fault of the package."""


class Transition(Struct, frozen=True):
    """Hold the state after a transition and the action that goes with it."""

    state: str
    action: str


class MissingTransition(Struct, frozen=True):
    """Report that the chart has no such transition."""

    state: str
    trigger: str


class BoundTransition(Struct, Generic[States, Actions], frozen=True):
    """Hold a `Transition` in the caller's own types."""

    state: States
    action: Actions
