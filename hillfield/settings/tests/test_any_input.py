"""No text raises: settings are read, or refused by field and fix."""

from pathlib import Path

from hypothesis import given, settings
from hypothesis import strategies as st

from hillfield.settings.reader import parse_settings

HERE = Path('/no/such/folder')
NAMES = st.sampled_from(
    [
        'name',
        'cluster',
        'cluster_key',
        'cluster_key_file',
        'stores',
        'seeds',
        'drain_bound',
        'listen',
        'listen.links',
        'locality.region',
        'limits.connections',
        'log.format',
        'announcements.own_ips',
        'other',
    ],
)
TEXTS = st.sampled_from(
    [
        '1',
        '-1',
        '1e400',
        'nan',
        'true',
        '""',
        r'"\u0000"',
        '"127.0.0.1:1"',
        '[]',
        '[[]]',
        '["::1"]',
        '[1, "x"]',
        '{}',
        '{links = 1}',
        '1979-05-27',
        '07:32:00',
        '99999999999999999999',
    ],
)
LINES = st.dictionaries(NAMES, TEXTS, max_size=8)


@settings(derandomize=True, max_examples=150, deadline=None)
@given(LINES)
def test_any_table(lines):
    text = '\n'.join(map(' = '.join, lines.items()))
    problems = parse_settings(text, HERE).error
    assert problems
    assert all(each.field and each.found and each.fix for each in problems)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.text(max_size=40))
def test_any_text(text):
    assert parse_settings(text, HERE).is_error()
