"""Command that runs a node."""

from pathlib import Path
from typing import Annotated

from typer import Option

from hillfield.cli.exits import ExitCode, leave
from hillfield.node.direct import run_node
from hillfield.settings.reader import read_settings


def start_node(
    settings: Annotated[
        Path,
        Option(help="The node's settings, in TOML.", dir_okay=False),
    ],
) -> None:
    """Run this host's node until SIGTERM; nothing in flight is cut off.

    Exit codes: 0 after a graceful shutdown, 1 when an address can't be had,
    2 when the settings are wrong.
    """
    checked = read_settings(settings)
    if checked.is_error():
        leave(ExitCode.USAGE, *map(str, checked.error))
    failed = run_node(checked.ok)
    if failed is not None:
        leave(
            ExitCode.REFUSED,
            f'{failed.step} at {failed.peer}: {failed.detail}',
        )
