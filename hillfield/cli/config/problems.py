"""Read files for a command and tell what is wrong with them."""

from pathlib import Path

from msgspec.json import encode
from typer import echo

from hillfield.cli.exits import ExitCode, leave
from hillfield.configuration.documents.files import (
    Configuration,
    read_configuration,
)
from hillfield.configuration.schema.problems import ConfigurationProblem


def load_files(source: Path, json: bool) -> Configuration:
    """Return what the files hold, or leave with all their problems."""
    configuration = read_configuration(source)
    if configuration.is_error():
        report_problems(configuration.error, json)
    return configuration.ok


def report_problems(
    problems: tuple[ConfigurationProblem, ...],
    json: bool,
) -> None:
    """Print problems, or that there are none; leave when there are some."""
    if json:
        echo(encode({'accepted': not problems, 'problems': problems}))
    elif not problems:
        echo('accepted')
    if problems:
        leave(ExitCode.REFUSED, *map(str, problems))
