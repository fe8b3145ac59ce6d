"""A plain check of the seven promises against what was recorded."""

from collections import Counter
from collections.abc import Iterable, Iterator
from itertools import chain
from types import MappingProxyType
from typing import Final

from hillfield.emulator.facts import Promise, Trial, Verdict
from hillfield.emulator.oracle_configuration import find_stale
from hillfield.emulator.records import Ending

# Seconds that the brief's "a few seconds" allow after a leave.
LEAVING_GRACE: Final = 2.0
SHOWN: Final = 3
# Shares are rounded when they are shown by a node.
ROUNDING: Final = 1e-6


def find_below_floor(trial: Trial) -> Iterator[str]:
    """Yield moments at which a node's rotation lay under the floor."""
    for fact in trial.rotations:
        least = fact.floor * fact.announced_slots
        if fact.rotation_slots < least - ROUNDING:
            yield (
                f'{fact.node} had {fact.rotation_slots} of'
                f' {fact.announced_slots} slots of {fact.service}'
            )


def find_foreign(trial: Trial) -> Iterator[str]:
    """Yield answers that were not whole or were another request's."""
    for call in trial.calls:
        if call.ending is Ending.ANSWERED and not (call.whole and call.own):
            yield f'{call.request}: whole {call.whole}, own {call.own}'


def find_wrongly_not_run(trial: Trial) -> Iterator[str]:
    """Yield requests that ran although their callers were told not."""
    ran = _count_runs(trial)
    for call in trial.calls:
        if call.ending is Ending.NOT_RUN and ran[call.request]:
            yield f'{call.request} ran'


def find_repeated(trial: Trial) -> Iterator[str]:
    """Yield non-idempotent requests that ran more than once."""
    ran = _count_runs(trial)
    for call in trial.calls:
        if not call.idempotent and ran[call.request] > 1:
            times = ran[call.request]
            yield f'{call.request} ran {times} times'


def find_late_work(trial: Trial) -> Iterator[str]:
    """Yield work that began on a target well after it said it leaves."""
    for record in trial.targets:
        for leaving in record.leavings:
            latest = leaving.announced + LEAVING_GRACE
            for run in record.runs:
                if run.started > latest:
                    late = run.started - leaving.announced
                    yield f'{run.request} began {late:.1f} s after a leave'


def find_cut(trial: Trial) -> Iterator[str]:
    """Yield requests in flight at a graceful shutdown that were cut."""
    cut = [call for call in trial.calls if call.ending is Ending.CUT]
    for shutdown in trial.shutdowns:
        for call in cut:
            near = shutdown.peer in {'', call.node}
            during = call.started <= shutdown.ended
            if near and during and call.finished >= shutdown.started:
                yield f'{call.request}: {call.detail}'


def _count_runs(trial: Trial) -> Counter[str]:
    runs = chain.from_iterable(record.runs for record in trial.targets)
    return Counter(run.request for run in runs)


def _conclude(
    promise: Promise,
    facts: int,
    found: Iterable[str],
) -> Verdict:
    broken = tuple(found)
    if broken:
        shown = '; '.join(broken[:SHOWN])
        return Verdict(
            promise,
            held=False,
            facts=facts,
            detail=f'{len(broken)} broken: {shown}',
        )
    return Verdict(promise, held=True, facts=facts, detail='')


def count_facts(promise: Promise, trial: Trial) -> int:
    """Return how many recorded facts a promise is judged by."""
    match promise:
        case Promise.FLOOR:
            return len(trial.rotations)
        case Promise.LEAVING:
            return sum(len(record.leavings) for record in trial.targets)
        case Promise.GRACEFUL:
            return len(trial.shutdowns)
        case Promise.CONFIGURATION:
            return len(trial.in_force)
        case _:
            return len(trial.calls)


FINDERS: Final = MappingProxyType(
    {
        Promise.FLOOR: find_below_floor,
        Promise.OWN_ANSWER: find_foreign,
        Promise.NOT_RUN: find_wrongly_not_run,
        Promise.AT_MOST_ONCE: find_repeated,
        Promise.LEAVING: find_late_work,
        Promise.GRACEFUL: find_cut,
        Promise.CONFIGURATION: find_stale,
    }
)


def judge(trial: Trial) -> tuple[Verdict, ...]:
    """Judge each promise by the facts of the trial.

    >>> [verdict.held for verdict in judge(Trial())]
    [True, True, True, True, True, True, True]
    """
    return tuple(
        _conclude(promise, count_facts(promise, trial), find(trial))
        for promise, find in FINDERS.items()
    )
