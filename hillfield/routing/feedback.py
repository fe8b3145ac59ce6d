"""Updates of target and route measurements when attempts end."""

from typing import Final

from hillfield.loadreports.reports import LoadReport
from hillfield.routing.classification import Classification
from hillfield.routing.declining import Declined
from hillfield.routing.phases import AttemptTrigger
from hillfield.routing.records import AttemptRecord
from hillfield.routing.requests import (
    Answered,
    Broken,
    Observation,
    TimedOut,
)
from hillfield.routing.service import ServiceState

OVERLOAD_TRIGGERS: Final = frozenset(
    (
        AttemptTrigger.DECLINED,
        AttemptTrigger.SHED,
        AttemptTrigger.TIMED_OUT,
    ),
)
TIMED_TRIGGERS: Final = frozenset(
    (AttemptTrigger.ANSWERED, AttemptTrigger.GONE)
)
SLOT_HOLDING = (Answered, Broken, TimedOut)


def record_end(
    service: ServiceState,
    now: float,
    attempt: AttemptRecord,
    classification: Classification,
    observation: Observation,
) -> None:
    """Update the measurements of targets and routes by an ended attempt."""
    seconds = None
    if (
        classification.failed
        or classification.trigger is AttemptTrigger.ANSWERED
    ):
        seconds = now - attempt.started
    identity = attempt.target.id
    if classification.trigger is not AttemptTrigger.DECLINED:
        service.capacities.count_ended(identity)
    _record_duration(service, now, attempt, classification)
    service.selector.record_ended(now, identity, seconds, classification.failed)
    if _should_pause(service, attempt, classification):
        service.selector.pause(now, identity)
    if isinstance(observation, Declined) and observation.lasting:
        service.recent_declines.record(now, identity)
    elif classification.trigger is AttemptTrigger.ANSWERED:
        service.recent_declines.forget(identity)
    if isinstance(observation, SLOT_HOLDING):
        service.departures.record_departure(now, service.count_waiting() > 0)


def apply_report(service: ServiceState, now: float, report: LoadReport) -> None:
    """Store a gate's report; end the target's pause if it has free slots."""
    service.capacities.record_report(now, report)
    service.repeat_shares.record(now, report)
    if report.notice is not None:
        service.notices.record(now, report.target.address, report.notice)
    load = service.selector.loads.get(report.target)
    if load is not None and report.free > 0:
        service.selector.pauses.cancel(load)


def _record_duration(
    service: ServiceState,
    now: float,
    attempt: AttemptRecord,
    classification: Classification,
) -> None:
    """Record an attempt's duration, also if it was cancelled by a hedge.

    Without cancelled attempts, measured durations would fall with each hedge,
    and hedges would be sent earlier and earlier.
    """
    if classification.trigger in TIMED_TRIGGERS:
        plan = attempt.record.arrival.plan
        service.durations.find(plan).add_sample(now - attempt.started)


def _should_pause(
    service: ServiceState,
    attempt: AttemptRecord,
    classification: Classification,
) -> bool:
    """Return whether the attempt's end should pause its target.

    A time-out pauses a target only if its gate reports no capacity.
    """
    if classification.trigger is AttemptTrigger.TIMED_OUT:
        return service.capacities.find(attempt.target.id) is None
    if classification.only_repeats:
        return False
    return classification.trigger in OVERLOAD_TRIGGERS
