"""Decide what an edit does next, from what was read."""

from msgspec import Struct

from hillfield.configuration.editing.changes import (
    Signature,
    build_changes,
    find_missing,
)
from hillfield.configuration.editing.consistency import check_goals
from hillfield.configuration.editing.goals import Goal
from hillfield.configuration.editing.outcomes import (
    Applied,
    Raced,
    Reason,
    Refused,
)
from hillfield.configuration.editing.races import Basis, find_races
from hillfield.configuration.editing.snapshots import DecodedSnapshot
from hillfield.configuration.schema.problems import ConfigurationProblem
from hillfield.store.ports import Change


class Write(Struct, frozen=True):
    """Make these changes to reach the goals."""

    changes: tuple[Change, ...]
    names: tuple[str, ...]


def find_base_fault(basis: Basis) -> Refused | None:
    """Refuse a base that the store has not reached: it is another store's.

    It would let every change of others be overwritten.
    """
    reached = basis.first.revision
    if basis.since is None or basis.since <= reached:
        return None
    problem = ConfigurationProblem(
        'store',
        'based_on',
        f'{basis.since}, and the store is at revision {reached}',
        'take it, or --over, from `hillfield config show` of this store',
    )
    return Refused((problem,))


def find_fault(
    goals: tuple[Goal, ...],
    now: DecodedSnapshot,
    basis: Basis,
) -> Reason | None:
    """Return why the goals can't be reached, if so."""
    problems = check_goals(goals, now.templates())
    if problems:
        return Refused(problems)
    races = find_races(goals, now, basis)
    return Raced(races) if races else None


def judge(
    goals: tuple[Goal, ...],
    now: DecodedSnapshot,
    signature: Signature,
    segment: str,
) -> Applied | Write:
    """Return the writes to make, or that nothing is left to do."""
    stamp = now.held(segment).find_stamp(signature.change)
    if stamp is not None:
        return Applied(stamp.revision, stamp.names)
    changes = build_changes(goals, now, segment, signature)
    if not changes:
        newest = max(now.held(goal.key).revision for goal in goals)
        return Applied(newest, ())
    return Write(changes, tuple(map(str, find_missing(goals, now))))
