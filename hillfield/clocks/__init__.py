"""The clocks by which nodes decide and date."""

from hillfield.clocks.clocks import monotonic, read_wall

__all__ = ('monotonic', 'read_wall')
