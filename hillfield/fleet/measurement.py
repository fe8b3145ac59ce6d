"""Measure the cost of the fleet's state at one node, by the size of the fleet.

Times are medians of repeats on this machine; compare them within one run.
"""

import time
import tracemalloc
from collections.abc import Callable
from statistics import median
from typing import Final

from msgspec import Struct

from hillfield.configuration.entries import Entry
from hillfield.fleet.effects import Ticked
from hillfield.fleet.envelope import Codec, Received
from hillfield.fleet.messages import (
    Entries,
    Hashes,
    Heartbeat,
    Message,
    StateUpdates,
    Versions,
)
from hillfield.fleet.replication.summary import BUCKETS
from hillfield.fleet.state import FleetState
from hillfield.fleet.synthetic_fleet import (
    load_state,
    make_member_update,
    make_node_settings,
    receive_from_peer,
)

SIZES: Final = (75, 150, 300, 600)
TARGETS_A_NODE: Final = 13
REPEATS: Final = 30
MICRO: Final = 1e6
ENTRY_SIZE: Final = 4096
STEP_SECONDS: Final = 0.2


class Cost(Struct, frozen=True):
    """Hold the cost of one message: bytes on the wire and processor time."""

    sealed_bytes: int
    microseconds: float


class FleetCosts(Struct, frozen=True):
    """Hold the costs at one node of a fleet of `nodes` nodes.

    Times include decoding the message and all work of the state that follows;
    `tick` is one of ten a second; memory is in bytes, by tracemalloc.
    """

    nodes: int
    targets: int
    heartbeat: Cost
    record_change: Cost
    entry: Cost
    hashes: Cost
    versions: Cost
    tick: float
    memory: int


def measure_costs(nodes: int, targets: int = TARGETS_A_NODE) -> FleetCosts:
    """Measure a state with this number of nodes."""
    memory = measure_memory(nodes, targets)
    state = load_state(nodes, targets)
    state_table = state.core.state_table
    entry = Entry('/key', 1, bytes(ENTRY_SIZE))
    return FleetCosts(
        nodes=nodes,
        targets=(nodes - 1) * targets,
        heartbeat=_cost(
            state,
            lambda _: Heartbeat(state_table.summary.total, 0, ready=True),
        ),
        record_change=_cost(state, _changes(state, nodes)),
        entry=_cost(
            state,
            lambda number: Entries((Entry(entry.key, number, entry.payload),)),
        ),
        hashes=_cost(state, lambda _: Hashes(0, (0,) * BUCKETS, 1)),
        versions=_cost(
            state,
            lambda number: Versions(
                0,
                number % BUCKETS,
                state_table.summary.versions(number % BUCKETS),
            ),
        ),
        tick=_measure_tick(state),
        memory=memory,
    )


def measure_memory(nodes: int, targets: int) -> int:
    """Return the bytes of memory that a loaded state uses."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    state = load_state(nodes, targets)
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return after - before if state.core.state_table else 0


def _changes(state: FleetState, nodes: int) -> Callable[[int], Message]:
    """Return changes of the graph, so that reachable nodes are recomputed."""

    def change(number: int) -> Message:  # noqa: WPS430 -- binds two arguments
        span = nodes - number % 2
        return StateUpdates(
            (make_member_update(state.core.codec, 2, span, number + 1),),
        )

    return change


def _cost(state: FleetState, make: Callable[[int], Message]) -> Cost:
    sender = Codec(make_node_settings(1))
    opener = Codec(state.core.settings)
    seconds = []
    length = 0
    for number in range(1, REPEATS + 1):
        sealed = sender.seal(make(number), 1)
        length = max(length, len(sealed))
        now = state.core.times.ticked + STEP_SECONDS
        began = time.perf_counter()
        state.handle_event(now, opener.open(sealed).ok)
        seconds.append(time.perf_counter() - began)
        _keep_alive(state, now)
    return Cost(length, median(seconds) * MICRO)


def _keep_alive(state: FleetState, now: float) -> None:
    """Keep the neighbour reachable and the tick on time, outside the timing."""
    beat = Heartbeat(state.core.state_table.summary.total, 0, ready=True)
    state.handle_event(now, receive_from_peer(beat))
    state.handle_event(now, Ticked())


def _measure_tick(state: FleetState) -> float:
    seconds = []
    for _ in range(REPEATS):
        now = state.core.times.ticked + STEP_SECONDS / 2
        state.handle_event(
            now,
            Received(
                make_node_settings(1).name, 1, Heartbeat(0, 0, ready=True)
            ),
        )
        began = time.perf_counter()
        state.handle_event(now, Ticked())
        seconds.append(time.perf_counter() - began)
    return sum(seconds) / len(seconds) * MICRO
