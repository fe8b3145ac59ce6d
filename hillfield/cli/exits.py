"""Exit codes of the command line, and leaving with them."""

import sys
from collections.abc import Iterable
from enum import IntEnum
from typing import NoReturn

from typer import Exit

from hillfield.cli.nodes import NodeCallError


class ExitCode(IntEnum):
    """Tell scripts how a command ended.

    `CONFLICT`: another operator changed the same part. `UNREACHABLE`: the
    store or a node. `UNKNOWN`: an answer was lost, and whether the change
    was accepted is unknown.
    """

    DONE = 0
    REFUSED = 1
    USAGE = 2
    CONFLICT = 3
    UNREACHABLE = 4
    UNKNOWN = 5


def leave(code: ExitCode, *lines: str) -> NoReturn:
    """End the command with lines on standard error."""
    warn(*lines)
    raise Exit(code)


def warn(*lines: str) -> None:
    """Write lines to standard error."""
    for line in lines:
        sys.stderr.write(f'hillfield: {line}\n')


def choose_code(errors: Iterable[NodeCallError]) -> ExitCode:
    """Return the code for failed calls; a refusal goes before silence."""
    statuses = [error.status for error in errors]
    if any(statuses):
        return ExitCode.REFUSED
    return ExitCode.UNREACHABLE if statuses else ExitCode.DONE
