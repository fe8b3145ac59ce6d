"""What is known of requests, as rows for other nodes and for the store."""

from collections.abc import Collection

from hillfield.crashes.cases import NEVER, Case
from hillfield.crashes.messages import AnswerRow, ClearRow, ExitRow, Findings


def list_exits(now: float, case: Case) -> tuple[ExitRow, ...]:
    """Return the exits during a request."""
    return tuple(
        ExitRow(
            case.fingerprint,
            gate,
            number,
            now - seen_exit.ended,
            seen_exit.ended - seen_exit.began,
        )
        for (gate, number), seen_exit in case.exits.items()
    )


def list_findings(now: float, cases: Collection[Case]) -> Findings:
    """Return all that is known of some requests."""
    return Findings(
        tuple(row for case in cases for row in list_exits(now, case)),
        tuple(
            ClearRow(case.fingerprint, now - case.cleared_at)
            for case in cases
            if case.cleared_at > NEVER
        ),
        tuple(row for case in cases for row in _list_answers(now, case)),
    )


def _list_answers(now: float, case: Case) -> tuple[AnswerRow, ...]:
    return tuple(
        AnswerRow(case.fingerprint, gate, number, now - answered)
        for (gate, number), answered in case.answers.items()
    )
