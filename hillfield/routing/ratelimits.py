"""Whether all targets of a service take no more than they name; pure.

This answers a service whose targets are in need at the same time: together they
take less than is asked, so what can't begin in time would only wait, and be
handed from gate to gate, until its answer is worth little.
"""

from math import modf
from typing import Final

from hillfield.events import EventCode
from hillfield.loadreports.reports import Held
from hillfield.model import Step
from hillfield.routing.records import RequestRecord
from hillfield.routing.refusals import Cause
from hillfield.routing.capacity import ReportedCapacity
from hillfield.routing.service import ServiceState

# The fractions of its multiples lie as far apart as can be, however many there
# are (the golden ratio), so that those refused together don't return together.
SPREAD_RATIO: Final = 0.618
# Seconds for which a gate is believed that no turn is left: it tells only some of
# the nodes that use its target, and others hear of a turn only by asking.
EXHAUSTION_LIFETIME: Final = 1.0


def find_rate_limit_cause(
    service: ServiceState,
    now: float,
    record: RequestRecord,
) -> Cause | None:
    """Return why a request can't be served in time, if limits are why.

    It can't where no target takes it before its answer would come later than
    it is worth most; the cause says when the first of them takes one.
    """
    plan = record.arrival.plan
    wait = _compute_wait(service, now) if plan.aim else None
    if wait is None:
        return None
    usual = service.durations.find(plan).find_quantile(0)
    if record.compute_elapsed(now) + wait + usual <= plan.aim:
        return None
    spread, _ = modf(SPREAD_RATIO * service.counters.refused)
    return Cause(
        EventCode.SERVICE_LIMITED,
        Step.ADMIT,
        'all targets take no more requests than they name',
        wait * (1 + spread),
    )


def _compute_wait(service: ServiceState, now: float) -> float | None:
    """Return the seconds until a target takes one more, as last told.

    None: one may take it now, not all name a limit, or none has told lately.
    Those whose gates hold usual work back take none.
    """
    loads = service.selector.loads
    used = (target for target in loads if loads[target].tier is not None)
    waits: list[float] = []
    for capacity in map(service.capacities.find, used):
        if capacity is None or not _is_exhausted(capacity):
            return None
        if (
            capacity.withheld < Held.USUAL
            and now - capacity.received_at <= EXHAUSTION_LIFETIME
        ):
            waits.append(capacity.wait)
    return min(waits, default=None)


def _is_exhausted(capacity: ReportedCapacity) -> bool:
    """Tell whether a target's limit, or its gate, leaves no turn now."""
    bound = capacity.rate is not None or capacity.withheld >= Held.USUAL
    return bound and capacity.free <= 0
