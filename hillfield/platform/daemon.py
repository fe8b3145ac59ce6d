"""The process of a host on the platform."""

import os
import sys
from functools import partial
from pathlib import Path
from typing import Final

from hillfield.node.daemon import run_until_signal
from hillfield.platform.boot import SETTINGS_VARIABLE, read_boot
from hillfield.platform.fittings import make_node

FAILED_START: Final = 1


def run() -> int:
    """Run a node until SIGTERM; return the process's exit code."""
    read = read_boot(Path(os.environ.get(SETTINGS_VARIABLE, '')))
    if read.is_error():
        return _report(read.error)
    failed = run_until_signal(partial(make_node, read.ok))
    return 0 if failed is None else _report(str(failed))


def _report(reason: str) -> int:
    sys.stderr.write(f'{reason}\n')
    return FAILED_START
