"""Each command on the configuration but removals."""

from asyncio import run
from functools import partial
from operator import methodcaller
from typing import Annotated

from msgspec.json import encode
from typer import Argument, Exit, Option, Typer, echo

from hillfield.cli.config.endings import report_edit
from hillfield.cli.config.listing import (
    list_history,
    load_standing,
    print_history,
    select_parts,
)
from hillfield.cli.config.options import (
    DEFAULT_CLUSTER,
    Author,
    Cluster,
    Note,
    Over,
    Source,
    StoreAddresses,
    find_author,
    use_editor,
)
from hillfield.cli.config.problems import load_files, report_problems
from hillfield.cli.config.removal import removal
from hillfield.cli.config.status import describe_status, read_status
from hillfield.cli.exits import ExitCode
from hillfield.cli.options import Json, Nodes, read_nodes
from hillfield.configuration.editing import Authorship
from hillfield.configuration.documents.rendering import render_document
from hillfield.configuration.editing.consistency import check_configuration
from hillfield.configuration.editing.differences import find_differences
from hillfield.configuration.schema.credentials import generate_secret
from hillfield.configuration.storage.keys import Keys

commands = Typer(
    no_args_is_help=True,
    add_completion=False,
    help='Check and change templates and client accounts.',
)
commands.add_typer(removal, name='remove')


@commands.command()
def check(source: Source, json: Json = False) -> None:
    """Check files without the store.

    Exit 0 when they are good, 1 when refused.
    """
    configuration = load_files(source, json)
    problems = check_configuration(Keys(DEFAULT_CLUSTER), configuration)
    report_problems(problems, json)


@commands.command()
def apply(  # noqa: WPS211 typer makes one option of each argument
    source: Source,
    store: StoreAddresses,
    cluster: Cluster = DEFAULT_CLUSTER,
    author: Author = '',
    note: Note = '',
    over: Over = None,
    json: Json = False,
) -> None:
    """Make all that the files name stand in the store.

    What they don't name stays. It may be repeated after any failure. Exit 0
    when accepted, 1 when refused, 2 for wrong options, 3 when another
    operator changed the same part, 4 when the store can't be reached, 5
    when an answer was lost and whether it was accepted is unknown.
    """
    configuration = load_files(source, json)
    authorship = Authorship(find_author(author), note, over)
    edit = methodcaller('apply', configuration, authorship)
    report_edit(use_editor(store, cluster, edit), json)


@commands.command()
def show(
    store: StoreAddresses,
    name: Annotated[
        list[str] | None,
        Argument(help='Services and accounts; all when none is named.'),
    ] = None,
    cluster: Cluster = DEFAULT_CLUSTER,
    json: Json = False,
) -> None:
    """Print parts as they stand, as TOML that `apply` takes.

    Exit 0, or 1 when there is no part of a name, 4 without the store.
    """
    standing = use_editor(store, cluster, load_standing)
    parts = select_parts(standing, name or [])
    if json:
        echo(encode(parts))
    else:
        echo(render_document(parts, standing.revision), nl=False)


@commands.command()
def diff(
    source: Source,
    store: StoreAddresses,
    cluster: Cluster = DEFAULT_CLUSTER,
    json: Json = False,
) -> None:
    """Print what `apply` would change.

    Exit 0 also when there are differences, 1 when the files are refused, 4
    without the store.
    """
    configuration = load_files(source, json)
    standing = use_editor(store, cluster, load_standing)
    keys = Keys(cluster)
    differences = list(find_differences(keys, configuration, standing))
    if json:
        echo(encode(differences))
        return
    for difference in differences:
        echo('\n'.join(difference.lines('store', 'files')))


@commands.command()
def history(
    store: StoreAddresses,
    cluster: Cluster = DEFAULT_CLUSTER,
    limit: Annotated[int, Option(help='Show so many changes.', min=1)] = 20,
    json: Json = False,
) -> None:
    """Print the latest changes, newest first. Exit 4 without the store."""
    changes = use_editor(store, cluster, list_history)
    print_history(changes[:limit], json)


@commands.command()
def status(
    node: Nodes,
    store: Annotated[
        list[str] | None,
        Option(envvar='HILLFIELD_STORE', help='Address of the store.'),
    ] = None,
    cluster: Cluster = DEFAULT_CLUSTER,
    json: Json = False,
) -> None:
    """Show which nodes have the newest change in force, and since when.

    Exit 0 when all asked nodes have it, 1 when one lags or doesn't answer,
    4 when the store can't be reached.
    """
    nodes = read_nodes(node)
    if store:
        fleet = use_editor(store, cluster, partial(read_status, nodes))
    else:
        fleet = run(read_status(nodes))
    if json:
        echo(encode(fleet))
    else:
        echo('\n'.join(describe_status(fleet)))
    if fleet.store_error:
        raise Exit(ExitCode.UNREACHABLE)
    if not fleet.is_in_force:
        raise Exit(ExitCode.REFUSED)


@commands.command()
def secret(json: Json = False) -> None:
    """Draw a secret for a client account; only its hash is configured."""
    drawn = generate_secret()
    if json:
        echo(encode(drawn))
    else:
        echo(f'secret: {drawn.plain}\nhash: {drawn.hash}')
