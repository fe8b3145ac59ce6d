"""Refusals of requests by the gate of a target."""

from msgspec import Struct


class Declined(Struct, frozen=True):
    """The target's gate declined: no byte was sent to the target.

    `lasting` says that it will decline the next request too, `only_repeats` that
    it would have taken a first arrival.
    """

    detail: str
    retry_after: float | None = None
    lasting: bool = False
    only_repeats: bool = False
