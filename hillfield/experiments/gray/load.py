"""The process that sends a load: `python -m` with a load in TOML."""

import asyncio
import sys
from pathlib import Path

import uvloop

from hillfield.cli.emulator_settings import parse_load
from hillfield.emulator import Caller, CallerSettings


async def _run(settings: CallerSettings) -> None:
    # The client belongs to the loop that runs when it is made.
    await Caller(settings).run()


def main() -> None:
    """Read the load and send it."""
    settings = parse_load(Path(sys.argv[1]).read_text('utf-8')).ok
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(_run(settings))


if __name__ == '__main__':
    main()
