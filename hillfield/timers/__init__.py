"""A shared timer for the periodic and delayed work of an event loop."""

from hillfield.timers.pendingreads import (
    run_after_pending_reads,
    wait_for_pending_reads,
)
from hillfield.timers.shared import (
    STEP_SECONDS,
    ScheduledCall,
    SharedTimer,
    get_shared_timer,
)

__all__ = (
    'STEP_SECONDS',
    'ScheduledCall',
    'SharedTimer',
    'get_shared_timer',
    'run_after_pending_reads',
    'wait_for_pending_reads',
)
