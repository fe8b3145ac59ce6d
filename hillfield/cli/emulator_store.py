"""The command that serves the store stand-in."""

import asyncio
import signal
from typing import Annotated

import typer

from hillfield.cli.options import read_option
from hillfield.emulator.store_control import ControlListener
from hillfield.emulator.store_server import StoreServer
from hillfield.model import Address, parse_address

Listen = Annotated[
    str,
    typer.Option(help="Address of the store's calls; port 0 takes a free one."),
]
Control = Annotated[
    str,
    typer.Option(help='Address for faults and counts; port 0: a free one.'),
]


def store(
    listen: Listen = '127.0.0.1:0',
    control: Control = '127.0.0.1:0',
) -> None:
    """Serve as the platform's store until SIGTERM, in memory only.

    It prints two lines: its address and its control address. There,
    PUT /faults sets faults, POST /expire ends all leases, GET /calls tells
    who asked what.
    """
    places = (
        read_option('--listen', parse_address(listen)),
        read_option('--control', parse_address(control)),
    )
    asyncio.run(serve(*places))


async def serve(listen: Address, control: Address) -> None:
    """Serve until told to stop."""
    ended = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ended.set)
    server = StoreServer(listen)
    listener = ControlListener(server, control)
    typer.echo(server.start())
    typer.echo(listener.start())
    await ended.wait()
    await listener.stop()
    await server.stop()
