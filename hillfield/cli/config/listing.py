"""Show what stands in the store, and how it came there."""

from msgspec.json import encode
from typer import echo

from hillfield.cli.config.endings import leave_for
from hillfield.cli.config.reasons import describe_moment
from hillfield.cli.exits import ExitCode, leave
from hillfield.cli.tables import format_table
from hillfield.configuration.editing import Editor
from hillfield.configuration.editing.goals import Part
from hillfield.configuration.editing.history import list_changes
from hillfield.configuration.editing.snapshots import DecodedSnapshot
from hillfield.configuration.storage.stored import Stamp

HEAD = ('revision', 'at', 'author', 'change', 'what', 'note')


async def load_standing(editor: Editor) -> DecodedSnapshot:
    """Return what stands in the store, or leave."""
    standing = await editor.load()
    if standing.is_error():
        leave_for(standing.error)
    return standing.ok


async def list_history(editor: Editor) -> tuple[Stamp, ...]:
    """Return the changes that the history keeps, or leave."""
    changes = await editor.load_history()
    if changes.is_error():
        leave_for(changes.error)
    return list_changes(changes.ok)


def select_parts(
    standing: DecodedSnapshot, names: list[str]
) -> tuple[Part, ...]:
    """Return the parts of these names (all without names), or leave."""
    templates = standing.templates()
    parts: list[tuple[str, Part]] = sorted(templates.items())
    parts.extend((account.name, account) for account in standing.accounts())
    if not names:
        return tuple(part for _, part in parts)
    missing = set(names) - {name for name, _ in parts}
    if missing:
        listed = ', '.join(sorted(missing))
        leave(
            ExitCode.REFUSED,
            f'no template or client account is named {listed}',
        )
    return tuple(part for name, part in parts if name in names)


def print_history(changes: tuple[Stamp, ...], json: bool) -> None:
    """Print changes as JSON or as a table."""
    if json:
        echo(encode(changes))
        return
    rows = [
        [
            str(stamp.revision),
            describe_moment(stamp.at),
            stamp.author,
            stamp.change,
            ', '.join(stamp.names),
            stamp.note,
        ]
        for stamp in changes
    ]
    echo(format_table(HEAD, rows))
