"""The calls that a target makes while it runs requests; pure.

A target makes its calls as any client of its host does. Where the id of a call
extends that of the run that made it, as a trace's do, the run is known. Until a
host has seen such an id, requests without a key, where callers have keys, are
taken for calls and counted by the share of its runs that are repeats.
"""

from collections.abc import Sequence
from typing import Final

from msgspec import Struct

from hillfield.routing.records import AttemptRecord

WHOLE_CALL: Final[float] = 1
# Seconds for which a route counts as calling a service.
CALLED_SECONDS: Final = 60.0


class FailedCalls:
    """Record when requests that began on this host last failed, by service.

    A target makes its calls through the node of its host, as clients on that
    host do, and the node can't tell the two apart. A call that failed while
    the target worked on a request is taken for the cause of that request's
    error.

    >>> calls = FailedCalls()
    >>> calls.record(10.0, 'fees')
    >>> calls.explains_failure(9.5, 'refunds'), calls.explains_failure(10.5, 'refunds')
    (True, False)
    >>> calls.explains_failure(9.5, 'fees')
    False
    """

    def __init__(self) -> None:
        """Start without failures."""
        self._last_failures: dict[str, float] = {}

    def record(self, now: float, service: str) -> None:
        """Record that a request to a service has failed."""
        self._last_failures[service] = now

    def explains_failure(self, since: float, service: str) -> bool:
        """Return whether a request to any other service has failed since."""
        return any(
            failed >= since
            for failed_service, failed in self._last_failures.items()
            if failed_service != service
        )


class Call(Struct, frozen=True):
    """Hold the id of a request that began on this host, and its service.

    `keyless` says that callers have keys and this request came without.
    """

    request: str
    service: str
    keyless: bool = False


class CallParents:
    """Find the runs that made calls."""

    def __init__(self) -> None:
        """Start without calls."""
        self._ids_extend = False
        self._uncounted: float = 0
        self._called: dict[str, dict[str, float]] = {}

    def record_call(
        self,
        now: float,
        call: Call,
        running: Sequence[AttemptRecord],
    ) -> bool:
        """Record a call; return whether it counts as made by a repeat."""
        parent = _find_parent(call.request, running)
        if parent is not None:
            self._ids_extend = True
            self._record_service(now, call, parent)
            return _is_repeat(parent)
        if self._ids_extend or not (call.keyless and running):
            return False
        for attempt in running:
            self._record_service(now, call, attempt)
        self._uncounted += sum(map(_is_repeat, running)) / len(running)
        if self._uncounted < WHOLE_CALL:
            return False
        self._uncounted -= WHOLE_CALL
        return True

    def list_called(self, now: float, route: str) -> tuple[str, ...]:
        """Return the services that runs of a route have called lately."""
        called = self._called.get(route, {})
        return tuple(
            service
            for service, moment in called.items()
            if now - moment < CALLED_SECONDS
        )

    def _record_service(
        self, now: float, call: Call, attempt: AttemptRecord
    ) -> None:
        route = attempt.record.arrival.plan.route
        self._called.setdefault(route, {})[call.service] = now


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
