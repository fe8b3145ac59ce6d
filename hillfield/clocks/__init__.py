"""The clocks by which nodes decide and date."""

from hillfield.clocks.clocks import TOLERATED, monotonic, read_wall

__all__ = ('TOLERATED', 'monotonic', 'read_wall')
