"""Options that the configuration commands share."""

from asyncio import run
from collections.abc import Callable, Coroutine
from contextlib import closing
from getpass import getuser
from pathlib import Path
from typing import Annotated, Any, Final, TypeVar

from typer import Argument, Option

from hillfield.cli.exits import ExitCode, leave
from hillfield.cli.options import read_option
from hillfield.configuration.editing import Editor
from hillfield.model import parse_address
from hillfield.settings.node import check_cluster
from hillfield.store.ports import OpenStore
from hillfield.store.store_settings import StoreSettings
from hillfield.store.opening import open_store as open_gateway

DEFAULT_CLUSTER: Final = 'hillfield'
Ending = TypeVar('Ending')
Source = Annotated[
    Path,
    Argument(metavar='PATH', help='TOML file, or directory of some.'),
]
StoreAddresses = Annotated[
    list[str],
    Option(
        '--store',
        envvar='HILLFIELD_STORE',
        help='Address of the store, ip:port; repeatable.',
    ),
]
Cluster = Annotated[
    str,
    Option(envvar='HILLFIELD_CLUSTER', help="The cluster's name."),
]
Author = Annotated[
    str,
    Option(
        envvar='HILLFIELD_AUTHOR',
        help='Who makes the change; the user by default.',
    ),
]
Note = Annotated[str, Option(help='Why; kept in the history.')]
Over = Annotated[
    int | None,
    Option(
        metavar='REVISION',
        min=0,
        help='Replace changes up to this revision knowingly.',
    ),
]


def open_store(addresses: list[str]) -> OpenStore:
    """Return the store at the addresses, or leave with what is wrong."""
    parsed = [
        read_option('--store', parse_address(address)) for address in addresses
    ]
    settings = StoreSettings(
        tuple(parsed),
        client='hillfield config',
        read_tries=len(parsed),
    )
    return open_gateway(settings)


def use_editor(
    addresses: list[str],
    cluster: str,
    use: Callable[[Editor], Coroutine[Any, Any, Ending]],
) -> Ending:
    """Run what is to be done with an editor over the store."""
    named = read_option('--cluster', check_cluster(cluster))
    return run(_use_editor(addresses, named, use))


async def _use_editor(
    addresses: list[str],
    cluster: str,
    use: Callable[[Editor], Coroutine[Any, Any, Ending]],
) -> Ending:
    # The store's client belongs to the loop that it is made on.
    with closing(open_store(addresses)) as store:
        return await use(Editor(store, cluster))


def find_author(author: str) -> str:
    """Return the given author or the user of the system, or leave."""
    if author:
        return author
    try:
        return getuser()
    except (KeyError, OSError):
        # A container may run under a number that has no name.
        leave(ExitCode.USAGE, '--author: say who makes the change')
