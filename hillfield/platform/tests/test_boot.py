"""What a node learns of its memory."""

# Tests are untyped.
# mypy: disable-error-code="no-untyped-call"

import json
from types import MappingProxyType

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


def read_memory(tmp_path, limits):
    place = tmp_path / 'boot.json'
    place.write_text(json.dumps({**SETTINGS, 'limits': limits}))
    return read_boot(place).ok.memory


def test_memory_is_told_in_megabytes(tmp_path):
    assert read_memory(tmp_path, {'memoryMb': 200}) == 200_000_000


def test_memory_that_is_not_told_is_not_bounded(tmp_path):
    assert read_memory(tmp_path, {'maxFds': 4100}) is None
