"""Run the process of a host: `python -m hillfield.platform`."""

import gc
import sys

# What start-up makes is kept: collecting meanwhile would only cost time.
gc.disable()

from hillfield.bundle.finding import BUILT, install_bundle  # noqa: E402

if __name__ == '__main__':
    install_bundle(BUILT)
    from hillfield.platform.daemon import run

    gc.enable()
    sys.exit(run())
