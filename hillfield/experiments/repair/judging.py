"""Verdicts on a scene from what callers and targets recorded."""

from collections import Counter
from collections.abc import Iterable
from itertools import groupby
from typing import Final

from msgspec import Struct
from msgspec.structs import replace

from hillfield.emulator import (
    Call,
    Ending,
    Promise,
    Run,
    TargetRecord,
    Trial,
    Verdict,
    judge,
)
from hillfield.experiments.repair.callers import TRY, find_request
from hillfield.experiments.repair.outcomes import Outcome, Wish

# Of the requests at nodes that were not harmed.
MOST_MISSED: Final = 0.01
SHOWN: Final = 3


class Judged(Struct, frozen=True):
    """Hold how a scene fared; `seconds` until all was whole, None: never.

    `told` counts the events that the nodes logged.
    """

    name: str
    seconds: float | None
    verdicts: tuple[Verdict, ...]
    wishes: tuple[Wish, ...]
    requests: int
    answered: int
    lost: int
    told: str = ''

    @property
    def held(self) -> bool:
        """Tell whether promises and wishes held and all was whole again."""
        kept = all(verdict.held for verdict in self.verdicts)
        granted = all(wish.held for wish in self.wishes)
        return kept and granted and self.seconds is not None


def judge_scene(
    name: str,
    trial: Trial,
    outcome: Outcome,
    seconds: float | None,
) -> Judged:
    """Judge the promises, and how many requests got their answer."""
    last = find_last(trial.calls)
    answered = sum(call.ending is Ending.ANSWERED for call in last)
    harmed = {str(host.callers) for host in outcome.harmed}
    return Judged(
        name,
        seconds,
        tuple(_join_tries(trial, verdict) for verdict in judge(trial)),
        (*outcome.wishes, *_judge_service(last, harmed)),
        len(last),
        answered,
        sum(call.ending is Ending.CUT for call in last),
    )


def find_last(calls: tuple[Call, ...]) -> tuple[Call, ...]:
    """Return the last try of each request."""
    ordered = sorted(calls, key=_order)
    return tuple(
        list(tries)[-1] for _, tries in groupby(ordered, key=_take_request)
    )


def _judge_service(last: Iterable[Call], harmed: set[str]) -> Iterable[Wish]:
    spared = [call for call in last if call.node not in harmed]
    missed = [call for call in spared if call.ending is not Ending.ANSWERED]
    cut = [call for call in missed if call.ending is Ending.CUT]
    first_cut = '; '.join(map(_show, cut[:SHOWN]))
    shown = '; '.join(map(_show, missed[-SHOWN:]))
    counts = _count(missed)
    yield Wish('none cut at nodes that lived', not cut, first_cut)
    yield Wish(
        'served throughout',
        len(missed) <= MOST_MISSED * len(spared),
        f'{len(missed)} of {len(spared)} without answer: {counts}; {shown}',
    )


def _count(calls: list[Call]) -> str:
    endings = Counter(call.ending for call in calls)
    return ', '.join(f'{name} {endings[name]}' for name in endings)


def _join_tries(trial: Trial, verdict: Verdict) -> Verdict:
    # All tries of one request are one piece of work.
    if verdict.promise is not Promise.AT_MOST_ONCE:
        return verdict
    joined = replace(
        trial,
        calls=tuple(
            replace(call, request=find_request(call.request))
            for call in trial.calls
        ),
        targets=tuple(map(_join_record, trial.targets)),
    )
    return next(
        each for each in judge(joined) if each.promise is verdict.promise
    )


def _join_record(record: TargetRecord) -> TargetRecord:
    return replace(record, runs=tuple(map(_join_run, record.runs)))


def _join_run(ran: Run) -> Run:
    return replace(ran, request=find_request(ran.request))


def _take_request(call: Call) -> str:
    return find_request(call.request)


def _order(call: Call) -> tuple[str, str]:
    request, _, number = call.request.partition(TRY)
    return request, number


def _show(call: Call) -> str:
    detail = call.detail.strip()
    return f'{call.request} {call.ending} {detail}'
