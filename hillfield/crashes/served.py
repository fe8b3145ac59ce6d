"""Remember which requests a target has answered recently; pure."""

from collections import OrderedDict, deque
from typing import Final

from hillfield.crashes.proof import ANSWER_MEMORY_SECONDS

# Requests remembered, the latest ones: what a target of four slots answers in
# this time, at 20 milliseconds each.
MAXIMUM_REQUESTS: Final = 1024
# Answers remembered of one request: as many as exits are kept of it.
MAXIMUM_ANSWERS: Final = 16


class ServedRequests:
    """Keep the fingerprints of requests that were answered well.

    >>> served = ServedRequests()
    >>> served.record(10.0, b'x')
    >>> served.list_answers(14.0, b'x'), served.list_answers(16.0, b'x')
    ((10.0,), ())
    """

    def __init__(self) -> None:
        """Start without requests."""
        self._moments: OrderedDict[bytes, deque[float]] = OrderedDict()

    def record(self, now: float, fingerprint: bytes) -> None:
        """Record a good answer; `now` is in monotonic seconds."""
        moments = self._moments.get(fingerprint)
        if moments is None:
            moments = deque(maxlen=MAXIMUM_ANSWERS)
            self._moments[fingerprint] = moments
        moments.append(now)
        self._moments.move_to_end(fingerprint)
        if len(self._moments) > MAXIMUM_REQUESTS:
            self._moments.popitem(last=False)

    def list_answers(self, now: float, fingerprint: bytes) -> tuple[float, ...]:
        """Return the moments at which a request was answered recently."""
        moments = self._moments.get(fingerprint, ())
        return tuple(
            moment
            for moment in moments
            if now - moment <= ANSWER_MEMORY_SECONDS
        )
