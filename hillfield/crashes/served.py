"""Remember which requests a target has answered recently; pure."""

from collections import OrderedDict
from typing import Final

# Seconds for which an answer is evidence that a request is harmless. Common
# requests are answered somewhere more often than this, so none that runs on
# many targets when a failure domain loses power is refused for long. A release
# that no longer handles a request has it refused this much later.
MEMORY_SECONDS: Final = 5.0
# Requests remembered, the latest ones: what a target of four slots answers in
# this time, at 20 milliseconds each.
MAXIMUM_REQUESTS: Final = 1024


class ServedRequests:
    """Keep the fingerprints of requests that were answered well.

    >>> served = ServedRequests()
    >>> served.record(10.0, b'x')
    >>> served.was_answered(14.0, b'x'), served.was_answered(16.0, b'x')
    (True, False)
    """

    def __init__(self) -> None:
        """Start without requests."""
        self._moments: OrderedDict[bytes, float] = OrderedDict()

    def record(self, now: float, fingerprint: bytes) -> None:
        """Record a good answer; `now` is in monotonic seconds."""
        self._moments[fingerprint] = now
        self._moments.move_to_end(fingerprint)
        if len(self._moments) > MAXIMUM_REQUESTS:
            self._moments.popitem(last=False)

    def was_answered(self, now: float, fingerprint: bytes) -> bool:
        """Return whether a request was answered recently."""
        moment = self._moments.get(fingerprint)
        return moment is not None and now - moment <= MEMORY_SECONDS
