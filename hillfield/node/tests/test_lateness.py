"""What a node says of its own lateness."""

from hillfield.events import EventCode, ListJournal
from hillfield.metrics import NodeMetrics
from hillfield.node.lateness import LoopWatch


def read_late(metrics):
    return metrics.registry.get_sample_value(
        'hillfield_loop_late_seconds_total',
    )


def test_a_loop_that_is_late_says_so_and_how_much_of_it_was_work():
    # Answers that lay unread were taken for hung, and no log told it.
    journal = ListJournal()
    metrics = NodeMetrics()
    watch = LoopWatch(journal, metrics)
    told = list[float]()
    watch.listeners.append(told.append)
    for now in (5, 5.1, 5.2, 6.3, 6.4):
        watch.look(now)
    assert [round(late, 3) for late in told] == [1]
    assert round(read_late(metrics), 3) == 1
    codes = [occurrence.code for occurrence in journal.occurrences]
    assert codes == [EventCode.LOOP_LATE]
    assert journal.occurrences[0].detail.startswith('1.00 s late, 0.0')
