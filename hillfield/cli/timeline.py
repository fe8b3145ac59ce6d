"""The command that merges the time lines of several nodes."""

from asyncio import Semaphore, gather, run
from typing import Annotated, Final
from urllib.parse import urlencode

from expression import Result
from msgspec import Struct
from msgspec.json import encode
from typer import Option, echo

from hillfield.cli.exits import choose_code, leave
from hillfield.cli.moments import parse_moment
from hillfield.cli.nodes import NodeCallError, fetch_page
from hillfield.cli.options import Json, Nodes, read_nodes, read_option
from hillfield.control.pages import MembersPage
from hillfield.clocks import read_wall
from hillfield.events import TimelineEntry, merge_timelines
from hillfield.model import Address, parse_address

CALLS_AT_ONCE: Final = 16

Entries = tuple[TimelineEntry, ...]
Part = Result[Entries, NodeCallError]


class Merged(Struct, frozen=True):
    """Hold the merged events and the calls that failed."""

    entries: Entries
    errors: tuple[NodeCallError, ...]


# Each option is an argument to typer.
def show_timeline(  # noqa: WPS211
    node: Nodes,
    fleet: Annotated[
        bool,
        Option(help='Ask all nodes that the given ones know.'),
    ] = False,
    service: Annotated[str, Option(help='Only this service.')] = '',
    target: Annotated[str, Option(help='Part of a target.')] = '',
    request: Annotated[str, Option(help='Only this request.')] = '',
    since: Annotated[str, Option(help='30s, 5m, 2h ago, or ISO 8601.')] = '',
    until: Annotated[str, Option(help='As for --since.')] = '',
    limit: Annotated[int, Option(min=1, help='Newest events a node.')] = 1000,
    json: Json = False,
) -> None:
    """Show the events of all given nodes in one causal order.

    Exit 0 when each node answered, 1 when one refused, 2 for wrong options,
    4 when one was out of reach; what could be had is printed all the same.
    """
    query = {
        'service': service,
        'target': target,
        'request': request,
        'since': _read_moment('--since', since),
        'until': _read_moment('--until', until),
        'limit': str(limit),
    }
    given = {name: text for name, text in query.items() if text}
    path = '/v1/timeline?{0}'.format(urlencode(given))
    merged = run(collect_parts(read_nodes(node), path, fleet=fleet))
    print_entries(merged.entries, json=json)
    if merged.errors:
        leave(choose_code(merged.errors), *map(str, merged.errors))


async def collect_parts(
    addresses: tuple[Address, ...],
    path: str,
    *,
    fleet: bool,
) -> Merged:
    """Ask the nodes, a few at once, and merge what they answer."""
    errors: tuple[NodeCallError, ...] = ()
    if fleet:
        addresses, errors = await find_members(addresses)
    gate = Semaphore(CALLS_AT_ONCE)
    parts = await gather(
        *[_fetch_part(gate, address, path) for address in addresses],
    )
    failed = tuple(part.error for part in parts if part.is_error())
    entries = merge_timelines(part.ok for part in parts if part.is_ok())
    return Merged(entries, (*errors, *failed))


async def find_members(
    addresses: tuple[Address, ...],
) -> tuple[tuple[Address, ...], tuple[NodeCallError, ...]]:
    """Return the control addresses of all nodes known to the given ones."""
    pages = await gather(
        *[
            fetch_page(MembersPage, address, '/v1/members')
            for address in addresses
        ],
    )
    found: dict[Address, None] = {}
    for address, answer in zip(addresses, pages, strict=True):
        if answer.is_ok():
            found[address] = None
            found.update(dict.fromkeys(_list_alive(answer.ok)))
    # Whoever fails here isn't asked again: that would fail once more.
    errors = tuple(page.error for page in pages if page.is_error())
    return tuple(found), errors


def print_entries(entries: Entries, *, json: bool) -> None:
    """Print one line an event, or one JSON list."""
    if json:
        echo(encode(entries))
        return
    for entry in entries:
        echo(format_entry(entry))


def format_entry(entry: TimelineEntry) -> str:
    """Return an event as one line; empty fields are left out."""
    fields = {
        'service': entry.service,
        'target': entry.target,
        'account': entry.account,
        'request': entry.request,
        'peer': entry.peer,
        'step': entry.step,
    }
    shown = [f'{name}={text}' for name, text in fields.items() if text]
    logical = entry.stamp.logical
    head = (
        entry.time,
        f'+{logical}',
        entry.node,
        entry.severity,
        str(entry.code),
        entry.event,
    )
    return ' '.join((*head, *shown, entry.detail)).rstrip()


def _list_alive(page: MembersPage) -> list[Address]:
    alive = [member.control for member in page.members if member.alive]
    parsed = [parse_address(text) for text in alive]
    return [address.ok for address in parsed if address.is_ok()]


async def _fetch_part(gate: Semaphore, address: Address, path: str) -> Part:
    async with gate:
        return await fetch_page(Entries, address, path)


def _read_moment(name: str, text: str) -> str:
    if not text:
        return ''
    return str(read_option(name, parse_moment(text, read_wall())))
