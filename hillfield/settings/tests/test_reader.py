"""Settings are read whole; each problem names field, value and fix."""

from pathlib import Path

import pytest

from hillfield.model import Address
from hillfield.settings.reader import parse_settings, read_settings

GOOD = """
name = 'n1'
cluster = 'kestrelmoor'
cluster_key = 'an-example-of-a-key'
stores = ['127.0.0.1:2379']
[locality]
region = 'north'
failure_domain = 'a'
host = 'h1'
[listen]
callers = '127.0.0.1:0'
control = '127.0.0.1:0'
links = '[::1]:0'
"""
HERE = Path()


def test_reads_good_settings():
    settings = parse_settings(GOOD, HERE).ok
    assert settings.name == 'n1'
    assert settings.listen.links == Address('::1', 0)
    assert settings.stores == (Address('127.0.0.1', 2379),)
    assert settings.limits.header_bytes == 32768
    assert 'an-example' not in repr(settings)


@pytest.mark.parametrize(
    ('old', 'new', 'field'),
    [
        ("name = 'n1'", "name = ''", 'name'),
        ("name = 'n1'", 'name = 3', 'name'),
        ("name = 'n1'", r'name = "n1\n"', 'name'),
        ("name = 'n1'", '', 'name'),
        ("name = 'n1'", "name = 'n1'\nnmae = 1", 'nmae'),
        ('an-example-of-a-key', 'short', 'cluster_key'),
        ("region = 'north'", "region = ''", 'locality.region'),
        ("region = 'north'", '', 'locality.region'),
        ("host = 'h1'", "host = 'h1'\nrack = 2", 'locality.rack'),
        ("callers = '127.0.0.1:0'", 'callers = 80', 'listen.callers'),
        ("callers = '127.0.0.1:0'", "callers = 'x:80'", 'listen.callers'),
        ("['127.0.0.1:2379']", '[]', 'stores'),
        ("['127.0.0.1:2379']", "'127.0.0.1:2379'", 'stores'),
        ("['127.0.0.1:2379']", "['127.0.0.1:99999']", 'stores[0]'),
        ("['127.0.0.1:2379']", '[[]]', 'stores[0]'),
        ('[listen]', "[log]\nformat = 'xml'\n[listen]", 'log.format'),
        (
            '[listen]',
            '[limits]\nconnections = 0\n[listen]',
            'limits.connections',
        ),
        (
            '[listen]',
            '[limits]\nidle_seconds = nan\n[listen]',
            'limits.idle_seconds',
        ),
        (
            '[listen]',
            '[limits]\nidle_seconds = inf\n[listen]',
            'limits.idle_seconds',
        ),
        (
            '[listen]',
            '[announcements]\nexpiry = 1\n[listen]',
            'announcements.expiry',
        ),
        (
            '[listen]',
            "[announcements]\nown_ips = ['x']\n[listen]",
            'announcements.own_ips',
        ),
        ("name = 'n1'", "name = 'n1'\nlimits = 3", 'limits'),
        (
            "name = 'n1'",
            "name = 'n1'\ncluster_key_file = 'k'",
            'cluster_key_file',
        ),
        (
            "cluster_key = 'an-example-of-a-key'",
            "cluster_key_file = '/no/such'",
            'cluster_key_file',
        ),
        ("name = 'n1'", 'name = ', 'file'),
    ],
)
def test_names_the_field_at_fault(old, new, field):
    assert old in GOOD
    problems = parse_settings(GOOD.replace(old, new), HERE).error
    assert [problem.field for problem in problems] == [field]
    assert all(problem.found and problem.fix for problem in problems)


def test_names_all_problems_at_once():
    text = "name = ''\nfoo = 1\n[listen]\ncallers = 1\n"
    fields = {problem.field for problem in parse_settings(text, HERE).error}
    assert {'name', 'foo', 'cluster', 'listen.callers', 'stores'} <= fields


def test_hides_a_bad_key():
    problem = parse_settings(
        GOOD.replace('an-example-of-a-key', 'hushed'), HERE
    ).error[0]
    assert 'hushed' not in str(problem)


def test_hides_a_key_under_a_misspelt_name():
    text = GOOD.replace('cluster_key', 'clusterkey')
    problems = parse_settings(text, HERE).error
    assert problems[0].field == 'clusterkey'
    assert 'an-example-of-a-key' not in str(problems)


@pytest.mark.parametrize(
    'text', ['name = {0}'.format('9' * 5000), 'a = {0}'.format('[' * 5000)]
)
def test_names_what_the_parser_can_not_bear(text):
    assert parse_settings(text, HERE).error[0].field == 'file'


def test_reads_key_from_a_file(tmp_path):
    (tmp_path / 'key').write_text('0123456789abcdef\n')
    path = tmp_path / 'node.toml'
    path.write_text(
        GOOD.replace(
            "cluster_key = 'an-example-of-a-key'", "cluster_key_file = 'key'"
        )
    )
    assert read_settings(path).ok.cluster_key == '0123456789abcdef'


def test_names_a_missing_file(tmp_path):
    problem = read_settings(tmp_path / 'none.toml').error[0]
    assert 'none.toml' in problem.found
