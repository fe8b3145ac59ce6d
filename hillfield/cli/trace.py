"""The command that follows one request through the logs of its nodes."""

import sys
from collections.abc import Iterable, Iterator
from itertools import chain
from pathlib import Path
from typing import Annotated, Final

from msgspec import DecodeError, Struct, ValidationError
from msgspec.json import Decoder
from typer import Argument

from hillfield.cli.exits import ExitCode, leave
from hillfield.cli.moments import parse_moment
from hillfield.cli.options import Json
from hillfield.cli.timeline import print_entries
from hillfield.events import Stamp, TimelineEntry, merge_timelines

STANDARD_INPUT: Final = '-'
# A log collector may put its own words before a line.
OPENING: Final = '{'


class LogLine(Struct, frozen=True):
    """Hold one line as nodes log it."""

    time: str
    logical: int
    node: str
    code: int
    event: str
    level: str
    service: str = ''
    target: str = ''
    request: str = ''
    peer: str = ''
    step: str = ''
    detail: str = ''


_DECODER: Final = Decoder(LogLine)


def trace_request(
    request: Annotated[str, Argument(help='The id of the request.')],
    logs: Annotated[
        list[Path] | None,
        Argument(help='Log files of nodes; none or -: standard input.'),
    ] = None,
    json: Json = False,
) -> None:
    """Show what the nodes logged of a request, in causal order.

    Calls that a target made for the request are shown as well: their ids
    begin with the request's own and a dot. Exit 1 when nothing is found.
    """
    lines = read_lines(logs or [Path(STANDARD_INPUT)])
    found = merge_timelines([tuple(find_entries(lines, request))])
    if not found:
        leave(ExitCode.REFUSED, f'no line names request {request!r}')
    print_entries(found, json=json)


def read_lines(logs: Iterable[Path]) -> Iterator[str]:
    """Yield the lines of all files."""
    return chain.from_iterable(map(_read_file, logs))


def find_entries(
    lines: Iterable[str],
    request: str,
) -> Iterator[TimelineEntry]:
    """Yield the events of a request; other lines are passed over."""
    for text in lines:
        # Most lines are of other requests, and reading them is dear.
        if request in text:
            entry = read_entry(text)
            if entry is not None and _is_of(entry.request, request):
                yield entry


def read_entry(text: str) -> TimelineEntry | None:
    """Read a log line into an event; None when it is none.

    >>> read_entry('no event') is None
    True
    """
    start = text.find(OPENING)
    if start < 0:
        return None
    try:
        line = _DECODER.decode(text[start:])
    except (DecodeError, ValidationError):
        return None
    moment = parse_moment(line.time, 0)
    if moment.is_error():
        return None
    return TimelineEntry(
        Stamp(moment.ok, line.logical),
        line.node,
        line.code,
        line.event,
        line.level,
        line.service,
        line.target,
        request=line.request,
        peer=line.peer,
        step=line.step,
        detail=line.detail,
    )


def _is_of(found: str, request: str) -> bool:
    return found == request or found.startswith(f'{request}.')


def _read_file(path: Path) -> Iterator[str]:
    if str(path) == STANDARD_INPUT:
        yield from sys.stdin
        return
    try:
        with path.open('r', encoding='utf-8', errors='replace') as log:
            yield from log
    except OSError as missing:
        leave(ExitCode.REFUSED, f'{path}: {missing.strerror}')
