"""Routes by host and prefix, and how they come in force."""

from collections import Counter
from random import Random
from types import MappingProxyType

from expression import Error, Ok
from pytest import fixture

from hillfield.configuration import Entry
from hillfield.events import EventCode, ListJournal
from hillfield.hostroutes import (
    HostPlanner,
    HostRoute,
    PlannerSettings,
    RouteTable,
    SplitPart,
)
from hillfield.model import AnswerChecks, ServicePolicy
from hillfield.proxy.ports import RequestHead

TILL = 'till.example'
ROUTES = (
    HostRoute('wide', TILL, '/', (SplitPart('a'),), True, 4),
    HostRoute('deep', TILL, '/x/y/', (SplitPart('b'),), False, 2, 2, 1),
    HostRoute(
        'split',
        TILL,
        '/split/',
        (SplitPart('a', 90), SplitPart('b', 10)),
        True,
        1,
    ),
)
OLD = RouteTable(1, ROUTES[:1])
NEW = RouteTable(2, ROUTES)
TABLES = MappingProxyType({b'1': OLD, b'2': NEW})
SETTINGS = PlannerSettings(
    'routes',
    'desk',
    ServicePolicy('', floor=0.7),
    AnswerChecks(wrong_statuses=()),
    AnswerChecks(),
)


def read_table(payload):
    table = TABLES.get(payload)
    return Error('no table') if table is None else Ok(table)


@fixture
def planner():
    made = HostPlanner(SETTINGS, read_table, Random(1), ListJournal())
    made.adopt(Entry('routes', 5, b'2'))
    return made


def resolve(planner, path, host=TILL):
    return planner.resolve(RequestHead('GET', path, '', '', host=host))


def test_the_longest_prefix_wins(planner):
    assert resolve(planner, '/x/y/z?q').ok.route == 'deep'
    assert resolve(planner, '/x/yz').ok.route == 'wide'
    assert resolve(planner, '/x/y').ok.route == 'wide'


def test_a_route_says_how_its_requests_are_treated(planner):
    plan = resolve(planner, '/x/y/').ok
    assert (plan.service, plan.idempotent, plan.deadline) == ('b', False, 2)
    assert (plan.maximum_attempts, plan.priority) == (2, 1)
    assert plan.origin == 'desk'


def test_an_unknown_host_is_not_found(planner):
    assert resolve(planner, '/', 'other.example').error.status == 404


def test_before_the_first_routes_callers_are_told_to_come_back():
    planner = HostPlanner(SETTINGS, read_table, Random(1), ListJournal())
    failure = resolve(planner, '/x/').error
    assert failure.status == 503
    assert failure.retry_after


def test_parts_get_their_weights(planner):
    drawn = Counter(
        resolve(planner, '/split/a').ok.service for _ in range(2000)
    )
    assert 1740 < drawn['a'] < 1860


def test_an_older_revision_never_comes_back(planner):
    planner.adopt(Entry('routes', 4, b'1'))
    assert resolve(planner, '/x/y/').ok.route == 'deep'
    planner.adopt(Entry('routes', 6, b'1'))
    assert resolve(planner, '/x/y/').ok.route == 'wide'


def test_what_cannot_be_read_leaves_the_routes_in_force():
    journal = ListJournal()
    planner = HostPlanner(SETTINGS, read_table, Random(1), journal)
    planner.adopt(Entry('routes', 5, b'2'))
    planner.adopt(Entry('routes', 6, b'cut short'))
    assert resolve(planner, '/x/y/').ok.route == 'deep'
    assert journal.occurrences[-1].code is EventCode.CONFIGURATION_REFUSED
    assert 'no table' in journal.occurrences[-1].detail


def test_a_policy_exists_for_each_service_that_a_route_leads_to(planner):
    assert planner.services() == ('a', 'b')
    assert planner.policy('a').floor == SETTINGS.policy.floor
    assert planner.policy('c') is None
