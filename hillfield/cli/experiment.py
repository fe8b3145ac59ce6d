"""Command that runs experiments."""

from pathlib import Path
from typing import Annotated, Final

import typer

from hillfield.experiments import (
    Options,
    conduct,
    draw_report,
    encode_report,
    show_report,
)
from hillfield.experiments.catalogue import make_registry

UNKNOWN: Final = 2


def run_experiment(
    name: Annotated[
        str,
        typer.Argument(help='Which one; leave it out to list them.'),
    ] = '',
    json: Annotated[bool, typer.Option('--json', help='Print JSON.')] = False,
    quick: Annotated[
        bool,
        typer.Option('--quick', help='Shorter and less precise.'),
    ] = False,
    seed: Annotated[int, typer.Option(help='Seed of all draws.')] = 1,
    plots: Annotated[
        Path | None,
        typer.Option(help='Folder to draw charts into; none are drawn else.'),
    ] = None,
) -> None:
    """Measure on loopback; exit 0 when all bounds held, 1 when not."""
    registry = make_registry()
    if not name:
        for known in registry.list_all():
            typer.echo(f'{known.name}: {known.description}')
        return
    found = registry.find(name)
    if found.is_error():
        typer.echo(found.error, err=True)
        raise typer.Exit(UNKNOWN)
    report = conduct(found.ok, Options(seed, quick))
    if plots:
        report = draw_report(report, plots)
    typer.echo(encode_report(report) if json else show_report(report))
    raise typer.Exit(int(not report.held))
