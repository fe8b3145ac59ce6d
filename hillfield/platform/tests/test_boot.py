"""What a node learns of its memory and of the bound on repeats."""

# Tests are untyped.
# mypy: disable-error-code="no-untyped-call"

import json
from math import inf
from types import MappingProxyType

from hillfield.model import RepeatBound
from hillfield.platform.boot import read_boot

SETTINGS = MappingProxyType(
    {
        'node': 'h1',
        'ip': '10.0.0.1',
        'zone': 'a',
        'region': 'north',
        'listen': {
            'outbound': '10.0.0.1:7001',
            'ready': '10.0.0.1:7002',
            'control': '10.0.0.1:7003',
        },
        'internalPorts': [7100, 7200],
        'platform': {'address': '10.0.0.9:2379'},
    }
)


def read(tmp_path, **changed):
    place = tmp_path / 'boot.json'
    place.write_text(json.dumps({**SETTINGS, **changed}))
    return read_boot(place).ok


def read_memory(tmp_path, limits):
    return read(tmp_path, limits=limits).memory


def test_memory_is_told_in_megabytes(tmp_path):
    assert read_memory(tmp_path, {'memoryMb': 200}) == 200_000_000


def test_memory_that_is_not_told_is_not_bounded(tmp_path):
    assert read_memory(tmp_path, {'maxFds': 4100}) is None


def test_the_bound_on_repeats_is_read_whole(tmp_path):
    bounds = ['retryBudgetRatio=0.3', 'retryBudgetSlack=56', 'retryWindowS=5']
    assert read(tmp_path, bounds=bounds).repeats == RepeatBound(0.3, 56, 5)


def test_without_a_slack_repeats_are_not_bounded_over_the_fleet(tmp_path):
    assert read(tmp_path).repeats.slack == inf
