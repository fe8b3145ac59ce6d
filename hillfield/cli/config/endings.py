"""Tell how an edit ended, and leave with its exit code."""

from functools import singledispatch
from typing import NoReturn

from expression import Result
from msgspec import Struct
from msgspec.json import encode
from typer import echo

from hillfield.cli.config.reasons import explain
from hillfield.cli.exits import ExitCode, leave, warn
from hillfield.configuration.editing import Applied, EditFailure
from hillfield.configuration.editing.outcomes import (
    Contended,
    Raced,
    Reason,
    Unreachable,
    Unsettled,
)


class EditReport(Struct, frozen=True):
    """Hold an edit's end for scripts."""

    ended: str
    revision: int = 0
    changed: tuple[str, ...] = ()
    reason: Reason | None = None


def report_edit(
    ended: Result[Applied, EditFailure],
    json: bool,
    idle: str = '',
) -> None:
    """Print how an edit ended and leave unless it was accepted.

    `idle` is said when there was nothing to change.
    """
    if ended.is_error():
        fail_edit(ended.error, json)
    applied = ended.ok
    if json:
        echo(encode(EditReport('accepted', applied.revision, applied.changed)))
        return
    for name in applied.changed:
        echo(f'changed {name}')
    if applied.changed:
        echo(f'accepted at revision {applied.revision}')
    elif idle or not applied.revision:
        echo(idle or 'nothing to change')
    else:
        echo(f'nothing to change; in the store since {applied.revision}')


def fail_edit(failure: EditFailure, json: bool) -> NoReturn:
    """Print a failure, with what was accepted before it, and leave."""
    accepted = failure.accepted or Applied(0, ())
    if json:
        name = type(failure.reason).__name__.lower()
        report = EditReport(
            name,
            accepted.revision,
            accepted.changed,
            failure.reason,
        )
        echo(encode(report))
    if accepted.changed:
        number = len(accepted.changed)
        revision = accepted.revision
        warn(
            f'{number} parts were accepted up to revision {revision};'
            ' repeat to go on',
        )
    leave_for(failure.reason)


def leave_for(reason: Reason) -> NoReturn:
    """Explain a reason on standard error and leave with its code."""
    leave(choose_edit_code(reason), *explain(reason))


@singledispatch
def choose_edit_code(reason: object) -> ExitCode:
    """Return the exit code for a reason."""
    return ExitCode.REFUSED


@choose_edit_code.register(Raced)
@choose_edit_code.register(Contended)
def _choose_conflict(reason: Raced | Contended) -> ExitCode:
    return ExitCode.CONFLICT


@choose_edit_code.register
def _choose_unreachable(reason: Unreachable) -> ExitCode:
    return ExitCode.UNREACHABLE


@choose_edit_code.register
def _choose_unknown(reason: Unsettled) -> ExitCode:
    return ExitCode.UNKNOWN
