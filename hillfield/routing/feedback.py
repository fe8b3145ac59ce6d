"""What is learnt of targets and routes when an attempt ends."""

from typing import Final

from hillfield.loadreports.reports import LoadReport
from hillfield.routing.declining import Declined
from hillfield.routing.phases import AttemptTrigger
from hillfield.routing.readings import Classification
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
    """Tell what is kept of targets and routes how an attempt ended."""
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
    """Tell what is kept of a target what its gate tells of its room."""
    service.capacities.record_report(now, report)
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
    """Note how long an attempt took, or had taken when another won.

    Without those cut short the durations would fall with each hedge, and
    hedges come ever sooner.
    """
    if classification.trigger in TIMED_TRIGGERS:
        plan = attempt.record.arrival.plan
        service.durations.find(plan).note(now - attempt.started)


def _should_pause(
    service: ServiceState,
    attempt: AttemptRecord,
    classification: Classification,
) -> bool:
    """Tell whether a target gets less for a while.

    A time-out says nothing of the room where its gate tells of that itself.
    """
    if classification.trigger is AttemptTrigger.TIMED_OUT:
        return service.capacities.find(attempt.target.id) is None
    return classification.trigger in OVERLOAD_TRIGGERS
