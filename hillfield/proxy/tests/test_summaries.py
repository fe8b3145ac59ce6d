"""Summaries of attempts in the log entries of failures."""

from msgspec.structs import replace

from hillfield.model import Address, RequestPlan, TargetId, Urgency
from hillfield.proxy.summaries import AttemptSummary, classify_route_age
from hillfield.routing.declining import Declined
from hillfield.routing.requests import Broken, ConnectFailed, Send

PLAN = RequestPlan('fees', 'r-8', '', True, 1)
ADDRESS = Address('10.0.0.1', 80)
SEND = Send('x', 1, TargetId('fees', ADDRESS, 1), ADDRESS)


def test_summary_counts_attempts_and_dates_the_first_sent():
    summary = AttemptSummary(100.0)
    summary.record_end(None, Declined('full', None))
    summary.record_end(None, Declined('shunned', None, lasting=True))
    summary.record_end(None, ConnectFailed('refused'))
    summary.record_sent(replace(SEND, urgency=Urgency.ALLOW_QUARANTINED))
    summary.record_end(100.335, Broken('reset'))
    summary.record_end(100.348, Broken('reset'))
    added = replace(PLAN, route_version=7, route_since=97.25)
    assert summary.describe(added, 100.351) == (
        'route r-8 of version 7, 3.1 s old; 0.351 s: declined 2 '
        '(1 withheld), sent 2, not reached 1, first after 0.335 s, '
        'last urgency allow_quarantined'
    )


def test_route_age_classes():
    first = replace(PLAN, route_version=1)
    added = replace(PLAN, route_version=2, route_since=5.0)
    ages = [classify_route_age(plan, 20.0) for plan in (first, added)]
    assert (*ages, classify_route_age(added, 60.0)) == ('first', 'new', 'older')


def test_route_without_version_has_no_age():
    assert classify_route_age(PLAN, 20.0) is None
    description = AttemptSummary(1.0).describe(PLAN, 1.5)
    assert description.startswith('route r-8; 0.500 s: ')
