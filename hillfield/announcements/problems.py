"""Refusals of well-formed announcements."""

from hillfield.announcements.messages import (
    AnnouncementProblem,
    Refusal,
)
from hillfield.model import Address
from hillfield.settings import AnnouncementSettings


def find_capacity_problem(
    count: int,
    settings: AnnouncementSettings,
) -> AnnouncementProblem | None:
    """Refuse a target beyond the number that the node keeps."""
    if count < settings.maximum:
        return None
    return AnnouncementProblem(
        Refusal.FULL,
        'service',
        f'{count} targets',
        'withdraw some or raise announcements.maximum',
    )


def make_stale_problem(
    incarnation: int | None,
    known: int,
) -> AnnouncementProblem:
    """Refuse a request of an incarnation other than the listed one."""
    return AnnouncementProblem(
        Refusal.STALE,
        'incarnation',
        str(incarnation),
        f'the incarnation listed here is {known}; a restart must be higher',
    )


def make_unknown_problem(
    service: str,
    address: Address,
) -> AnnouncementProblem:
    """Refuse to withdraw a target that is not listed."""
    return AnnouncementProblem(
        Refusal.UNKNOWN,
        'address',
        f'{service}/{address}',
        'withdraw only what has been announced',
    )
