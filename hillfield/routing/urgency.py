"""How healthy a target must be, by how many gates declined the request."""

from typing import Final

from hillfield.model import Urgency
from hillfield.routing.records import RequestRecord

# Declines after which a request accepts a suspected target: such a target is
# healthy more often than not, and others of its failure domain have been tried
# by then, which takes 1 ms each.
SUSPECTED_DECLINES: Final = 2
# Declines after which a request accepts a quarantined target: such a target
# answers half of its requests, and no other target is left.
QUARANTINED_DECLINES: Final = 6
# Seconds for which a request first looks for a healthy target: within about
# this time one of 4 slots is free again, and a quarantined target is tested.
QUARANTINED_SECONDS: Final = 0.25
# Seconds after which it accepts any target. A request that must not be
# repeated is lost at a target that breaks most requests, so this is the last
# resort, but a late answer is still worth something.
ANY_SECONDS: Final = 1.0


def compute_urgency(
    now: float,
    record: RequestRecord,
    allow_suspected: bool = False,
) -> Urgency:
    """Return which targets the request's next attempt accepts.

    `allow_suspected` says that the chosen target is known to be suspected.
    """
    declined = len(record.declined_by)
    if declined < QUARANTINED_DECLINES:
        allow_suspected |= declined >= SUSPECTED_DECLINES
        return (
            Urgency.ALLOW_SUSPECTED if allow_suspected else Urgency.HEALTHY_ONLY
        )
    waited = record.compute_elapsed(now)
    if waited >= ANY_SECONDS:
        return Urgency.ALLOW_ANY
    return (
        Urgency.ALLOW_QUARANTINED
        if waited >= QUARANTINED_SECONDS
        else Urgency.ALLOW_SUSPECTED
    )
