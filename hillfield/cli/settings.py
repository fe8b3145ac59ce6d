"""Commands about a node's settings."""

import sys
from pathlib import Path
from typing import Annotated

from msgspec.json import encode
from msgspec.structs import asdict
from typer import Argument, Exit, Typer, echo

from hillfield.cli.exits import ExitCode
from hillfield.cli.options import Json
from hillfield.settings import SettingsProblem
from hillfield.settings.reader import read_settings

commands = Typer(
    no_args_is_help=True, add_completion=False, help="Check a node's settings."
)


@commands.callback()
def describe() -> None:
    """Check a node's settings."""


@commands.command()
def check(
    path: Annotated[Path, Argument(metavar='FILE', help='Settings in TOML.')],
    json: Json = False,
) -> None:
    """Check a file of settings; exit 0 when good, 1 when refused."""
    settings = read_settings(path)
    problems = settings.error if settings.is_error() else ()
    if json:
        _print_json(problems)
    else:
        _print_lines(path, problems)
    if problems:
        raise Exit(ExitCode.REFUSED)


def _print_json(problems: tuple[SettingsProblem, ...]) -> None:
    listed = [asdict(problem) for problem in problems]
    echo(encode({'accepted': not problems, 'problems': listed}))


def _print_lines(path: Path, problems: tuple[SettingsProblem, ...]) -> None:
    for problem in problems:
        sys.stderr.write(f'{path}: {problem}\n')
    if not problems:
        echo(f'{path}: accepted')
