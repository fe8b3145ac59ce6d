"""Run a mesh until a condition holds, and count the bytes received."""

from collections import deque
from collections.abc import Callable
from typing import Final

from hillfield.fleet.mesh import TICK, Mesh

WINDOW: Final = 3.0
WAIT_LIMIT: Final = 180.0


def wait_until(mesh: Mesh, done: Callable[[Mesh], bool]) -> float:
    """Run the mesh until `done` returns true; return the seconds it took."""
    began = mesh.now
    while not done(mesh) and mesh.now - began < WAIT_LIMIT:
        mesh.run(TICK)
    return mesh.now - began


def have_all_members(mesh: Mesh) -> bool:
    """Return whether each node has exactly the present nodes as members."""
    counts = {
        len(state.core.state_table.alive) for state in mesh.states.values()
    }
    return counts == {len(mesh.states)}


def count_received_bytes(mesh: Mesh, seconds: float) -> int:
    """Run the mesh; return the bytes that all nodes received."""
    before = mesh.delivered_bytes
    mesh.run(seconds)
    return mesh.delivered_bytes - before


def find_busiest_window(samples: list[int]) -> int:
    """Return the largest sum of samples within one window."""
    rolling: deque[int] = deque(maxlen=round(WINDOW / TICK))
    most = 0
    for sample in samples:
        rolling.append(sample)
        most = max(most, sum(rolling))
    return most
