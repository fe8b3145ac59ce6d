"""Bounds, filters and log limits of the time line."""

import os
from itertools import count, repeat
from typing import Any

from msgspec.json import decode
from msgspec.structs import replace

from hillfield.events import (
    EventCode,
    Occurrence,
    SilentLogger,
    StructuredLogger,
    Timeline,
    TimelineFilter,
)
from hillfield.events.streams import LineStream
from hillfield.settings import (
    LogFormat,
    LogLevel,
    LogSettings,
    TimelineSettings,
)
from hillfield.settings.examples import make_example

SETTINGS = replace(
    make_example(),
    timeline=TimelineSettings(events=10, lines_per_second=3),
)
STARTED = Occurrence(EventCode.NODE_STARTED)
ANNOUNCED = Occurrence(
    EventCode.TARGET_ANNOUNCED,
    service='search',
    target='search@127.0.0.1:80#1',
    request='r1',
)


def make_timeline() -> Timeline:
    return Timeline(SETTINGS, count(1000).__next__, SilentLogger())


def write_lines(log: LogSettings, *occurrences: Occurrence) -> list[str]:
    reader, writer = os.pipe()
    logger = StructuredLogger(replace(SETTINGS, log=log), LineStream(writer))
    timeline = Timeline(SETTINGS, count(1000, 100).__next__, logger)
    for occurrence in occurrences:
        timeline.record(occurrence)
    os.close(writer)
    with open(reader, encoding='utf-8') as lines:
        return lines.read().splitlines()


def test_a_flood_does_not_displace_rare_events():
    timeline = make_timeline()
    timeline.record(STARTED)
    for _ in range(100):
        timeline.record(ANNOUNCED)
    kept = timeline.select()
    assert len(kept) == timeline.count == 10
    assert kept[0].code == EventCode.NODE_STARTED


def test_selects_by_each_field():
    timeline = make_timeline()
    timeline.record(STARTED)
    timeline.record(ANNOUNCED)
    for fields in (
        {'service': 'search'},
        {'target': '127.0.0.1:80'},
        {'request': 'r1'},
        {'since': 1001},
    ):
        wanted: Any = TimelineFilter(**fields)
        assert [entry.service for entry in timeline.select(wanted)] == [
            'search'
        ]
    assert len(timeline.select(TimelineFilter(until=1000))) == 1
    assert not timeline.select(TimelineFilter(service='claims'))


def test_messages_order_events_of_two_nodes():
    fast = Timeline(SETTINGS, lambda: 9000, SilentLogger())
    slow = Timeline(SETTINGS, lambda: 1000, SilentLogger())
    slow.merge(fast.stamp())
    slow.record(STARTED)
    assert slow.select()[0].stamp.physical == 9000


def test_writes_json_lines_with_suppressed_count():
    lines = write_lines(LogSettings(), *repeat(ANNOUNCED, 11))
    assert len(lines) == 4
    first = decode(lines[0])
    assert first['event'] == 'TARGET_ANNOUNCED'
    assert (first['code'], first['level'], first['node']) == (
        7001,
        'info',
        'n1',
    )
    assert decode(lines[-1])['suppressed'] == 7


def test_writes_console_lines_from_the_least_severity():
    log = LogSettings(LogFormat.CONSOLE, LogLevel.WARNING)
    expired = replace(ANNOUNCED, code=EventCode.TARGET_EXPIRED)
    lines = write_lines(log, STARTED, expired)
    assert len(lines) == 1
    assert 'TARGET_EXPIRED' in lines[0]


def test_texts_chosen_by_callers_are_cut():
    timeline = Timeline(SETTINGS, logger=SilentLogger())
    long = 'x' * 32768
    timeline.record(replace(STARTED, detail=long, peer=long, account=long))
    entry = timeline.select()[0]
    kept = (entry.detail, entry.peer, entry.account)
    assert {len(text) for text in kept} == {1000}
    assert entry.detail.endswith('x...')
