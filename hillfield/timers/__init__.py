"""One timer for all that a process does at times."""

from hillfield.timers.pendingreads import run_when_read, wait_until_read
from hillfield.timers.shared import STEP, Appointment, SharedTimer, find_timer

__all__ = (
    'STEP',
    'Appointment',
    'SharedTimer',
    'find_timer',
    'run_when_read',
    'wait_until_read',
)
