"""How the nodes of a scenario run: on its loop, or as processes."""

from contextlib import ExitStack
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Protocol

from hillfield.demo.layout import HostPlan
from hillfield.demo.waiting import wait_until
from hillfield.experiments.processes import Program
from hillfield.experiments.repair.signalled import Signalled
from hillfield.node.direct import DirectNode
from hillfield.node.node import Node
from hillfield.settings.reader import parse_settings

END_SECONDS = 40


class Hosting(Protocol):
    """Start and stop nodes; `names` are those that run."""

    names: set[str]

    async def start(self, host: HostPlan, text: str) -> None:
        """Start a node by its settings in TOML."""

    async def stop(self, name: str) -> None:
        """Stop a node gracefully."""

    def close(self) -> None:
        """Give back what the hosting itself holds."""


class InLoop:
    """Run nodes on the scenario's own loop: quick to start."""

    def __init__(self) -> None:
        """Start with no node."""
        self.names: set[str] = set()
        self._nodes: dict[str, Node] = {}

    async def start(self, host: HostPlan, text: str) -> None:
        """Start a node by its settings in TOML."""
        node = DirectNode(parse_settings(text, Path()).ok)
        started = await node.start()
        assert started.is_ok(), started
        self._nodes[host.name] = node
        self.names.add(host.name)

    async def stop(self, name: str) -> None:
        """Stop a node gracefully."""
        self.names.discard(name)
        await self._nodes.pop(name).stop()

    def close(self) -> None:
        """Hold nothing."""


class Apart:
    """Run each node as a process, which can crash and freeze."""

    def __init__(self) -> None:
        """Prepare a folder for settings and logs."""
        self.names: set[str] = set()
        self._stack = ExitStack()
        self._folder = Path(self._stack.enter_context(TemporaryDirectory()))
        self._processes = Signalled(self._folder)
        self._stack.enter_context(self._processes)

    async def start(self, host: HostPlan, text: str) -> None:
        """Start a node by its settings in TOML."""
        path = self._folder / f'{host.name}.toml'
        path.write_text(text, 'utf-8')
        arguments = ('node', '--settings', str(path))
        self._processes.start(Program(host.name, arguments))
        self.names.add(host.name)

    async def stop(self, name: str) -> None:
        """Stop a node gracefully."""
        self.names.discard(name)
        self._processes.terminate(name)

        async def has_ended() -> bool:
            return self._processes.has_ended(name)

        assert await wait_until(has_ended, END_SECONDS) is not None

    def crash(self, name: str) -> None:
        """End a node by force: it says goodbye to nobody."""
        self.names.discard(name)
        self._processes.kill(name)

    def freeze(self, name: str) -> None:
        """Stop a node where it stands; its connections stay open."""
        self.names.discard(name)
        self._processes.freeze(name)

    def wake(self, name: str) -> None:
        """Let a frozen node go on as if no time had passed."""
        self._processes.wake(name)
        self.names.add(name)

    def close(self) -> None:
        """End what is left, also what is frozen."""
        self._processes.wake_all()
        self._stack.close()
