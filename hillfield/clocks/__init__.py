"""The clocks by which nodes decide and date."""

from hillfield.clocks.clocks import monotonic, read_wall
from hillfield.clocks.lateness import TOLERATED, Lateness

__all__ = ('TOLERATED', 'Lateness', 'monotonic', 'read_wall')
