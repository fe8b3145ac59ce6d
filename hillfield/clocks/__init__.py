"""The clocks for durations and for dates."""

from hillfield.clocks.clocks import TOLERATED, monotonic, read_wall

__all__ = ('TOLERATED', 'monotonic', 'read_wall')
