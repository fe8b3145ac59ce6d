"""The command that shows requests which end targets, and lifts refusals."""

from asyncio import gather, run
from typing import Annotated, Final

from expression import Result
from typer import Option

from hillfield.cli.answers import print_answers
from hillfield.cli.nodes import NodeCallError, fetch_page
from hillfield.cli.options import Json, Nodes, read_nodes
from hillfield.cli.tables import format_table
from hillfield.control.refusedpages import RefusedPage, RefusedRequest
from hillfield.model import Address

HEAD: Final = ('fingerprint', 'refused', 'ends', 'seen by', 'last', 'tried in')
PATH: Final = '/v1/refused'

Answer = Result[RefusedPage, NodeCallError]


def show_refused(
    node: Nodes,
    lift: Annotated[
        str,
        Option(help='Let this request through again, by its fingerprint.'),
    ] = '',
    json: Json = False,
) -> None:
    """Show the requests under which targets have ended, and why.

    All nodes hold the same, so one is enough; a refusal that is lifted at one
    is lifted at all. Exit 0 when each node answered, 1 when one doesn't know
    the fingerprint, 2 for wrong options, 4 when one is out of reach.
    """
    answers = run(ask_all(read_nodes(node), lift))
    print_answers(answers, format_page, json=json)


async def ask_all(addresses: tuple[Address, ...], lift: str) -> list[Answer]:
    """Ask all the nodes at once, to lift a refusal if one is named."""
    path = f'{PATH}/{lift}' if lift else PATH
    method = 'DELETE' if lift else 'GET'
    calls = [
        fetch_page(RefusedPage, address, path, method=method)
        for address in addresses
    ]
    return await gather(*calls)


def format_page(page: RefusedPage) -> str:
    """Return what a node knows, for people."""
    refused = sum(request.refused for request in page.requests)
    followed = len(page.requests)
    rows = list(map(format_request, page.requests))
    return '\n'.join(
        (
            f'{page.node}: {refused} refused of {followed} followed',
            format_table(HEAD, rows),
        ),
    )


def format_request(request: RefusedRequest) -> list[str]:
    """Return the cells of a request."""
    wait = '-'
    if request.refused:
        wait = 'never' if request.wait is None else f'{request.wait:.0f}s'
    return [
        request.fingerprint,
        'yes' if request.refused else 'no',
        str(request.ends),
        ' '.join(request.nodes),
        f'{request.last:.1f}s ago',
        wait,
    ]
