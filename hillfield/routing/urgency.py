"""Which targets a request takes, after so many have declined it."""

from typing import Final

from hillfield.model import Urgency
from hillfield.routing.records import RequestRecord

# Gates that have declined a request before it takes a suspected target: a
# target under suspicion is well more often than not, and others of its failure
# domain have been asked by then, which takes 1 ms each.
SUSPECTED_DECLINES: Final = 2
# Gates that have declined a request before it asks one to take it anyway: a
# doubtful target answers half of what it gets, and nobody else would.
QUARANTINED_DECLINES: Final = 6
# Seconds that a request first looks for a gate that takes it gladly: a slot
# of 4 is free again about so soon, and a shunned target is judged anew.
QUARANTINED_SECONDS: Final = 0.25
# Seconds after which it goes to a target whatever the odds there: work that
# runs once is lost with a target that ends most of it, and an answer that
# comes late is worth something.
ANY_SECONDS: Final = 1.0


def compute_urgency(
    now: float,
    record: RequestRecord,
    allow_suspected: bool = False,
) -> Urgency:
    """Return which targets the request's next attempt takes.

    `settles` says that its target was chosen though it is suspected.
    """
    declined = len(record.declined_by)
    if declined < QUARANTINED_DECLINES:
        allow_suspected |= declined >= SUSPECTED_DECLINES
        return Urgency.SETTLES if allow_suspected else Urgency.CHOOSY
    waited = record.compute_elapsed(now)
    if waited >= ANY_SECONDS:
        return Urgency.PRESSES
    return Urgency.INSISTS if waited >= QUARANTINED_SECONDS else Urgency.SETTLES
