"""Tell which calls of a target were made by runs that are repeats; pure.

A target makes its calls as any client of its host does. Where the id of a call
extends that of the run that made it, as a trace's do, the run is known. Until a
host has seen such an id, its calls are counted by the share of its runs that
are repeats.
"""

from collections.abc import Sequence
from typing import Final

from hillfield.routing.records import AttemptRecord

WHOLE_CALL: Final[float] = 1


class CallParents:
    """Find the runs that made calls."""

    def __init__(self) -> None:
        """Start without calls."""
        self._ids_extend = False
        self._uncounted: float = 0

    def is_called_by_repeat(
        self, call: str, running: Sequence[AttemptRecord]
    ) -> bool:
        """Return whether the call of this id counts as made by a repeat."""
        parent = _find_parent(call, running)
        if parent is not None:
            self._ids_extend = True
            return _is_repeat(parent)
        if self._ids_extend or not running:
            return False
        self._uncounted += sum(map(_is_repeat, running)) / len(running)
        if self._uncounted < WHOLE_CALL:
            return False
        self._uncounted -= WHOLE_CALL
        return True


def _find_parent(
    call: str, running: Sequence[AttemptRecord]
) -> AttemptRecord | None:
    """Return the run with the longest id that the call's extends."""
    extended = [
        attempt
        for attempt in running
        if attempt.record.arrival.request != call
        and call.startswith(attempt.record.arrival.request)
    ]
    return max(extended, key=_measure_id, default=None)


def _measure_id(attempt: AttemptRecord) -> int:
    return len(attempt.record.arrival.request)


def _is_repeat(attempt: AttemptRecord) -> bool:
    return attempt.record.arrival.plan.repeat is not None
