"""Commands that remove a template or a client account."""

from operator import methodcaller

from typer import Typer

from hillfield.cli.config.endings import report_edit
from hillfield.cli.config.options import (
    DEFAULT_CLUSTER,
    Author,
    Cluster,
    Note,
    StoreAddresses,
    find_author,
    use_editor,
)
from hillfield.cli.options import Json
from hillfield.configuration.editing import Authorship

removal = Typer(no_args_is_help=True, help='Remove a part by its name.')


@removal.command('account')
def remove_account(
    name: str,
    store: StoreAddresses,
    cluster: Cluster = DEFAULT_CLUSTER,
    author: Author = '',
    note: Note = '',
    json: Json = False,
) -> None:
    """Remove a client account. Exit codes are those of `apply`."""
    authorship = Authorship(find_author(author), note)
    edit = methodcaller('remove_account', name, authorship)
    idle = f'nothing to remove: no client account is named {name}'
    report_edit(use_editor(store, cluster, edit), json, idle)


@removal.command('template')
def remove_template(
    name: str,
    store: StoreAddresses,
    cluster: Cluster = DEFAULT_CLUSTER,
    author: Author = '',
    note: Note = '',
    json: Json = False,
) -> None:
    """Remove a template that no client account uses any more.

    Exit codes are those of `apply`.
    """
    authorship = Authorship(find_author(author), note)
    edit = methodcaller('remove_template', name, authorship)
    idle = f'nothing to remove: no service {name} has a template'
    report_edit(use_editor(store, cluster, edit), json, idle)
