"""Processes of a trial: started here, ended by their id, always."""

import subprocess  # noqa: S404  # fixed arguments, no shell
import sys
import time
from pathlib import Path
from types import TracebackType
from typing import Final, Self

from msgspec import Struct

KILL_AFTER: Final = 15.0
END_POLL: Final = 0.02
LOG_TAIL: Final = 2000


class Program(Struct, frozen=True):
    """Name a hillfield command to run as a process."""

    name: str
    arguments: tuple[str, ...]


class Processes:
    """Start hillfield processes; leaving the context ends all of them."""

    def __init__(self, folder: Path) -> None:
        """Keep each process's output in `folder`/<name>.log."""
        self._folder = folder
        self._running: dict[str, subprocess.Popen[bytes]] = {}

    def __enter__(self) -> Self:
        """Return itself."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """End what still runs: politely at first, by force after a while."""
        for process in self._running.values():
            process.terminate()
        for process in self._running.values():
            _end(process)

    def start(self, program: Program) -> int:
        """Start a program and return its process id."""
        with self.find_log(program.name).open('ab') as log:
            process = subprocess.Popen(  # noqa: S603
                self.make_command(program),
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._running[program.name] = process
        return process.pid

    def make_command(self, program: Program) -> tuple[str, ...]:
        """Return the command line of a program."""
        return (sys.executable, '-m', 'hillfield', *program.arguments)

    def terminate(self, name: str) -> None:
        """Ask a process to end; `has_ended` tells when it did."""
        self._running[name].terminate()

    def kill(self, name: str) -> None:
        """End a process by force, as a crash does."""
        self._running[name].kill()
        self._running[name].wait()

    def has_ended(self, name: str) -> bool:
        """Tell whether a process has ended."""
        return self._running[name].poll() is not None

    def find_log(self, name: str) -> Path:
        """Return where a process's output lies."""
        return self._folder / f'{name}.log'

    def read_tail(self, name: str) -> str:
        """Return the end of a process's output."""
        text = self.find_log(name).read_text('utf-8', 'replace')
        return text[-LOG_TAIL:]


def _end(process: 'subprocess.Popen[bytes]') -> None:
    deadline = time.monotonic() + KILL_AFTER
    while process.poll() is None:
        if time.monotonic() > deadline:
            process.kill()
            process.wait()
            return
        time.sleep(END_POLL)
