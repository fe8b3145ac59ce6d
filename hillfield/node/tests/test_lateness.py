"""Detection of pauses of a node's loop, and their effect on targets."""

import asyncio
import time

from hillfield.announcements import Announcement
from hillfield.clocks import monotonic, read_wall
from hillfield.events import EventCode, ListJournal, TimelineFilter
from hillfield.metrics import NodeMetrics
from hillfield.model import Address
from hillfield.node.lateness import LoopWatch
from hillfield.node.tests.test_node import make_node

TARGET = Announcement('gateway', Address('127.0.0.1', 8081), 4)


def read_late(metrics):
    return metrics.registry.get_sample_value(
        'hillfield_loop_late_seconds_total',
    )


def test_a_late_loop_is_recorded_with_its_processor_time():
    # Requests whose answers were not read yet were judged hung, and no log line
    # showed the pause.
    journal = ListJournal()
    metrics = NodeMetrics()
    watch = LoopWatch(journal, metrics)
    reported = list[float]()
    watch.listeners.append(lambda now, late: reported.append(late))
    for now in (5, 5.1, 5.2, 6.3, 6.4):
        watch.check(now)
    assert [round(late, 3) for late in reported] == [1]
    assert round(read_late(metrics), 3) == 1
    codes = [occurrence.code for occurrence in journal.occurrences]
    assert codes == [EventCode.LOOP_LATE]
    assert journal.occurrences[0].detail.startswith('1.00 s late, 0.0')


def test_a_target_does_not_expire_while_its_node_reads_nothing():
    # During a pause heartbeats stayed unread, the target expired, and callers were
    # refused for lack of a target.
    async def run_scenario():
        node = make_node()
        expiry = node.parts.settings.announcements.expiry
        await node.start()
        registry = node.parts.registry
        registry.announce(monotonic(), read_wall(), TARGET)
        await asyncio.sleep(0.2)
        time.sleep(expiry)
        await asyncio.sleep(0.2)
        kept = registry.targets(monotonic())
        late = has_event(node, EventCode.LOOP_LATE)
        await asyncio.sleep(expiry)
        left = registry.targets(monotonic())
        await node.stop()
        return kept, late, left

    kept, late, left = asyncio.run(run_scenario())
    assert kept
    assert late
    assert not left


def has_event(node, code):
    entries = node.parts.timeline.select(TimelineFilter())
    return any(entry.code == code for entry in entries)
