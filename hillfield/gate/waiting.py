"""How long a request may wait at a gate for a slot of its target."""

from typing import Final

from hillfield.gate.queue import Place
from hillfield.routing.records import RequestRecord

# Seconds that a request may wait for a slot here, and the part of its time.
LONGEST_WAIT: Final = 0.25
SHARE_OF_WAIT: Final = 0.2
# The part of its time that a request may wait here if its answer is expected
# within the time in which it is worth most: what leaves the gate untried needs
# the rest to be tried elsewhere.
LARGEST_SHARE_OF_WAIT: Final = 0.5


def find_bound(now: float, record: RequestRecord, usual: float) -> float:
    """Return the seconds that a request may wait for a slot here.

    `usual` is how long the requests of its route take, in seconds.
    """
    left = record.arrival.expires - now
    bound = min(LONGEST_WAIT, SHARE_OF_WAIT * left)
    plan = record.arrival.plan
    if not plan.aim:
        return bound
    slack = plan.aim - plan.spent - usual
    return max(bound, min(slack, LARGEST_SHARE_OF_WAIT * left))


def describe_wait(now: float, place: Place) -> str:
    """Say how long a request has waited in vain, and for what."""
    waited = now - place.record.queued_at
    left = place.record.arrival.expires - now
    needs = place.rank.cost
    took = f'waited {waited:.3f} s'
    return f'{took}, needs {needs:.3f} of {left:.3f} s left'
