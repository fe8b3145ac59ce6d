"""Child processes of a measurement."""

import subprocess  # noqa: S404  # fixed arguments, no shell
import sys
from asyncio import get_running_loop
from resource import RUSAGE_SELF, getrusage
from types import TracebackType
from typing import Final, Self

import msgspec

_END_TIMEOUT: Final = 10.0


class Usage(msgspec.Struct, frozen=True):
    """Resource usage of a process: processor seconds and peak kilobytes."""

    processor: float
    memory: int


def read_usage() -> Usage:
    """Return what this process has used so far."""
    used = getrusage(RUSAGE_SELF)
    return Usage(used.ru_utime + used.ru_stime, used.ru_maxrss)


async def serve_until_eof(port: int) -> None:
    """Print the port, then the usage for each input line, until input ends."""
    loop = get_running_loop()
    _print_line(str(port))
    while await loop.run_in_executor(None, sys.stdin.readline):
        _print_line(msgspec.json.encode(read_usage()).decode())


def _print_line(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


class MeasurementProcess:
    """Process of a measurement; leaving the context ends it."""

    def __init__(self, role: str, *arguments: str) -> None:
        """Start the process."""
        self._process = subprocess.Popen(  # noqa: S603
            (
                sys.executable,
                '-m',
                'hillfield.proxy.measurement',
                role,
                *arguments,
            ),
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )

    def __enter__(self) -> Self:
        """Return itself."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Close the process's input; kill it if it doesn't exit in time."""
        if self._process.stdin is not None:
            self._process.stdin.close()
        try:
            self._process.wait(_END_TIMEOUT)
        except subprocess.TimeoutExpired:
            self._process.kill()
            self._process.wait()

    def read_line(self) -> str:
        """Return the next line that the process writes."""
        if self._process.stdout is None:
            return ''
        return self._process.stdout.readline().strip()

    def ask_usage(self) -> Usage:
        """Return what the process has used so far."""
        if self._process.stdin is not None:
            self._process.stdin.write('\n')
            self._process.stdin.flush()
        return msgspec.json.decode(self.read_line(), type=Usage)
