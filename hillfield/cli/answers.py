"""Print what nodes answered, and leave with what they refused."""

from collections.abc import Callable, Sequence
from typing import TypeVar

from expression import Result
from msgspec.json import encode
from typer import echo

from hillfield.cli.exits import choose_code, leave
from hillfield.cli.nodes import NodeCallError

Page = TypeVar('Page')


def print_answers(
    answers: Sequence[Result[Page, NodeCallError]],
    format_page: Callable[[Page], str],
    *,
    json: bool,
) -> None:
    """Print the pages that came; leave with a code where a call failed."""
    pages = [answer.ok for answer in answers if answer.is_ok()]
    if json:
        echo(encode(pages))
    else:
        echo('\n\n'.join(map(format_page, pages)), nl=bool(pages))
    errors = [answer.error for answer in answers if answer.is_error()]
    if errors:
        leave(choose_code(errors), *map(str, errors))
