"""What is learnt of targets and routes when an attempt ends."""

from typing import Final

from hillfield.loadreports.reports import LoadReport
from hillfield.routing.declining import Declined
from hillfield.routing.phases import AttemptTrigger
from hillfield.routing.readings import Reading
from hillfield.routing.records import AttemptRecord
from hillfield.routing.requests import (
    Answered,
    Broken,
    Observation,
    TimedOut,
)
from hillfield.routing.service import Service

OVERLOADED: Final = frozenset(
    (
        AttemptTrigger.DECLINED,
        AttemptTrigger.SHED,
        AttemptTrigger.TIMED_OUT,
    ),
)
TIMED: Final = frozenset((AttemptTrigger.ANSWERED, AttemptTrigger.GONE))
HOLDING = (Answered, Broken, TimedOut)


def tell_ending(
    service: Service,
    now: float,
    attempt: AttemptRecord,
    reading: Reading,
    observation: Observation,
) -> None:
    """Tell what is kept of targets and routes how an attempt ended."""
    seconds = None
    if reading.failed or reading.trigger is AttemptTrigger.ANSWERED:
        seconds = now - attempt.started
    identity = attempt.target.id
    if reading.trigger is not AttemptTrigger.DECLINED:
        service.rooms.give_back(identity)
    _note_duration(service, now, attempt, reading)
    service.selector.note_ended(now, identity, seconds, reading.failed)
    if _is_to_pause(service, attempt, reading):
        service.selector.pause(now, identity)
    if isinstance(observation, Declined) and observation.lasting:
        service.reluctance.note(now, identity)
    elif reading.trigger is AttemptTrigger.ANSWERED:
        service.reluctance.forget(identity)
    if isinstance(observation, HOLDING):
        service.pace.note_departure(now, service.waiting() > 0)


def tell_room(service: Service, now: float, report: LoadReport) -> None:
    """Tell what is kept of a target what its gate tells of its room."""
    service.rooms.note(now, report)
    if report.notice is not None:
        service.notices.note(now, report.target.address, report.notice)
    load = service.selector.loads.get(report.target)
    if load is not None and report.free > 0:
        service.selector.pauses.cancel(load)


def _note_duration(
    service: Service,
    now: float,
    attempt: AttemptRecord,
    reading: Reading,
) -> None:
    """Note how long an attempt took, or had taken when another won.

    Without those cut short the durations would fall with each hedge, and
    hedges come ever sooner.
    """
    if reading.trigger in TIMED:
        plan = attempt.record.arrival.plan
        service.durations.find(plan).note(now - attempt.started)


def _is_to_pause(
    service: Service,
    attempt: AttemptRecord,
    reading: Reading,
) -> bool:
    """Tell whether a target gets less for a while.

    A time-out says nothing of the room where its gate tells of that itself.
    """
    if reading.trigger is AttemptTrigger.TIMED_OUT:
        return service.rooms.find(attempt.target.id) is None
    return reading.trigger in OVERLOADED
