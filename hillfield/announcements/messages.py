"""The announcements of targets to their host's node, and their refusals."""

from enum import StrEnum
from itertools import islice
from typing import Annotated, Final

from expression import Error, Ok, Result
from msgspec import DecodeError, Meta, Struct, convert
from msgspec.json import decode

from hillfield.model import Address, TargetState
from hillfield.settings.checks import find_problems
from hillfield.settings.node import Name
from hillfield.settings.tables import prepare_table

LARGEST_COUNT: Final = 100000
# More than a faulty target causes; a malicious body may cause thousands.
PROBLEMS_REPORTED: Final = 16
LARGEST_WEIGHT: Final = 1000
LARGEST_INCARNATION: Final = 9223372036854775807

Amount = Annotated[
    int,
    Meta(
        ge=1,
        le=LARGEST_COUNT,
        description=f'write a whole number, 1 to {LARGEST_COUNT}',
    ),
]
Weight = Annotated[
    float,
    Meta(
        gt=0,
        le=LARGEST_WEIGHT,
        description=f'write a number, above 0, up to {LARGEST_WEIGHT}',
    ),
]
Load = Annotated[
    float,
    Meta(
        ge=0,
        le=LARGEST_COUNT,
        description='write busy slots divided by slots, 0 or more, or null',
    ),
]
Incarnation = Annotated[
    int,
    Meta(
        ge=1,
        le=LARGEST_INCARNATION,
        description='write a whole number that grows with each restart, such'
        ' as the start time in milliseconds, or leave it out',
    ),
]


class Refusal(StrEnum):
    """Name why an announcement is refused."""

    MALFORMED = 'malformed'
    FOREIGN = 'foreign'
    UNKNOWN = 'unknown'
    STALE = 'stale'
    FULL = 'full'
    HELD = 'held'


class AnnouncementProblem(Struct, frozen=True):
    """Describe a refusal: the field, its value and how to fix it."""

    refusal: Refusal
    field: str
    found: str
    fix: str


class Announcement(Struct, frozen=True):
    """Hold one announcement; the node's locality replaces missing parts.

    A `connection_limit` of None means four connections per slot.
    """

    service: Name
    address: Address
    slots: Amount
    connection_limit: Amount | None = None
    weight: Weight = 1
    state: TargetState = TargetState.READY
    load: Load | None = None
    incarnation: Incarnation | None = None
    region: Name | None = None
    failure_domain: Name | None = None
    host: Name | None = None


def read_announcement(
    body: bytes,
) -> Result[Announcement, tuple[AnnouncementProblem, ...]]:
    """Parse JSON; the error names the malformed fields, at most 16.

    >>> body = b'{"service": "s", "address": "127.0.0.1:80", "slots": 4}'
    >>> read_announcement(body).ok.slots
    4
    >>> read_announcement(b'{').error[0].field
    'body'
    """
    try:
        table = decode(body)
    except (DecodeError, RecursionError) as error:
        return Error((_malformed('body', 'no valid JSON', str(error)),))
    if not isinstance(table, dict):
        kind = type(table).__name__
        return Error((_malformed('body', kind, 'write a JSON object'),))
    found = find_problems(Announcement, table)
    problems = tuple(
        _malformed(problem.field, problem.found, problem.fix)
        for problem in islice(found, PROBLEMS_REPORTED)
    )
    if problems:
        return Error(problems)
    return Ok(convert(prepare_table(Announcement, table), Announcement))


def _malformed(field: str, found: str, fix: str) -> AnnouncementProblem:
    return AnnouncementProblem(Refusal.MALFORMED, field, found, fix)
