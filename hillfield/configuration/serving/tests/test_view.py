"""Resolving of requests, with the clear refusals."""

import pytest
from msgspec.structs import replace

from hillfield.configuration.entries import Entry
from hillfield.configuration.schema.accounts import ClientAccount, ServiceUse
from hillfield.configuration.schema.templates import (
    AccountParameters,
    Bounds,
    Idempotency,
    RouteRule,
    Template,
)
from hillfield.configuration.serving.replica import Replica
from hillfield.configuration.serving.view import ConfigurationView
from hillfield.configuration.schema.credentials import hash_secret
from hillfield.configuration.schema.templates import derive_policy
from hillfield.configuration.serving.directory import AccountDirectory
from hillfield.configuration.serving.routes import NoRoute, RouteTable
from hillfield.configuration.storage.payloads import encode_stored
from hillfield.configuration.storage.stored import StoredBucket, StoredTemplate
from hillfield.events import EventCode, Journal, ListJournal
from hillfield.model import Outcome, Step
from hillfield.proxy.ports import RequestHead

ROUTES = (
    RouteRule('search', ('GET',), '/claims'),
    RouteRule('claim', ('POST', 'PUT', 'DELETE'), '/claims/{item}'),
    RouteRule('mine', ('GET',), '/claims/mine', deadline=9, hedge_after=1),
    RouteRule('keyed', ('POST',), '/keyed', Idempotency.BY_KEY),
    RouteRule('never', ('GET',), '/never', Idempotency.NEVER),
    RouteRule('photo', ('GET',), '/photos/*'),
)
TEMPLATE = Template(
    service='claims',
    route=ROUTES,
    deadline=2,
    hedge_after=0.1,
    floor=0.7,
    account_parameters=AccountParameters(deadline=Bounds(1, 5)),
)


def make_account(
    name: str = 'desk',
    deadline: float | None = None,
) -> ClientAccount:
    use = ServiceUse('claims', deadline=deadline, attempts=9)
    return ClientAccount(name, (hash_secret('s'),), (use,))


def make_template_entry(replica: Replica, revision: int = 1) -> Entry:
    payload = encode_stored(StoredTemplate(1, (), TEMPLATE))
    return Entry(replica.keys.template('claims'), revision, payload)


def make_bucket_entry(
    replica: Replica,
    account: ClientAccount,
    revision: int = 1,
) -> Entry:
    stored = StoredBucket(1, (), {account.name: account})
    key = replica.keys.account(account.name)
    return Entry(key, revision, encode_stored(stored))


def make_view(
    account: ClientAccount | None = None,
    journal: Journal | None = None,
) -> ConfigurationView:
    replica = Replica('test')
    replica.adopt(make_template_entry(replica))
    replica.adopt(make_bucket_entry(replica, account or make_account()))
    replica.mark_complete()
    return ConfigurationView(replica, journal)


def head(
    method: str,
    path: str,
    account: str = 'desk',
    secret: str = 's',
    key: str = '',
) -> RequestHead:
    return RequestHead(method, path, account, secret, key)


def test_plan_comes_from_route_account_and_template():
    view = make_view(make_account(deadline=3))
    plan = view.resolve(head('GET', '/claims?colour=red')).ok
    assert (plan.service, plan.route, plan.account) == (
        'claims',
        'search',
        'desk',
    )
    assert plan.deadline == 3
    assert plan.hedge_after == TEMPLATE.hedge_after
    assert plan.idempotent
    plan = view.resolve(head('GET', '/claims/mine')).ok
    assert (plan.route, plan.deadline, plan.hedge_after) == ('mine', 9, 1)
    assert view.policy('claims') == derive_policy(TEMPLATE)
    assert view.policy('none') is None
    assert view.services() == ('claims',)


def test_account_is_held_within_the_template_in_force():
    journal = ListJournal()
    view = make_view(make_account(deadline=60), journal)
    for _ in range(3):
        plan = view.resolve(head('GET', '/claims')).ok
        assert plan.deadline == 5
        assert plan.maximum_attempts == TEMPLATE.attempts
    codes = [(each.code, each.account) for each in journal.occurrences]
    # One for the deadline and one for the attempts, once each.
    assert codes == 2 * [(EventCode.PARAMETER_CLAMPED, 'desk')]


def test_accounts_stay_compressed_but_for_a_bounded_few():
    replica = Replica('test')
    noticed: list[ClientAccount] = []
    directory = AccountDirectory(replica, noticed.append, limit=3)
    for number in range(9):
        account = make_account(f'desk-{number}')
        replica.adopt(make_bucket_entry(replica, account, number + 1))
        assert directory.find(account.name) == account
        assert directory.find('desk-0') == make_account('desk-0')
    assert len(directory) == 3
    # The one that is used most stays decoded.
    assert len(noticed) == 9


@pytest.mark.parametrize(
    ('method', 'path', 'key', 'idempotent'),
    [
        ('GET', '/claims', '', True),
        ('POST', '/claims/7', '', False),
        ('POST', '/claims/7', 'k', False),
        ('PUT', '/claims/7', '', False),
        ('DELETE', '/claims/7', '', False),
        ('POST', '/keyed', '', False),
        ('POST', '/keyed', 'k', True),
        ('GET', '/never', '', False),
    ],
)
def test_idempotency(method, path, key, idempotent):
    plan = make_view().resolve(head(method, path, key=key)).ok
    assert plan.idempotent is idempotent
    assert (plan.hedge_after is not None) is idempotent


@pytest.mark.parametrize(
    ('request_head', 'status', 'step'),
    [
        (head('GET', '/claims', account=''), 401, Step.AUTHENTICATE),
        (head('GET', '/claims', secret='x'), 401, Step.AUTHENTICATE),
        (head('GET', '/claims', account='nobody'), 401, Step.AUTHENTICATE),
        (head('GET', '/none'), 404, Step.ROUTE),
        (head('GET', '/photos'), 404, Step.ROUTE),
        (head('GET', '/photos/a/../../never'), 404, Step.ROUTE),
        (head('GET', '/photos/%2E%2e/never'), 404, Step.ROUTE),
        (head('GET', '/photos/..;/never'), 404, Step.ROUTE),
        (head('GET', '/photos/..%3bx/never'), 404, Step.ROUTE),
        (head('GET', '/photos/a%2f..%2F..%2fnever'), 404, Step.ROUTE),
        (head('GET', '/photos/a%5c..%5C..%5cnever'), 404, Step.ROUTE),
        (head('GET', r'/photos/a\..\..\never'), 404, Step.ROUTE),
        (head('GET', '/photos//never'), 404, Step.ROUTE),
        (head('GET', '//claims'), 404, Step.ROUTE),
        (head('GET', 'x/claims'), 404, Step.ROUTE),
        (head('GET', '*'), 404, Step.ROUTE),
        (head('POST', '/claims/'), 404, Step.ROUTE),
        (head('PATCH', '/claims/7'), 405, Step.ROUTE),
        (head('GET', ''), 404, Step.ROUTE),
        (head('GET', '/claims/\udcff'), 405, Step.ROUTE),
        (head('GET', '/claims', secret='\udcff'), 401, Step.AUTHENTICATE),
        (head('GET', '/claims', account='\udcff'), 401, Step.AUTHENTICATE),
    ],
)
def test_refusals_are_not_run(request_head, status, step):
    failure = make_view().resolve(request_head).error
    assert (failure.status, failure.step) == (status, step)
    assert failure.outcome is Outcome.NOT_RUN
    assert 5000 < failure.event < 6000


@pytest.mark.parametrize(
    ('path', 'route'),
    [
        ('/%6eever', 'never'),
        ('/never;till=7', 'never'),
        ('/photos/caf%C3%A9', 'photo'),
        ('/photos/a%2Fb', 'photo'),
    ],
)
def test_other_spellings_of_a_path_find_its_own_route(path, route):
    assert make_view().resolve(head('GET', path)).ok.route == route


@pytest.mark.parametrize('path', ['/%6eever', '/never;a=1', '//never'])
def test_prefix_route_takes_no_other_spelling_of_a_stricter_route(path):
    rest = RouteRule('rest', ('GET',), '/*', Idempotency.ALWAYS)
    routes = RouteTable()
    routes.add(replace(TEMPLATE, route=(*ROUTES, rest)))
    found = routes.find('GET', path)
    assert isinstance(found, NoRoute) or found.rule.name == 'never'


def test_service_that_the_account_may_not_use():
    account = ClientAccount('desk', (hash_secret('s'),), ())
    failure = make_view(account).resolve(head('GET', '/claims')).error
    assert failure.status == 403


def test_nothing_is_refused_for_good_before_all_is_loaded():
    replica = Replica('test')
    view = ConfigurationView(replica)
    failure = view.resolve(head('GET', '/claims')).error
    assert (failure.status, failure.retry_after) == (503, 1)
    replica.adopt(make_bucket_entry(replica, make_account()))
    failure = view.resolve(head('GET', '/claims')).error
    assert (failure.status, failure.step) == (503, Step.ROUTE)
    replica.adopt(make_template_entry(replica))
    assert view.resolve(head('GET', '/claims')).is_ok()


def test_changed_account_holds_at_once():
    replica = Replica('test')
    view = ConfigurationView(replica)
    replica.adopt(make_template_entry(replica))
    replica.adopt(make_bucket_entry(replica, make_account(deadline=3), 2))
    assert view.resolve(head('GET', '/claims')).ok.deadline == 3
    replica.adopt(make_bucket_entry(replica, make_account(deadline=4), 3))
    assert view.resolve(head('GET', '/claims')).ok.deadline == 4
    replica.adopt(Entry(replica.keys.account('desk'), 4, b''))
    assert view.resolve(head('GET', '/claims')).error.status == 401


def test_removed_template_takes_its_routes_along():
    replica = Replica('test')
    view = ConfigurationView(replica)
    replica.mark_complete()
    replica.adopt(make_template_entry(replica))
    replica.adopt(make_bucket_entry(replica, make_account()))
    replica.adopt(Entry(replica.keys.template('claims'), 9, b''))
    assert view.resolve(head('GET', '/claims')).error.status == 404
    assert view.services() == ()
