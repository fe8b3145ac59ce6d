"""Run the process of a host: `python -m hillfield.platform`."""

import sys

from hillfield.platform.daemon import run

if __name__ == '__main__':
    sys.exit(run())
