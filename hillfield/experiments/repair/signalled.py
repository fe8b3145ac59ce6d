"""Processes that can be frozen, killed and told to break their links."""

import signal
import subprocess  # noqa: S404  # fixed arguments, no shell
import sys
from contextlib import suppress
from pathlib import Path
from typing import Final

from hillfield.experiments.processes import Processes, Program

SWITCHABLE: Final = 'hillfield.experiments.repair.switchable'
NODE: Final = 'node'


class Signalled(Processes):
    """Start processes that signals reach; `far` makes links switchable.

    It names, for each node, the link addresses that are cut off at a word.
    """

    def __init__(
        self,
        folder: Path,
        far: dict[str, tuple[str, ...]] | None = None,
    ) -> None:
        """Keep each process's output in `folder`/<name>.log."""
        super().__init__(folder)
        self._far = far or {}
        self._frozen: set[str] = set()

    def start(self, program: Program) -> int:
        """Start a program and return its process id."""
        far = self._far.get(program.name)
        if far is None or program.arguments[0] != NODE:
            return super().start(program)
        settings = program.arguments[-1]
        command = (sys.executable, '-m', SWITCHABLE, settings, *far)
        with self.find_log(program.name).open('ab') as log:
            process = subprocess.Popen(  # noqa: S603
                command,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._running[program.name] = process
        return process.pid

    def freeze(self, name: str) -> None:
        """Stop a process where it stands, as a suspended machine does."""
        self._frozen.add(name)
        self._running[name].send_signal(signal.SIGSTOP)

    def wake(self, name: str) -> None:
        """Let a frozen process go on."""
        self._frozen.discard(name)
        self._running[name].send_signal(signal.SIGCONT)

    def wake_all(self) -> None:
        """Let all go on, so that they can be ended."""
        for name in tuple(self._frozen):
            self.wake(name)

    def cut_links(self, name: str) -> None:
        """Drop what this node sends to those far away."""
        self._running[name].send_signal(signal.SIGUSR1)

    def heal_links(self, name: str) -> None:
        """Drop nothing any more."""
        with suppress(KeyError):
            self._running[name].send_signal(signal.SIGUSR2)
