"""Planning of requests by host and path prefix, and adoption of new routes."""

from collections import Counter
from random import Random
from types import MappingProxyType

from expression import Error, Ok
from msgspec.structs import replace
from pytest import fixture

from hillfield.configuration.entries import Entry
from hillfield.configuration.schema.accounts import FleetAccount
from hillfield.configuration.schema.credentials import hash_secret
from hillfield.events import EventCode, ListJournal
from hillfield.hostroutes import (
    HostPlanner,
    HostRoute,
    PlannerSettings,
    RouteTable,
    SplitPart,
)
from hillfield.model import AnswerChecks, RepeatKind, ServicePolicy
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
    adopted = HostPlanner(SETTINGS, read_table, Random(1), ListJournal())
    adopted.adopt(Entry('routes', 5, b'2'))
    return adopted


def resolve(planner, path, host=TILL):
    return planner.resolve(RequestHead('GET', path, '', '', host=host))


def test_the_longest_prefix_wins(planner):
    assert resolve(planner, '/x/y/z?q').ok.route == 'deep'
    assert resolve(planner, '/x/yz').ok.route == 'wide'
    assert resolve(planner, '/x/y').ok.route == 'wide'


def test_a_plan_takes_its_limits_from_the_route(planner):
    plan = resolve(planner, '/x/y/').ok
    assert (plan.service, plan.idempotent, plan.deadline) == ('b', False, 2)
    assert (plan.maximum_attempts, plan.priority) == (2, 1)
    assert plan.origin == 'desk'


def test_an_unknown_host_is_not_found(planner):
    assert resolve(planner, '/', 'other.example').error.status == 404


def test_before_the_first_routes_requests_are_answered_with_retry_after():
    planner = HostPlanner(SETTINGS, read_table, Random(1), ListJournal())
    failure = resolve(planner, '/x/').error
    assert failure.status == 503
    assert failure.retry_after


def test_services_are_chosen_by_weight(planner):
    drawn = Counter(
        resolve(planner, '/split/a').ok.service for _ in range(2000)
    )
    assert 1740 < drawn['a'] < 1860


def test_an_older_revision_is_not_adopted(planner):
    planner.adopt(Entry('routes', 4, b'1'))
    assert resolve(planner, '/x/y/').ok.route == 'deep'
    planner.adopt(Entry('routes', 6, b'1'))
    assert resolve(planner, '/x/y/').ok.route == 'wide'


def test_an_invalid_entry_leaves_the_routes_in_force():
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


def make_accounts(*held):
    return tuple(
        FleetAccount(name, tuple(map(hash_secret, keys)), rank, 10, 10)
        for name, rank, *keys in held
    )


OPEN = HostRoute('open', TILL, '/open/', (SplitPart('a'),), True, 1)
BAKER = ('baker', 2, 'k-1', 'k-2')
KEYED = RouteTable(
    3,
    (*ROUTES, replace(OPEN, public=True)),
    None,
    make_accounts(BAKER, ('grocer', 0, 'k-3')),
)
REVOKED = replace(
    KEYED,
    accounts=make_accounts(BAKER[:3], ('grocer', 0, 'k-3')),
)


class RefusingQuotas:
    """Refuse all requests of accounts."""

    def adopt(self, accounts):
        self.accounts = accounts

    def ask(self, account):
        return 0.75 if account.rate else 0


@fixture
def keyed_planner():
    tables = {b'3': KEYED, b'4': REVOKED}
    journal = ListJournal()
    adopted = HostPlanner(
        SETTINGS,
        lambda payload: Ok(tables[payload]),
        Random(1),
        journal,
    )
    adopted.adopt(Entry('routes', 7, b'3'))
    return adopted


def resolve_with_key(planner, key, path='/x/'):
    return planner.resolve(RequestHead('GET', path, '', key, host=TILL))


def test_a_key_identifies_its_account(keyed_planner):
    assert resolve_with_key(keyed_planner, 'k-2').ok.account == 'baker'
    assert resolve_with_key(keyed_planner, 'k-3').ok.account == 'grocer'


def test_unknown_and_missing_keys_are_refused_and_not_echoed(keyed_planner):
    for key in ('k-4', ''):
        failure = resolve_with_key(keyed_planner, key).error
        assert failure.status == 401
        assert 'k-4' not in failure.detail


def test_a_public_route_needs_no_key_but_identifies_its_account(keyed_planner):
    assert resolve_with_key(keyed_planner, '', '/open/').ok.account == ''
    assert resolve_with_key(keyed_planner, 'k-4', '/open/').ok.account == ''
    assert (
        resolve_with_key(keyed_planner, 'k-1', '/open/').ok.account == 'baker'
    )


def test_a_revoked_key_is_refused_and_the_other_still_accepted(keyed_planner):
    keyed_planner.adopt(Entry('routes', 8, b'4'))
    assert resolve_with_key(keyed_planner, 'k-2').error.status == 401
    assert resolve_with_key(keyed_planner, 'k-1').ok.account == 'baker'


def test_the_account_s_priority_precedes_the_route_s(keyed_planner):
    first = resolve_with_key(keyed_planner, 'k-3', '/x/y/').ok.priority
    second = resolve_with_key(keyed_planner, 'k-1', '/x/').ok.priority
    third = resolve_with_key(keyed_planner, 'k-1', '/x/y/').ok.priority
    assert first < second < third


def test_an_unknown_route_is_not_found_whatever_the_key(keyed_planner):
    missing = RequestHead('GET', '/', '', 'k-4', host='other.example')
    assert keyed_planner.resolve(missing).error.status == 404


def test_without_accounts_nobody_needs_a_key(planner):
    head = RequestHead('GET', '/x/', '', 'k-4', host=TILL)
    assert planner.resolve(head).ok.account == ''


def test_a_request_beyond_its_quota_is_answered_with_retry_after(keyed_planner):
    keyed_planner.quotas = RefusingQuotas()
    keyed_planner.adopt(Entry('routes', 8, b'4'))
    failure = resolve_with_key(keyed_planner, 'k-1').error
    assert (failure.status, failure.retry_after) == (429, 0.75)
    assert resolve_with_key(keyed_planner, '', '/open/').is_ok()
    assert keyed_planner.quotas.accounts == REVOKED.accounts


def test_before_the_first_routes_no_key_is_refused_as_unknown():
    planner = HostPlanner(SETTINGS, read_table, Random(1), ListJournal())
    assert resolve_with_key(planner, 'k-4').error.status == 503


def test_a_plan_names_the_version_that_added_its_route():
    planner = HostPlanner(SETTINGS, read_table, Random(1), ListJournal())
    planner.adopt(Entry('routes', 5, b'1'))
    planner.adopt(Entry('routes', 6, b'2'))
    first = resolve(planner, '/x/yz').ok
    added = resolve(planner, '/x/y/').ok
    assert (first.route_version, first.route_since) == (1, None)
    assert added.route_version == 2
    assert added.route_since is not None


class Runs:
    def record_call(self, now, call):
        return call.request.startswith('repeated')


def test_a_call_of_a_repeated_run_is_planned_as_a_repeat(planner):
    planner.adopt(Entry('routes', 1, b'1'))
    planner.runs = Runs()
    heads = [
        RequestHead('GET', '/', '', '', host=TILL, request=request)
        for request in ('repeated.1', 'other.1')
    ]
    plans = [planner.resolve(head).ok for head in heads]
    assert [plan.repeat for plan in plans] == [RepeatKind.CALL, None]
