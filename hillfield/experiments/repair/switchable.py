"""A node whose links to named peers break and heal at signals.

Only the experiment starts it: `python -m` with a settings file and the link
addresses to cut at SIGUSR1; SIGUSR2 heals them.
"""

import asyncio
import signal
import sys
from pathlib import Path

import uvloop

from hillfield.link import LinkFaults
from hillfield.model import Address, parse_address
from hillfield.node.direct import DirectNode
from hillfield.settings import NodeSettings
from hillfield.settings.reader import read_settings


def run(arguments: list[str]) -> None:
    """Run the node until SIGTERM."""
    settings = read_settings(Path(arguments[0])).ok
    far = tuple(parse_address(text).ok for text in arguments[1:])
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(_serve(settings, far))


async def _serve(settings: NodeSettings, far: tuple[Address, ...]) -> None:
    # Clients of the node belong to the loop that runs when it is built.
    node = DirectNode(settings)
    ended = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, ended.set)
    started = await node.start()
    if started.is_error():
        sys.exit(str(started.error))
    faults = node.fleet.links.faults
    loop.add_signal_handler(signal.SIGUSR1, _cut, faults, far)
    loop.add_signal_handler(signal.SIGUSR2, faults.heal)
    await ended.wait()
    await node.stop()


def _cut(faults: LinkFaults, far: tuple[Address, ...]) -> None:
    for peer in far:
        faults.cut(peer)


if __name__ == '__main__':
    run(sys.argv[1:])
