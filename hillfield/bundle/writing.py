"""Write the bundle of all modules that are loaded now."""

import marshal
import os
import sys
from collections.abc import Iterator
from importlib.machinery import SourceFileLoader
from importlib.util import MAGIC_NUMBER
from pathlib import Path

from hillfield.bundle.finding import Row, read_stamp

# Modules whose sources may change without a new build.
OWN = 'hillfield'


def write_bundle(path: Path) -> int:
    """Write the loaded modules that have sources; return how many."""
    rows = dict(_list_rows())
    path.parent.mkdir(parents=True, exist_ok=True)
    fresh = path.with_suffix('.new')
    fresh.write_bytes(marshal.dumps((MAGIC_NUMBER, rows)))
    # A node that starts meanwhile reads the old one or the new one, whole.
    os.replace(fresh, path)
    return len(rows)


def make_row(loader: SourceFileLoader, name: str) -> Row:
    """Return what a bundle holds of one module."""
    origin = os.path.abspath(loader.get_filename(name))
    code = marshal.dumps(loader.get_code(name))
    own = name.partition('.')[0] == OWN
    stamp = read_stamp(origin) if own else None
    return loader.is_package(name), origin, stamp, code


def _list_rows() -> Iterator[tuple[str, Row]]:
    for name, module in tuple(sys.modules.items()):
        spec = getattr(module, '__spec__', None)
        loader = getattr(spec, 'loader', None)
        if name != '__main__' and isinstance(loader, SourceFileLoader):
            if getattr(spec, 'name', name) == name:
                yield name, make_row(loader, name)
