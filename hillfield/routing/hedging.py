"""Second attempts of slow lookups, while the first still runs.

They answer the load of targets that take a request and never answer it
while their health is good: no connection breaks, so that only time tells.
A call that hangs costs the work that waits for it as well.
"""

from typing import Final

from hillfield.model import RequestPlan
from hillfield.routing.progress import AttemptProgress
from hillfield.routing.placement import select_hedge_target
from hillfield.routing.phases import RequestPhase
from hillfield.routing.records import RequestRecord
from hillfield.routing.requests import Send
from hillfield.routing.service import ServiceState

SENT_PHASES: Final = frozenset(
    (RequestPhase.SENT, RequestPhase.SENT_DOUBTFUL),
)
# Standard deviations above the median at which an attempt is doubted: one in
# twenty well ones takes longer, and is repeated in vain.
HEDGE_DEVIATIONS: Final = 1.65
# Bounds of the delay, as parts of the time in which an answer is worth most.
# After the latest, a second attempt of usual length would come too late;
# before the soonest, it gains nothing that its caller would notice.
LATEST_AIM_SHARE: Final = 0.55
EARLIEST_AIM_SHARE: Final = 0.25


def compute_delay(service: ServiceState, plan: RequestPlan) -> float | None:
    """Return the seconds from an attempt to a second one; None: never.

    A plan may name them; otherwise they are what few requests of the route
    exceed, within parts of the time in which an answer is worth most.
    """
    if plan.hedge_after is not None:
        return plan.hedge_after
    if not (plan.aim and plan.idempotent):
        return None
    usual = service.durations.find(plan).find_quantile(HEDGE_DEVIATIONS)
    soonest = EARLIEST_AIM_SHARE * plan.aim
    return min(LATEST_AIM_SHARE * plan.aim, max(soonest, usual))


def hedge(
    service: ServiceState, now: float, record: RequestRecord
) -> Send | None:
    """Send an idempotent request to a second target as well."""
    possible = (
        _may_hedge(record)
        and now + service.estimate_retry(record) < record.arrival.expires
        and not service.count_waiting()
        and service.budget.hedges.can_take()
    )
    target = select_hedge_target(service, now, record) if possible else None
    if target is None:
        return None
    service.budget.consume_hedge()
    service.counters.hedges += 1
    return service.send(now, record, target)


def replace_declined(
    service: ServiceState,
    now: float,
    record: RequestRecord,
) -> Send | None:
    """Send an attempt that a gate has declined on, while another lives."""
    if not (_may_hedge(record) and record.has_attempts_left()):
        return None
    target = select_hedge_target(service, now, record)
    return None if target is None else service.send(now, record, target)


def _may_hedge(record: RequestRecord) -> bool:
    plan = record.arrival.plan
    if record.phase not in SENT_PHASES or len(record.live) != 1:
        return False
    if record.sent >= plan.maximum_attempts:
        return False
    return plan.idempotent and record.arrival.replayable


class Hedging(AttemptProgress):
    """Say when a request is hedged, and where."""

    def find_hedge_delay(self, plan: RequestPlan) -> float | None:
        """Return the seconds from an attempt to a second one; None: never."""
        return compute_delay(self._service, plan)

    def hedge(self, now: float, request: str) -> Send | None:
        """Start a second attempt of a slow request, if the budget allows."""
        record = self._service.table.requests.get(request)
        if record is None:
            return None
        return hedge(self._service, now, record)
