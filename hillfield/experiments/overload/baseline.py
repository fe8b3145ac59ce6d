"""A node that decides as the plain baseline does, to measure against.

Only experiments start it: `python -m` with a settings file. No setting of an
operator leads here.
"""

import asyncio
import sys
from pathlib import Path
from random import Random

import uvloop

from hillfield.detection.baseline import BaselineDetector
from hillfield.node.direct import serve
from hillfield.routing import DispatcherTable
from hillfield.routing.baseline import BaselineDispatcher
from hillfield.settings.reader import read_settings


def run(path: Path) -> None:
    """Run the node until SIGTERM."""
    settings = read_settings(path).ok
    table = DispatcherTable(
        settings.locality,
        BaselineDetector,
        Random(),
        BaselineDispatcher,
    )
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        failed = runner.run(serve(settings, table))
    if failed is not None:
        sys.exit(str(failed))


if __name__ == '__main__':
    run(Path(sys.argv[1]))
