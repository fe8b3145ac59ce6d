"""Remember which requests a target has answered of late; pure."""

from collections import OrderedDict
from typing import Final

# Seconds for which an answer speaks for a request. Common ones are answered
# somewhere more often than this, so one of them that runs on many targets at
# the moment when a failure domain loses power is never refused for long. A
# release that no longer bears a request has it refused this much later.
REMEMBERED: Final = 5.0
# Requests that are remembered, the latest ones: what a target of four slots
# answers in this time, at 20 milliseconds each.
KEPT: Final = 1024


class ServedRequests:
    """Keep the fingerprints of what was answered well.

    >>> served = ServedRequests()
    >>> served.note(10.0, b'x')
    >>> served.knows(14.0, b'x'), served.knows(16.0, b'x')
    (True, False)
    """

    def __init__(self) -> None:
        """Start without any."""
        self._moments: OrderedDict[bytes, float] = OrderedDict()

    def note(self, now: float, fingerprint: bytes) -> None:
        """Note a good answer; `now` is in monotonic seconds."""
        self._moments[fingerprint] = now
        self._moments.move_to_end(fingerprint)
        if len(self._moments) > KEPT:
            self._moments.popitem(last=False)

    def knows(self, now: float, fingerprint: bytes) -> bool:
        """Tell whether a request was answered a short while ago."""
        moment = self._moments.get(fingerprint)
        return moment is not None and now - moment <= REMEMBERED
