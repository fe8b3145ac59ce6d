"""Pause a node's process, and let it go on whatever happens."""

import os
import signal
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager

from hillfield.experiments.sizing.rigs import Rig


@contextmanager
def pause_node(rig: Rig, name: str) -> Iterator[None]:
    """Stop a node by SIGSTOP; the rig counts it as absent meanwhile."""
    pid = rig.pids[name]
    with ExitStack() as stack:
        stack.callback(_go_on, rig, name, pid)
        os.kill(pid, signal.SIGSTOP)
        rig.pids.pop(name)
        yield


def _go_on(rig: Rig, name: str, pid: int) -> None:
    os.kill(pid, signal.SIGCONT)
    rig.pids[name] = pid
