"""Tell whether an edit would overwrite another operator's change."""

from typing import Final

from msgspec import Struct

from hillfield.configuration.editing.goals import Goal, PartKind
from hillfield.configuration.editing.outcomes import Race
from hillfield.configuration.editing.snapshots import DecodedSnapshot, Held
from hillfield.configuration.storage.stored import Stamp

STAMPS_KEPT: Final = 8
UNKNOWN: Final = Stamp(change='', author='', at=0, note='', names=())


class Basis(Struct, frozen=True):
    """Say what the operator knew.

    `since`: all up to this revision of the store; None: what `first`, the
    first reading, shows.
    """

    first: DecodedSnapshot
    since: int | None = None


def find_races(
    goals: tuple[Goal, ...],
    now: DecodedSnapshot,
    basis: Basis,
) -> tuple[Race, ...]:
    """Return the parts that someone changed and that would be overwritten.

    A part that stands as wanted is no race: both want the same.
    """
    return tuple(
        _describe(goal, now)
        for goal in goals
        if now.find(goal) != goal.wanted and _is_raced(goal, now, basis)
    )


def _is_raced(goal: Goal, now: DecodedSnapshot, basis: Basis) -> bool:
    if now.find(goal) != basis.first.find(goal):
        return True
    if basis.since is None:
        return False
    return _changed_after(now.held(goal.key), goal, basis.since)


def _changed_after(held: Held, goal: Goal, since: int) -> bool:
    if held.revision <= since:
        return False
    if goal.kind is PartKind.TEMPLATE:
        return True
    later = [stamp for stamp in held.stamps if stamp.revision > since]
    # When all stamps kept are later, one that was dropped may be too.
    if len(later) == STAMPS_KEPT:
        return True
    return any(goal.name in stamp.names for stamp in later)


def _describe(goal: Goal, now: DecodedSnapshot) -> Race:
    held = now.held(goal.key)
    stamp = _find_latest(held, goal.name)
    return Race(
        kind=goal.kind,
        name=goal.name,
        author=stamp.author,
        change=stamp.change,
        revision=stamp.revision or held.revision,
        at=stamp.at,
        theirs=now.find(goal),
        mine=goal.wanted,
    )


def _find_latest(held: Held, name: str) -> Stamp:
    for stamp in reversed(held.stamps):
        if name in stamp.names:
            return stamp
    return UNKNOWN
