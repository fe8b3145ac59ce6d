"""Events that the journal counts."""

# Tests are untyped.
# mypy: disable-error-code="no-untyped-call"

from hillfield.events import EventCode, ListJournal, Occurrence
from hillfield.metrics import NodeMetrics
from hillfield.node.journal import CountingJournal


def test_refusals_for_exhausted_bytes_are_counted_by_reason():
    metrics = NodeMetrics()
    kept = ListJournal()
    journal = CountingJournal(kept, metrics)
    journal.record(Occurrence(EventCode.BYTES_EXHAUSTED, detail='no room'))
    counted = b''.join(metrics.render())
    assert b'hillfield_refusals_total{reason="no room"} 1.0' in counted
    assert len(kept.occurrences) == 1
