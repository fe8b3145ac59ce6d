"""Options that many commands share, and how they are read."""

from collections.abc import Iterable
from typing import Annotated, TypeVar

from expression import Result
from typer import Option

from hillfield.cli.exits import ExitCode, leave
from hillfield.model import Address, parse_address

Kind = TypeVar('Kind')
Json = Annotated[bool, Option('--json', help='Print JSON.')]
Nodes = Annotated[
    list[str],
    Option(
        '--node',
        help="Control address of a node, ip:port (its 'listen.control');"
        ' repeatable.',
    ),
]


def read_nodes(texts: Iterable[str]) -> tuple[Address, ...]:
    """Parse the values of `--node`, or leave with what is wrong."""
    parsed = [read_option('--node', parse_address(text)) for text in texts]
    return tuple(dict.fromkeys(parsed))


def read_option(name: str, parsed: Result[Kind, str]) -> Kind:
    """Return a parsed option, or leave with what is wrong."""
    if parsed.is_error():
        leave(ExitCode.USAGE, f'{name}: {parsed.error}')
    return parsed.ok
