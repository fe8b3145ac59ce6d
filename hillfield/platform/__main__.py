"""Run the process of a host: `python -m hillfield.platform`."""

import gc
import sys

# What start-up makes is kept: collecting meanwhile would only cost time.
gc.disable()

from hillfield.platform.daemon import run  # noqa: E402

if __name__ == '__main__':
    gc.enable()
    sys.exit(run())
