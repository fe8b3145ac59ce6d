"""Routes by host and prefix, and how they come in force."""

from collections import Counter
from random import Random
from types import MappingProxyType

from expression import Error, Ok
from msgspec.structs import replace
from pytest import fixture

from hillfield.configuration.entries import Entry
from hillfield.configuration.schema.credentials import hash_secret
from hillfield.configuration.schema.accounts import FleetAccount
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


class Refusing:
    """Refuse all that accounts send."""

    def adopt(self, accounts):
        self.accounts = accounts

    def ask(self, account):
        return 0.75 if account.rate else 0


@fixture
def keyed():
    tables = {b'3': KEYED, b'4': REVOKED}
    journal = ListJournal()
    made = HostPlanner(
        SETTINGS,
        lambda payload: Ok(tables[payload]),
        Random(1),
        journal,
    )
    made.adopt(Entry('routes', 7, b'3'))
    return made


def show_key(planner, key, path='/x/'):
    return planner.resolve(RequestHead('GET', path, '', key, host=TILL))


def test_a_key_tells_whose_request_it_is(keyed):
    assert show_key(keyed, 'k-2').ok.account == 'baker'
    assert show_key(keyed, 'k-3').ok.account == 'grocer'


def test_unknown_and_missing_keys_are_refused_and_never_shown(keyed):
    for key in ('k-4', ''):
        failure = show_key(keyed, key).error
        assert failure.status == 401
        assert 'k-4' not in failure.detail


def test_a_public_route_needs_no_key_and_tells_who_holds_one(keyed):
    assert show_key(keyed, '', '/open/').ok.account == ''
    assert show_key(keyed, 'k-4', '/open/').ok.account == ''
    assert show_key(keyed, 'k-1', '/open/').ok.account == 'baker'


def test_a_revoked_key_is_refused_and_the_other_still_holds(keyed):
    keyed.adopt(Entry('routes', 8, b'4'))
    assert show_key(keyed, 'k-2').error.status == 401
    assert show_key(keyed, 'k-1').ok.account == 'baker'


def test_an_account_s_rank_goes_before_its_route_s(keyed):
    first = show_key(keyed, 'k-3', '/x/y/').ok.priority
    second = show_key(keyed, 'k-1', '/x/').ok.priority
    third = show_key(keyed, 'k-1', '/x/y/').ok.priority
    assert first < second < third


def test_an_unknown_route_is_not_found_whatever_the_key(keyed):
    missing = RequestHead('GET', '/', '', 'k-4', host='other.example')
    assert keyed.resolve(missing).error.status == 404


def test_without_accounts_nobody_needs_a_key(planner):
    head = RequestHead('GET', '/x/', '', 'k-4', host=TILL)
    assert planner.resolve(head).ok.account == ''


def test_what_lies_beyond_a_limit_is_told_when_to_come_back(keyed):
    keyed.quotas = Refusing()
    keyed.adopt(Entry('routes', 8, b'4'))
    failure = show_key(keyed, 'k-1').error
    assert (failure.status, failure.retry_after) == (429, 0.75)
    assert show_key(keyed, '', '/open/').is_ok()
    assert keyed.quotas.accounts == REVOKED.accounts


def test_before_the_first_routes_no_key_is_called_unknown():
    planner = HostPlanner(SETTINGS, read_table, Random(1), ListJournal())
    assert show_key(planner, 'k-4').error.status == 503


def test_a_route_tells_which_version_brought_it():
    planner = HostPlanner(SETTINGS, read_table, Random(1), ListJournal())
    planner.adopt(Entry('routes', 5, b'1'))
    planner.adopt(Entry('routes', 6, b'2'))
    first = resolve(planner, '/x/yz').ok
    added = resolve(planner, '/x/y/').ok
    assert (first.route_version, first.route_since) == (1, None)
    assert added.route_version == 2
    assert added.route_since is not None
