"""Write a node's bundle: `python -m hillfield.bundle FILE`."""

import sys
from importlib import import_module
from pathlib import Path

from hillfield.bundle.writing import write_bundle

if __name__ == '__main__':
    import_module('hillfield.platform.daemon')
    sys.stdout.write(f'{write_bundle(Path(sys.argv[1]))} modules\n')
