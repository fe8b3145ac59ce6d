"""Explain to operators why an edit failed."""

from datetime import UTC, datetime
from functools import singledispatch

from hillfield.configuration.editing.differences import Difference
from hillfield.configuration.editing.outcomes import (
    Contended,
    Race,
    Raced,
    Refused,
    Unreachable,
    Unsettled,
)


@singledispatch
def explain(reason: object) -> tuple[str, ...]:
    """Return the lines that tell why an edit failed and what to do."""
    raise TypeError(f'no words for {type(reason).__name__}')


@explain.register
def _explain_refused(reason: Refused) -> tuple[str, ...]:
    return tuple(map(str, reason.problems))


@explain.register
def _explain_raced(reason: Raced) -> tuple[str, ...]:
    lines = [line for race in reason.races for line in _describe_race(race)]
    newest = max(race.revision for race in reason.races)
    return (
        *lines,
        'nothing of yours was written; theirs stands. Take their change into'
        f' your files, or replace it by --over {newest}',
    )


@explain.register
def _explain_contended(reason: Contended) -> tuple[str, ...]:
    return (
        f'others wrote the same values at each of {reason.tries} tries;'
        ' nothing of yours was written: repeat the command',
    )


@explain.register
def _explain_unreachable(reason: Unreachable) -> tuple[str, ...]:
    error = reason.error
    return (
        f'{error.peer}: {error.step}: {error.detail}',
        'nothing was written; what was accepted before stays in force at the'
        ' nodes while the store is away',
    )


@explain.register
def _explain_unsettled(reason: Unsettled) -> tuple[str, ...]:
    error = reason.error
    return (
        f'{error.peer}: {error.step}: {error.detail}',
        f'change {reason.change} may or may not have been accepted; repeat the'
        ' command: it is safe, and tells',
    )


def describe_moment(at: float) -> str:
    """Return wall seconds as people read them, in UTC.

    >>> describe_moment(0)
    '1970-01-01T00:00:00Z'
    """
    moment = datetime.fromtimestamp(at, UTC)
    return moment.strftime('%Y-%m-%dT%H:%M:%SZ')


def _describe_race(race: Race) -> tuple[str, ...]:
    difference = Difference(race.kind, race.name, race.theirs, race.mine)
    who = str(race)
    if race.at:
        who = f'{who}, {describe_moment(race.at)}'
    return (who, *difference.lines('theirs', 'yours'))
