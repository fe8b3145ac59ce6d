"""The command that shows how short a service is, and where."""

from asyncio import gather, run
from typing import Final

from expression import Result

from hillfield.cli.answers import print_answers
from hillfield.cli.nodes import NodeCallError, fetch_page
from hillfield.cli.options import Json, Nodes, read_nodes
from hillfield.cli.tables import format_table
from hillfield.control.loadpages import DomainLoad, LoadPage, ServiceLoad
from hillfield.model import Address

HEAD: Final = (
    'failure domain',
    'targets',
    'slots',
    'free',
    'waiting',
    'held back',
    'limited',
    'told',
)
PATH: Final = '/v1/load'

Answer = Result[LoadPage, NodeCallError]


def show_load(node: Nodes, json: Json = False) -> None:
    """Show what nodes know of each service's room, and ask of it.

    Each node knows the targets that it uses: ask several to see a service
    whole. Exit 0 when each node answered, 2 for wrong options, 4 when one is
    out of reach.
    """
    answers = run(ask_all(read_nodes(node)))
    print_answers(answers, format_page, json=json)


async def ask_all(addresses: tuple[Address, ...]) -> list[Answer]:
    """Ask all the nodes at once."""
    calls = [fetch_page(LoadPage, address, PATH) for address in addresses]
    return await gather(*calls)


def format_page(page: LoadPage) -> str:
    """Return what a node knows, for people."""
    if not page.services:
        return f'{page.node}: no service has been asked for here'
    return '\n'.join(map(format_service, page.services))


def format_service(load: ServiceLoad) -> str:
    """Return one service's lines."""
    told = f'{load.silent} targets have told nothing'
    here = f'{load.waiting} wait here, {load.in_flight} at targets'
    ended = f'{load.refused} of {load.admitted} refused'
    rows = list(map(format_domain, load.domains))
    return '\n'.join(
        (
            f'{load.service}: {here}, {ended}, {told}',
            format_table(HEAD, rows),
        ),
    )


def format_domain(load: DomainLoad) -> list[str]:
    """Return the cells of a failure domain."""
    return [
        load.domain,
        str(load.told),
        str(load.slots),
        str(load.free),
        str(load.waiting),
        str(load.held),
        _show_limits(load),
        f'{load.age:.1f}s ago',
    ]


def _show_limits(load: DomainLoad) -> str:
    """Return how many targets name a limit, and what they take together."""
    if not load.limited:
        return '0'
    return f'{load.limited} ({load.rate:.1f}/s)'
