"""Malformed announcements are refused with field, value and fix."""

from collections.abc import Mapping
from types import MappingProxyType

import pytest
from msgspec.json import encode

from hillfield.announcements import read_announcement

GOOD: Mapping[str, object] = MappingProxyType(
    {
        'service': 'settlement',
        'address': '127.0.0.1:8081',
        'slots': 4,
        'connection_limit': 300,
        'weight': 1,
        'state': 'ready',
        'load': None,
        'incarnation': 5,
    }
)


def test_parses_a_valid_announcement():
    announcement = read_announcement(encode({**GOOD})).ok
    assert announcement.connection_limit == 300
    assert announcement.load is None


@pytest.mark.parametrize(
    ('field', 'found'),
    [
        ('service', ''),
        ('service', '../x'),
        ('service', 'search\n'),
        ('service', 5),
        ('address', 'localhost:1'),
        ('address', '127.0.0.1'),
        ('address', '127.0.0.1:{0}'.format('9' * 5000)),
        ('address', {'ip': '127.0.0.1', 'port': 1}),
        ('slots', 0),
        ('slots', -1),
        ('slots', 1.5),
        ('slots', '4'),
        ('slots', True),
        ('slots', 10**30),
        ('connection_limit', 0),
        ('weight', 0),
        ('weight', 'NaN'),
        ('state', 'READY'),
        ('state', ['ready']),
        ('load', -0.1),
        ('load', 'high'),
        ('incarnation', 0),
        ('incarnation', 2**63),
        ('region', ''),
        ('colour', 'red'),
    ],
)
def test_names_the_invalid_field(field, found):
    problems = read_announcement(encode({**GOOD, field: found})).error
    assert [problem.field for problem in problems] == [field]
    assert all(problem.found and problem.fix for problem in problems)


def test_bounds_the_number_of_reported_fields():
    wrong = {f'field{number}': 1 for number in range(2000)}
    assert len(read_announcement(encode(wrong)).error) == 16


@pytest.mark.parametrize('field', ['service', 'address', 'slots'])
def test_names_a_missing_field(field):
    rest = {name: GOOD[name] for name in GOOD if name != field}
    assert read_announcement(encode(rest)).error[0].field == field


@pytest.mark.parametrize(
    'body',
    [
        b'',
        b'{',
        b'[]',
        b'null',
        b'"x"',
        b'\xff',
        b'[' * 5000,
        b'{"slots": NaN}',
    ],
)
def test_reports_an_invalid_body(body):
    assert read_announcement(body).error[0].field == 'body'
