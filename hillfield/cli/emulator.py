"""Commands that stand in for targets, callers and the store in trials."""

import asyncio
from pathlib import Path
from typing import Annotated, TypeVar

import msgspec
import typer
from expression import Result

from hillfield.cli.emulator_settings import (
    TargetGiven,
    build_target,
    parse_load,
)
from hillfield.cli.emulator_store import store
from hillfield.cli.exits import ExitCode, leave
from hillfield.emulator.caller import Caller
from hillfield.emulator.caller_settings import CallerSettings
from hillfield.emulator.records import Call
from hillfield.emulator.summary import sum_up
from hillfield.emulator.target_process import run_target

Given = TypeVar('Given')

commands = typer.Typer(
    help='Stand-ins for targets, callers and the store, for trials only.',
    no_args_is_help=True,
    add_completion=False,
)

Service = Annotated[str, typer.Option(help='Service that it serves.')]
Listen = Annotated[
    str,
    typer.Option(help='Address to listen on; port 0 takes a free one.'),
]
Control = Annotated[
    str,
    typer.Option(help="Control address of its host's node; empty: none."),
]
Slots = Annotated[int, typer.Option(help='Requests it runs at once.')]
Setting = Annotated[
    list[str] | None,
    typer.Option(
        '--set',
        help='NAME=VALUE, repeatable: connection_limit, weight, queue,'
        ' heartbeat, incarnation, seed, or of the time of service median,'
        ' sigma, cold, warm_up (seconds).',
    ),
]
Behaviour = Annotated[
    str,
    typer.Option(
        help='Behaviour at the start as JSON, such as \'{"slow": 5}\';'
        ' POST /behaviour on its address changes it later.',
    ),
]


@commands.command()
def target(
    service: Service,
    listen: Listen = '127.0.0.1:0',
    control: Control = '',
    slots: Slots = 4,
    setting: Setting = None,
    behaviour: Behaviour = '{}',
) -> None:
    """Serve as one target until SIGTERM, then drain and leave.

    It prints its address on the first line. GET /ran tells which requests
    ran, GET /health what it claims of itself.
    """
    given = TargetGiven(service, listen, control, slots, tuple(setting or ()))
    settings = _unwrap(build_target(given, behaviour))
    run_target(settings, typer.echo)


commands.command()(store)


@commands.command()
def caller(
    load: Annotated[
        Path,
        typer.Argument(help='Load in TOML: nodes, kinds, rate, seconds.'),
    ],
    json: Annotated[
        bool,
        typer.Option('--json', help='Print every request as JSON.'),
    ] = False,
) -> None:
    """Send an open-loop load and print how the requests ended.

    The exit code is 1 when an answer was not whole or not the caller's own.
    """
    settings = _unwrap(parse_load(_read(load)))
    calls = asyncio.run(_send_load(settings))
    summary = sum_up(calls)
    if json:
        typer.echo(msgspec.json.encode(calls).decode())
    else:
        typer.echo(summary.show())
    raise typer.Exit(int(summary.foreign > 0))


def _read(path: Path) -> str:
    try:
        return path.read_text('utf-8')
    except (OSError, UnicodeDecodeError) as error:
        leave(ExitCode.USAGE, f'{path}: {error}')


async def _send_load(settings: CallerSettings) -> tuple[Call, ...]:
    # A caller's client belongs to the loop in which it is made.
    return await Caller(settings).run()


def _unwrap(checked: Result[Given, str]) -> Given:
    if checked.is_error():
        leave(ExitCode.USAGE, checked.error)
    return checked.ok
