"""Hedging: second attempts of slow requests while the first still runs.

Hedges cover targets that accept a request and never answer it although their
health is good: no connection breaks, so only the duration shows the fault. A
request that hangs also delays the work that waits for it.
"""

from typing import Final

from hillfield.model import RequestPlan
from hillfield.routing.phases import RequestPhase
from hillfield.routing.placement import select_hedge_target
from hillfield.routing.progress import AttemptProgress
from hillfield.routing.records import RequestRecord
from hillfield.routing.requests import Send
from hillfield.routing.service import ServiceState

SENT_PHASES: Final = frozenset(
    (RequestPhase.SENT, RequestPhase.SENT_UNCERTAIN),
)
# Standard deviations above the median after which an attempt is hedged: one in
# twenty attempts at healthy targets takes longer and is hedged in vain.
HEDGE_DEVIATIONS: Final = 1.65
# Bounds of the delay, as shares of the latency objective (`aim`). With a
# longer delay, a second attempt of usual duration would be answered too late;
# a shorter one gains nothing that the caller would notice.
LATEST_AIM_SHARE: Final = 0.55
EARLIEST_AIM_SHARE: Final = 0.25


def compute_delay(service: ServiceState, plan: RequestPlan) -> float | None:
    """Return the seconds after which to hedge an attempt; None: never.

    The plan may set the delay. Otherwise it is a duration that few requests of
    the route exceed, bounded by shares of the latency objective.
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
    """Send an idempotent request to a second target too."""
    possible = (
        _can_hedge(record)
        and now + service.estimate_retry(record) < record.arrival.expires
        and not service.count_waiting()
        and service.budget.hedges.can_consume()
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
    """Replace an attempt that a gate declined while another one runs."""
    if not (_can_hedge(record) and record.has_attempts_left()):
        return None
    target = select_hedge_target(service, now, record)
    return None if target is None else service.send(now, record, target)


def _can_hedge(record: RequestRecord) -> bool:
    plan = record.arrival.plan
    if record.phase not in SENT_PHASES or len(record.live) != 1:
        return False
    if record.sent >= plan.maximum_attempts:
        return False
    return plan.idempotent and record.arrival.replayable


class Hedging(AttemptProgress):
    """Decide when a request is hedged, and at which target."""

    def compute_hedge_delay(self, plan: RequestPlan) -> float | None:
        """Return the seconds after which to hedge an attempt; None: never."""
        return compute_delay(self._service, plan)

    def hedge(self, now: float, request: str) -> Send | None:
        """Start a second attempt of a slow request if the budget allows it."""
        record = self._service.table.requests.get(request)
        if record is None:
            return None
        return hedge(self._service, now, record)
