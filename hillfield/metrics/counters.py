"""Counters that keep their children by label values."""

from prometheus_client import CollectorRegistry, Counter


class BoundCounter:
    """Count by labels; a known child is found by one dictionary lookup.

    `labels()` of the library acquires a lock and checks its arguments on each
    call, which costs more than counting itself.
    """

    def __init__(
        self,
        registry: CollectorRegistry,
        name: str,
        help_text: str,
        *labels: str,
    ) -> None:
        """Register the counter under this name."""
        self._counter = Counter(name, help_text, labels, registry=registry)
        self._children: dict[tuple[str, ...], Counter] = {}

    def count(self, labels: tuple[str, ...], amount: float = 1) -> None:
        """Add `amount` to the child with these label values."""
        child = self._children.get(labels)
        if child is None:
            child = self._counter.labels(*labels)
            self._children[labels] = child
        child.inc(amount)
