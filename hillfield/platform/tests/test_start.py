"""What the process of a host imports at its start."""

import subprocess
import sys

from pytest import mark

ENTRIES = (
    'hillfield.platform.daemon',
    'hillfield.fleet',
    'hillfield.gate',
    'hillfield.loadreports',
    'hillfield.routing',
)


@mark.parametrize('module', ENTRIES)
def test_each_package_can_be_imported_first(module):
    """Nodes ended at start by a circle that tests, importing all, hid."""
    done = subprocess.run(
        (sys.executable, '-c', f'import {module}'),
        capture_output=True,
        text=True,
        check=False,
    )
    assert done.returncode == 0, done.stderr
