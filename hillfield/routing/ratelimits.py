"""Refusal of requests while all targets of a service are at a rate limit.

If the targets together accept fewer requests than arrive, a request that can't
start in time would only wait and be passed from gate to gate until its answer
is of little use; it is refused at once instead.
"""

from math import modf
from typing import Final

from hillfield.events import EventCode
from hillfield.loadreports.reports import WithheldWork
from hillfield.model import Step
from hillfield.routing.capacity import ReportedCapacity
from hillfield.routing.records import RequestRecord
from hillfield.routing.refusals import Cause
from hillfield.routing.service import ServiceState

# The golden ratio: the fractions of its multiples are spread evenly, however
# many there are, so that callers refused together do not retry together.
SPREAD_RATIO: Final = 0.618
# Seconds for which a gate's report of an exhausted limit counts: a gate reports
# to some of the nodes that use its target only, and the others learn that it
# accepts requests again only by sending one.
EXHAUSTION_LIFETIME: Final = 1.0


def find_rate_limit_cause(
    service: ServiceState,
    now: float,
    record: RequestRecord,
) -> Cause | None:
    """Return the cause if rate limits rule out an answer in time.

    That is if no target accepts the request early enough to meet its latency
    objective; the cause says when the first target accepts one.
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
        'all targets of the service are at their rate limits',
        wait * (1 + spread),
    )


def _compute_wait(service: ServiceState, now: float) -> float | None:
    """Return the seconds until a target accepts a request, as last reported.

    None if a target may accept one now, not all have a limit, or no report is
    recent. Targets whose gates withhold usual work accept none.
    """
    loads = service.selector.loads
    used = (target for target in loads if loads[target].tier is not None)
    waits: list[float] = []
    for capacity in map(service.capacities.find, used):
        if capacity is None or not _is_exhausted(capacity):
            return None
        if (
            capacity.withheld < WithheldWork.USUAL
            and now - capacity.received_at <= EXHAUSTION_LIFETIME
        ):
            waits.append(capacity.wait)
    return min(waits, default=None)


def _is_exhausted(capacity: ReportedCapacity) -> bool:
    """Return whether a target's limit, or its gate, admits no request now."""
    bound = capacity.rate is not None or capacity.withheld >= WithheldWork.USUAL
    return bound and capacity.free <= 0
