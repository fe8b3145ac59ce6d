"""Grant repeats at this node, and count what was granted and refused."""

from typing import Final

from hillfield.clocks import monotonic
from hillfield.metrics import NodeMetrics
from hillfield.repeats import LocalUse, RepeatKind

# What a repeat is counted as.
GRANTED: Final = 'granted'
REFUSED: Final = 'refused'


class CountedTokens:
    """Implement `RepeatTokens` by what this node may use."""

    def __init__(self, local: LocalUse, metrics: NodeMetrics) -> None:
        """Grant what `local` allows."""
        self._local = local
        self._metrics = metrics

    def can_take(self, service: str, kind: RepeatKind) -> bool:
        """Tell whether a repeat is allowed now."""
        return self._local.can_take(monotonic(), service, kind)

    def take(self, service: str, kind: RepeatKind) -> bool:
        """Take a repeat, if it is allowed."""
        taken = self._local.take(monotonic(), service, kind)
        answer = GRANTED if taken else REFUSED
        self._metrics.repeats.count((service, kind, answer))
        return taken
