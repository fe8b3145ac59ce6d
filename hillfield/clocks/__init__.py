"""The clocks for durations and for dates."""

from hillfield.clocks.clocks import LATENESS_TOLERANCE, monotonic, read_wall

__all__ = ('LATENESS_TOLERANCE', 'monotonic', 'read_wall')
