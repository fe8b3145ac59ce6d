"""What becomes of an entry that is offered to a replica."""

from functools import singledispatch

from msgspec import Struct

from hillfield.configuration.entries import Entry
from hillfield.configuration.schema.problems import ConfigurationProblem
from hillfield.events import EventCode, Occurrence


class Adopted(Struct, frozen=True):
    """Say that the entry is in force and should be passed on."""

    entry: Entry


class Stale(Struct, frozen=True):
    """Say that an entry as new or newer is held already."""

    key: str
    held: int


class Invalid(Struct, frozen=True):
    """Say that the entry can't be read; an earlier one stays in force."""

    key: str
    revision: int
    problem: ConfigurationProblem


Adoption = Adopted | Stale | Invalid


@singledispatch
def describe(adoption: object) -> tuple[Occurrence, ...]:
    """Return the events that tell of an adoption; a stale entry has none."""
    return ()


@describe.register
def _describe_adopted(adoption: Adopted) -> tuple[Occurrence, ...]:
    entry = adoption.entry
    detail = f'{entry.key} at revision {entry.revision}'
    code = EventCode.CONFIGURATION_ADOPTED
    return (Occurrence(code, step='adopt', detail=detail),)


@describe.register
def _describe_invalid(adoption: Invalid) -> tuple[Occurrence, ...]:
    detail = f'revision {adoption.revision}: {adoption.problem}'
    code = EventCode.CONFIGURATION_REFUSED
    return (Occurrence(code, step='adopt', detail=detail),)
