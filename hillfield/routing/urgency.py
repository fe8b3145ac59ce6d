"""Which targets a request takes, after so many have declined it."""

from typing import Final

from hillfield.model import Urgency
from hillfield.routing.records import RequestRecord

# Gates that have declined a request before it takes a suspected target: a
# target under suspicion is well more often than not, and others of its failure
# domain have been asked by then, which takes 1 ms each.
SETTLES_AFTER: Final = 2
# Gates that have declined a request before it asks one to take it anyway: a
# doubtful target answers half of what it gets, and nobody else would.
INSISTS_AFTER: Final = 6
# Seconds that a request first looks for a gate that takes it gladly: a slot
# of 4 is free again about so soon, and a shunned target is judged anew.
INSISTS_LATEST: Final = 0.25
# Seconds after which it goes to a target whatever the odds there: work that
# runs once is lost with a target that ends most of it, and an answer that
# comes late is worth something.
PRESSES_LATEST: Final = 1.0


def find_urgency(
    now: float,
    record: RequestRecord,
    settles: bool = False,
) -> Urgency:
    """Return which targets the request's next attempt takes.

    `settles` says that its target was chosen though it is suspected.
    """
    declined = len(record.declined)
    if declined < INSISTS_AFTER:
        settles |= declined >= SETTLES_AFTER
        return Urgency.SETTLES if settles else Urgency.CHOOSY
    waited = record.find_spent(now)
    if waited >= PRESSES_LATEST:
        return Urgency.PRESSES
    return Urgency.INSISTS if waited >= INSISTS_LATEST else Urgency.SETTLES
