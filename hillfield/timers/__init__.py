"""A shared timer for the periodic and delayed work of an event loop."""

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
