"""Event loop and signal handling of a node's process."""

import asyncio
import signal
from collections.abc import Callable

import uvloop

from hillfield.node.node import Node, NodeError


def run_until_signal(make: Callable[[], Node]) -> NodeError | None:
    """Run the node that `make` returns in a new loop, until a signal."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(_make_and_serve(make))


async def serve_node(node: Node) -> NodeError | None:
    """Start a node, wait for a signal, and stop it gracefully."""
    ended = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ended.set)
    # Settings are read only at the start; SIGHUP must not end the process.
    loop.add_signal_handler(signal.SIGHUP, _ignore_signal)
    started = await node.start()
    if started.is_error():
        return started.error
    await ended.wait()
    await node.stop()
    return None


async def _make_and_serve(make: Callable[[], Node]) -> NodeError | None:
    return await serve_node(make())


def _ignore_signal() -> None:
    """Ignore the signal; settings are not reloaded."""
