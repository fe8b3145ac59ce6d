"""Schedule of a node's stop, from the time that it is given."""

from typing import Final

from msgspec import Struct

# Seconds to stop for which the steps below are made. Of less time, each step
# takes its part.
FULL_GRACE: Final = 6.0
# Seconds for which a stopping gate still accepts work; most of it finishes
# within the rest of the 6 s until the process is killed. When hosts restart at
# one per second, this saves 1.4 of some 5 s without their target.
WITHDRAW_TARGET: Final = 1.4
# Seconds after which the gate declines work: the fleet has had 0.5 s to receive
# the update that the target drains.
CLOSE_GATE: Final = 1.9
# Seconds after which callers send no more requests: readiness is probed once a
# second, and two probes must fail.
STOP_LISTENING: Final = 2.4
# Seconds after which idle connections end. A request that was sent within 3 s
# of the signal may be ended with the process; the loop may read 0.2 s late.
LAST_REQUEST: Final = 2.8
# Seconds before the kill at which requests that still run are ended, so that
# their callers get an answer and the fleet is told.
LAST_ANSWERS_BEFORE_KILL: Final = 0.6


class StopSchedule(Struct, frozen=True):
    """Seconds from the request to stop to each step, in this order.

    `withdraw_target`: the fleet is told that the target drains; `close_gate`:
    the gate declines new work; `stop_listening`: callers can't connect;
    `last_request`: idle connections end; `last_answers`: requests that still
    run are ended.
    """

    withdraw_target: float
    close_gate: float
    stop_listening: float
    last_request: float
    last_answers: float


def plan_stop(grace: float) -> StopSchedule:
    """Return the schedule of a stop that ends in a kill after `grace` seconds.

    >>> plan_stop(3).last_request
    1.4
    """
    part = min(1, grace / FULL_GRACE)
    return StopSchedule(
        part * WITHDRAW_TARGET,
        part * CLOSE_GATE,
        part * STOP_LISTENING,
        part * LAST_REQUEST,
        grace - part * LAST_ANSWERS_BEFORE_KILL,
    )
