"""The command that lists targets."""

from asyncio import run
from typing import Annotated, Final
from urllib.parse import urlencode

from msgspec.json import encode
from typer import Option, echo

from hillfield.cli.exits import choose_code, leave, warn
from hillfield.cli.nodes import fetch_page
from hillfield.cli.options import Json, Nodes, read_nodes
from hillfield.cli.tables import format_table
from hillfield.control.pages import TargetPage, TargetsPage
from hillfield.model import Address

HEAD: Final = (
    'service',
    'address',
    'state',
    'slots',
    'weight',
    'load',
    'failure domain',
    'host',
    'incarnation',
)


def show_targets(
    node: Nodes,
    service: Annotated[str, Option(help='Only this service.')] = '',
    json: Json = False,
) -> None:
    """List the fleet's targets as the first node that answers knows them.

    Exit 0 when a node answered, 1 when it refused, 2 for wrong options, 4
    when none is in reach.
    """
    query = urlencode({'service': service})
    path = f'/v1/targets?{query}'
    listed = merge_targets(run(fetch_first(read_nodes(node), path)))
    if json:
        echo(encode(listed))
    else:
        echo(format_table(HEAD, list(map(format_target, listed))))


async def fetch_first(
    addresses: tuple[Address, ...],
    path: str,
) -> TargetsPage:
    """Ask one node after another; leave when none answers."""
    page = await fetch_page(TargetsPage, addresses[0], path)
    if page.is_ok():
        return page.ok
    if len(addresses) == 1:
        leave(choose_code((page.error,)), str(page.error))
    warn(str(page.error))
    return await fetch_first(addresses[1:], path)


def merge_targets(page: TargetsPage) -> list[TargetPage]:
    """Return all targets once; those of the node's host as it knows them."""
    found = {_identify(each): each for each in page.known}
    found.update((_identify(each), each) for each in page.own)
    return [each for _, each in sorted(found.items())]


def format_target(target: TargetPage) -> list[str]:
    """Return the cells of a target."""
    load = '-' if target.load is None else format(target.load, '.2f')
    return [
        target.service,
        target.address,
        target.state,
        str(target.slots),
        format(target.weight, 'g'),
        load,
        target.failure_domain,
        target.host,
        str(target.incarnation),
    ]


def _identify(target: TargetPage) -> tuple[str, str, int]:
    return (target.service, target.address, target.incarnation)
