"""Refusals of announcements that are well formed."""

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
    """Refuse one target more than the node keeps."""
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
    """Refuse what a life other than the known one says."""
    return AnnouncementProblem(
        Refusal.STALE,
        'incarnation',
        str(incarnation),
        f'the life listed here is {known}; a restart must go above it',
    )


def make_unknown_problem(
    service: str,
    address: Address,
) -> AnnouncementProblem:
    """Refuse to withdraw what isn't listed."""
    return AnnouncementProblem(
        Refusal.UNKNOWN,
        'address',
        f'{service}/{address}',
        'withdraw only what has been announced',
    )
