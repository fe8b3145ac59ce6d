"""Find out which nodes have the newest configuration in force."""

from asyncio import gather
from typing import Final

from expression import Error, Ok, Result
from msgspec import Struct

from hillfield.cli.config.reasons import describe_moment, explain
from hillfield.cli.nodes import NodeCallError, fetch_page
from hillfield.cli.tables import format_table
from hillfield.configuration.editing import Editor
from hillfield.configuration.editing.history import list_changes
from hillfield.configuration.storage.stored import Stamp
from hillfield.control.pages import ConfigurationPage
from hillfield.model import Address

NodeAnswer = Result[ConfigurationPage, NodeCallError]
HEAD: Final = ('node', 'revision', 'state', 'seconds')
UNKNOWN: Final = Stamp(change='', author='', at=0, note='', names=())


class NodeStatus(Struct, frozen=True):
    """Show one node; `seconds` from accepted to in force there.

    `seconds` compares the clocks of two machines, and is None when the node
    lags or the store's history doesn't tell when it was accepted.
    """

    address: str
    node: str = ''
    revision: int = 0
    is_newest: bool = False
    seconds: float | None = None
    error: str = ''


class FleetStatus(Struct, frozen=True):
    """Show the nodes against the newest accepted change.

    `cluster` is empty when the store was not asked.
    """

    newest: int
    change: Stamp
    store_error: str
    nodes: tuple[NodeStatus, ...]
    cluster: str = ''

    @property
    def is_in_force(self) -> bool:
        """Say whether all the nodes have the newest change."""
        return all(node.is_newest for node in self.nodes)


async def read_status(
    addresses: tuple[Address, ...],
    editor: Editor | None = None,
) -> FleetStatus:
    """Ask the store, if one is given, and all the nodes at once."""
    answers = await gather(
        *(
            fetch_page(ConfigurationPage, address, '/v1/configuration')
            for address in addresses
        ),
    )
    history = None if editor is None else await read_newest(editor)
    change = UNKNOWN
    store_error = ''
    if history is not None and history.is_ok():
        change = history.ok
    elif history is not None:
        store_error = str(history.error)
    newest = max(change.revision, *map(_take_revision, answers), 0)
    nodes = tuple(
        judge_node(address, answer, newest, change)
        for address, answer in zip(addresses, answers, strict=True)
    )
    cluster = '' if editor is None else editor.keys.cluster
    return FleetStatus(newest, change, store_error, nodes, cluster)


async def read_newest(editor: Editor) -> Result[Stamp, str]:
    """Return the newest change that the store's history holds."""
    history = await editor.load_history()
    if history.is_error():
        return Error('; '.join(explain(history.error)[:1]))
    return Ok(next(iter(list_changes(history.ok)), UNKNOWN))


def judge_node(
    address: Address,
    answer: NodeAnswer,
    newest: int,
    change: Stamp,
) -> NodeStatus:
    """Compare a node's answer with the newest change."""
    if answer.is_error():
        return NodeStatus(str(address), error=str(answer.error))
    page = answer.ok
    seconds = None
    if change.revision == newest == page.revision:
        seconds = max(page.adopted_at - change.at, 0)
    return NodeStatus(
        str(address),
        page.node,
        page.revision,
        page.revision >= newest,
        seconds,
    )


def describe_status(status: FleetStatus) -> tuple[str, ...]:
    """Return the lines shown to people."""
    lines = [f'newest: revision {status.newest}']
    change = status.change
    if change.change:
        at = describe_moment(change.at)
        lines.append(f'change {change.change} by {change.author} at {at}')
    elif status.cluster and not status.store_error:
        lines.append(
            f'the store holds no change of cluster {status.cluster}:'
            ' look whether --cluster names the one of these nodes',
        )
    if status.store_error:
        lines.append(f'the store does not answer: {status.store_error}')
        lines.append(
            'newest is what the nodes hold; all that was accepted before'
            ' stays in force, and changes wait until the store is back',
        )
    if status.nodes:
        rows = [_format_node(node) for node in status.nodes]
        lines.append(format_table(HEAD, rows))
    lines.extend(node.error for node in status.nodes if node.error)
    return tuple(lines)


def _format_node(node: NodeStatus) -> list[str]:
    if node.error:
        return [node.node or node.address, '-', 'no answer', '-']
    state = 'in force' if node.is_newest else 'lags'
    took = '-' if node.seconds is None else format(node.seconds, '.2f')
    return [node.node, str(node.revision), state, took]


def _take_revision(answer: NodeAnswer) -> int:
    return 0 if answer.is_error() else answer.ok.revision
