"""Command that shows the whole path on one machine."""

import asyncio
import signal
from pathlib import Path
from typing import Annotated, Final

import typer

from hillfield.demo.report import encode_demo, show_demo
from hillfield.demo.story import play_demo
from hillfield.demo.traffic import read_example

EXAMPLES: Final = Path('examples')


def run_demo(
    examples: Annotated[
        Path,
        typer.Option(help="Folder with both users' configurations."),
    ] = EXAMPLES,
    json: Annotated[bool, typer.Option('--json', help='Print JSON.')] = False,
) -> None:
    """Start a small fleet, break it, and judge the seven promises.

    The exit code is 0 when all promises held and each scene went in time.
    """
    example = read_example(examples)
    if example.is_error():
        typer.echo(example.error, err=True)
        raise typer.Exit(2)
    # Being terminated unwinds like an interrupt, so that the nodes end too.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    report = asyncio.run(play_demo(example.ok))
    show = encode_demo if json else show_demo
    typer.echo(show(report))
    raise typer.Exit(int(not report.held))
