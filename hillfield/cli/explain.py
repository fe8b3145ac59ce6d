"""The command that explains why targets receive work or none."""

from asyncio import gather, run
from typing import Annotated, Final
from urllib.parse import quote

from expression import Result
from typer import Argument

from hillfield.cli.answers import print_answers
from hillfield.cli.nodes import NodeCallError, fetch_page
from hillfield.cli.options import Json, Nodes, read_nodes
from hillfield.cli.tables import format_table
from hillfield.control.pages import ServicePage, TargetReport
from hillfield.model import Address

HEAD: Final = (
    'target',
    'state',
    'since',
    'rotation',
    'share',
    'in flight',
    'latency',
    'takes',
    'evidence',
)

Answer = Result[ServicePage, NodeCallError]


def explain_service(
    service: Annotated[str, Argument(metavar='SERVICE')],
    node: Nodes,
    json: Json = False,
) -> None:
    """Explain why each target of a service receives work or none.

    Each node decides by what it sees, so each given one is shown. Exit 0
    when each answered, 1 when one doesn't know the service, 2 for wrong
    options, 4 when one is out of reach.
    """
    answers = run(fetch_all(read_nodes(node), service))
    print_answers(answers, format_page, json=json)


async def fetch_all(
    addresses: tuple[Address, ...],
    service: str,
) -> list[Answer]:
    """Ask all the nodes at once."""
    path = '/v1/explain/{0}'.format(quote(service, safe=''))
    calls = [fetch_page(ServicePage, address, path) for address in addresses]
    return await gather(*calls)


def format_page(page: ServicePage) -> str:
    """Return a node's explanation for people."""
    slots = f'{page.rotation_slots} of {page.slots} slots in rotation'
    floor = 'floor {0:.0%}'.format(page.floor)
    queued = f'{page.queued} requests queued'
    place = f'{page.service} at {page.node}'
    counts = ', '.join((slots, floor, queued))
    rows = [format_report(report) for report in page.targets]
    return '\n'.join(
        (
            f'{place}: {counts}',
            format_table(HEAD, rows),
        ),
    )


def format_report(report: TargetReport) -> list[str]:
    """Return the cells of a target."""
    rotation = 'in' if report.in_rotation else 'out'
    if report.floor_held:
        rotation = 'in (floor)'
    return [
        report.target,
        report.state,
        f'{report.since:.1f}s',
        rotation,
        f'{report.share:.2f}',
        f'{report.in_flight}/{report.limit}',
        f'{report.latency:.3f}s',
        'all' if report.rate is None else f'{report.rate:.1f}/s',
        report.evidence or report.symptom,
    ]
