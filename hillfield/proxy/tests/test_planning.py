"""Which requests run beside others of their connection."""

# Tests are untyped, so are the doubles that they share.
# mypy: disable-error-code="no-untyped-call"

import pytest
from tornado.httputil import HTTPHeaders, RequestStartLine

from hillfield.holding import Holder, make_budget
from hillfield.model import RequestPlan
from hillfield.proxy.bodies import RequestBody
from hillfield.proxy.heads import ForwardingContext
from hillfield.proxy.plannedrequests import PlannedRequest
from hillfield.proxy.planning import may_run_concurrently


def order(idempotent=True, aim=1.0, fields=()):
    return PlannedRequest(
        RequestStartLine('GET', '/', 'HTTP/1.1'),
        HTTPHeaders(dict(fields)),
        RequestBody(0),
        RequestPlan('till', 'all', 'baker', idempotent, 5, aim=aim),
        ForwardingContext('r', 'k', ''),
        0,
        Holder(make_budget(), 'baker'),
    )


def runs(made):
    return may_run_concurrently(made, made.headers)


def test_what_may_run_again_and_has_an_aim():
    assert runs(order())
    assert not runs(order(idempotent=False))
    assert not runs(order(aim=0))


@pytest.mark.parametrize('name', ['Upgrade', 'Expect'])
def test_what_asks_for_more_than_an_answer(name):
    assert not runs(order(fields={name: 'x'}))


def test_bodies():
    assert not runs(order(fields={'Content-Length': '1'}))
    assert not runs(order(fields={'Transfer-Encoding': 'chunked'}))
    assert runs(order(fields={'Content-Length': '0'}))


def test_a_refusal_has_nothing_to_run():
    assert may_run_concurrently(None, HTTPHeaders())
    assert not may_run_concurrently(None, HTTPHeaders({'Content-Length': '1'}))
