"""Check that accepted configuration is in force soon and stays so."""

from collections.abc import Iterator
from itertools import chain
from typing import Final

from hillfield.emulator.facts import AcceptedFact, InForceFact, Trial

# Seconds within which a change is in force everywhere.
IN_FORCE_WITHIN: Final = 12.0


def find_stale(trial: Trial) -> Iterator[str]:
    """Yield reverts to an older revision and changes that came late."""
    return chain(_find_reverts(trial), _find_late(trial))


def _find_reverts(trial: Trial) -> Iterator[str]:
    newest: dict[tuple[str, str], int] = {}
    for fact in sorted(trial.in_force, key=_take_moment):
        place = (fact.node, fact.key)
        before = newest.get(place, 0)
        if fact.revision < before:
            yield f'{fact.node} went from {before} to {fact.revision}'
        newest[place] = max(before, fact.revision)


def _find_late(trial: Trial) -> Iterator[str]:
    for accepted in trial.accepted:
        for node in accepted.nodes:
            if not _was_in_time(trial, accepted, node):
                yield f'{node} lacked {accepted.key} of {accepted.revision}'


def _was_in_time(trial: Trial, accepted: AcceptedFact, node: str) -> bool:
    latest = accepted.at + IN_FORCE_WITHIN
    return any(
        fact.node == node
        and fact.key == accepted.key
        and fact.revision >= accepted.revision
        and fact.at <= latest
        for fact in trial.in_force
    )


def _take_moment(fact: InForceFact) -> float:
    return fact.at
