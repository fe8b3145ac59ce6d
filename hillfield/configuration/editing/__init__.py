"""Changes of the configuration in the store, by compare-and-swap.

Apart from the surface of `hillfield.configuration`, which nodes import: they
never edit, and a node that starts soon serves soon.
"""

from hillfield.configuration.editing.editor import Authorship, Editor
from hillfield.configuration.editing.outcomes import Applied, EditFailure

__all__ = ('Applied', 'Authorship', 'EditFailure', 'Editor')
