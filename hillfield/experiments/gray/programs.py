"""The processes of a ground: nodes of either kind, and loads."""

import sys
from typing import Final

from hillfield.experiments.processes import Processes, Program

BASELINE: Final = 'hillfield.experiments.overload.baseline'
LOAD: Final = 'hillfield.experiments.gray.load'
LOAD_COMMAND: Final = 'load'


class NodeProcesses(Processes):
    """Start nodes as they are, and loads."""

    def make_command(self, program: Program) -> tuple[str, ...]:
        """Return the command; loads are modules of their own."""
        if program.arguments[0] == LOAD_COMMAND:
            return (sys.executable, '-m', LOAD, program.arguments[-1])
        return super().make_command(program)


class BaselineProcesses(NodeProcesses):
    """Start nodes that decide as the plain baseline does."""

    def make_command(self, program: Program) -> tuple[str, ...]:
        """Return the command, another one for nodes."""
        if program.arguments[0] == 'node':
            return (sys.executable, '-m', BASELINE, program.arguments[-1])
        return super().make_command(program)
