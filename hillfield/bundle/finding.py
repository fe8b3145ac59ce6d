"""Find modules in a bundle; only what the interpreter has loaded is imported.

A node imports 700 modules. Each is a search, several calls to the system and a
small read; on a small host these are a third of the time from power to the
first request.
"""

import marshal
import os
import sys
from importlib.machinery import ModuleSpec, SourceFileLoader
from importlib.util import MAGIC_NUMBER, spec_from_file_location
from types import CodeType

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
# Where a build puts the modules of a node, beside the sources.
BUILT = os.path.join(ROOT, 'target', 'node.bundle')
# Time and size of a source.
Stamp = tuple[int, int]
# Of a module: whether it is a package, its source, the stamp that the source
# must still have (None: any), and the marshalled code.
Row = tuple[bool, str, Stamp | None, bytes]
Rows = dict[str, Row]


# What is raised for a file that is missing or that `marshal` did not write.
UNREADABLE = (OSError, EOFError, TypeError, ValueError)


class BundledLoader(SourceFileLoader):
    """Load a module whose code is at hand; all else is asked of its source."""

    def __init__(self, name: str, path: str, code: bytes) -> None:
        """Take the marshalled code."""
        super().__init__(name, path)
        self._code = code

    def get_code(  # noqa: WPS615 the interpreter's own name
        self,
        fullname: str,
    ) -> CodeType | None:
        """Return the module's code; it is kept no longer."""
        code = self._code
        if not code:
            return super().get_code(fullname)
        self._code = b''
        loaded: CodeType = marshal.loads(code)
        return loaded


class BundleFinder:
    """Hand out the modules of a bundle; one whose source changed is left."""

    def __init__(self, rows: Rows) -> None:
        """Take what a bundle holds."""
        self._rows = rows

    def find_spec(
        self,
        name: str,
        path: object = None,
        target: object = None,
    ) -> ModuleSpec | None:
        """Return how a module is loaded; None: it isn't here."""
        row = self._rows.pop(name, None)
        if row is None:
            return None
        package, origin, stamp, code = row
        if stamp is not None and stamp != read_stamp(origin):
            return None
        return spec_from_file_location(
            name,
            origin,
            loader=BundledLoader(name, origin, code),
            submodule_search_locations=(
                [os.path.dirname(origin)] if package else None
            ),
        )


def install_bundle(path: str) -> bool:
    """Find modules in this bundle first; False: there is none that fits."""
    try:
        with open(path, 'rb') as bundle:
            held = marshal.load(bundle)
    except UNREADABLE:
        return False
    if held[0] != MAGIC_NUMBER:
        return False
    sys.meta_path.insert(0, BundleFinder(held[1]))
    return True


def read_stamp(path: str) -> Stamp | None:
    """Return the time and size of a source; None: there is none."""
    try:
        found = os.stat(path)
    except OSError:
        return None
    return found.st_mtime_ns, found.st_size
