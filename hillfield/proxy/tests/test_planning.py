"""Which requests may run concurrently with others of their connection."""

# The tests and their shared doubles are untyped.
# mypy: disable-error-code="no-untyped-call"

import pytest
from tornado.httputil import HTTPHeaders, RequestStartLine

from hillfield.holding import ByteReservation, build_budget
from hillfield.model import RequestPlan
from hillfield.proxy.bodies import RequestBody
from hillfield.proxy.heads import ForwardingContext
from hillfield.proxy.plannedrequests import PlannedRequest
from hillfield.proxy.planning import may_run_concurrently


def build_request(idempotent=True, aim=1.0, fields=()):
    return PlannedRequest(
        RequestStartLine('GET', '/', 'HTTP/1.1'),
        HTTPHeaders(dict(fields)),
        RequestBody(0),
        RequestPlan('till', 'all', 'baker', idempotent, 5, aim=aim),
        ForwardingContext('r', 'k', ''),
        0,
        ByteReservation(build_budget(), 'baker'),
    )


def is_concurrent(planned):
    return may_run_concurrently(planned, planned.headers)


def test_idempotent_request_with_aim():
    assert is_concurrent(build_request())
    assert not is_concurrent(build_request(idempotent=False))
    assert not is_concurrent(build_request(aim=0))


@pytest.mark.parametrize('name', ['Upgrade', 'Expect'])
def test_upgrade_and_expect(name):
    assert not is_concurrent(build_request(fields={name: 'x'}))


def test_request_with_body():
    assert not is_concurrent(build_request(fields={'Content-Length': '1'}))
    assert not is_concurrent(
        build_request(fields={'Transfer-Encoding': 'chunked'}),
    )
    assert is_concurrent(build_request(fields={'Content-Length': '0'}))


def test_refused_request():
    assert may_run_concurrently(None, HTTPHeaders())
    assert not may_run_concurrently(None, HTTPHeaders({'Content-Length': '1'}))
