"""One timer for all that a process does at times."""

from hillfield.timers.shared import Appointment, SharedTimer, find_timer

__all__ = ('Appointment', 'SharedTimer', 'find_timer')
