"""Keys of client accounts over real nodes, and configurations that hold them."""

import asyncio
from functools import partial
from types import MappingProxyType

from msgspec.json import decode, encode
from pytest import mark

from hillfield.configuration.schema.credentials import hash_secret
from hillfield.platform.routes import read_routes
from hillfield.platform.tests.installation import (
    PROMISED,
    RULES,
    make_configuration,
    make_rule,
    open_installation,
)

BAKER = MappingProxyType(
    {'name': 'baker', 'apiKeys': ['k-1', 'k-2'], 'priority': 1},
)
GROCER = MappingProxyType(
    {'name': 'grocer', 'apiKeys': ['k-3'], 'ratePerS': 4, 'burst': 4},
)
OPEN = MappingProxyType(
    {**make_rule('/open/', 'captures', 'safe'), 'public': True},
)
KEYED = (*RULES, OPEN)
SERVICES = ('refunds', 'captures')


def make_keyed(version, *tenants):
    rules = [dict(rule) for rule in KEYED]
    return make_configuration(
        version,
        *rules,
        tenants=[dict(tenant) for tenant in tenants],
    )


def run(tmp_path, story):
    async def act():
        async with open_installation(tmp_path, SERVICES) as site:
            site.store.put(
                'op/config',
                make_keyed(7, BAKER, GROCER),
            )
            await site.settle(partial(is_keyed, site))
            await story(site)

    asyncio.run(act())


async def is_keyed(site):
    return set(await show_all(site, 'k-0', 'w')) == {401}


async def show_all(site, key, request, path='/captures/'):
    """Show a key at each node; return the statuses."""
    answers = await asyncio.gather(
        *(
            show(site, host, key, f'{request}-{host.name}', path)
            for host in site.hosts
        ),
    )
    return [answer.code for answer in answers]


def list_runs(site, request):
    """Return account and credentials that targets saw, from each node."""
    runs = [
        ran
        for host in site.hosts
        for ran in site.find_runs(f'{request}-{host.name}')
    ]
    return [(ran.account, ran.credentials) for ran in runs]


def show(site, host, key, request, path='/captures/', **more):
    headers = {'Authorization': f'Token {key}', 'X-Tenant': 'forged', **more}
    return site.send(host, path, request, headers=headers)


def test_a_target_sees_whose_request_it_is_and_never_the_key(tmp_path):
    async def story(site):
        assert await show_all(site, 'k-2', 'r') == [200, 200]
        assert list_runs(site, 'r') == 2 * [('baker', None)]
        assert await show_all(site, '', 'o', '/open/') == [200, 200]
        assert list_runs(site, 'o') == 2 * [(None, None)]

    run(tmp_path, story)


def test_what_has_no_known_key_does_not_run(tmp_path):
    async def story(site):
        wrong = ('k-4', '', 'baker', 'k-1,k-2')
        shown = (show_all(site, key, 'r') for key in wrong)
        codes = await asyncio.gather(*shown)
        assert codes == len(wrong) * [[401, 401]]
        basic = {'Authorization': 'Basic YmFrZXI6ay0x'}
        host = site.hosts[0]
        named = await site.send(host, '/captures/', 'b', headers=basic)
        assert named.code == 401
        assert not site.find_runs('b')
        assert not list_runs(site, 'r')

    run(tmp_path, story)


def test_a_revoked_key_ends_at_all_nodes_also_on_open_connections(tmp_path):
    async def story(site):
        assert (await show(site, site.hosts[0], 'k-1', 'a')).code == 200
        left = {**BAKER, 'apiKeys': ['k-2']}
        changed = make_keyed(8, left, GROCER)
        site.store.put('op/config', changed)

        async def is_revoked():
            return await show_all(site, 'k-1', 'b') == [401, 401]

        await site.settle(is_revoked, PROMISED)
        assert (await show(site, site.hosts[1], 'k-2', 'c')).code == 200

    run(tmp_path, story)


def test_a_limit_holds_over_two_nodes_and_tells_when_to_come_back(tmp_path):
    async def story(site):
        async def ask(number):
            await asyncio.sleep(0.05 * number)
            host = site.hosts[number % 2]
            return await show(site, host, 'k-3', f'q{number}')

        answers = await asyncio.gather(*map(ask, range(40)))
        codes = [answer.code for answer in answers]
        assert set(codes) == {200, 429}
        # 2 s at 4 a second, the burst, 5 for chance and the first reports.
        assert codes.count(200) <= 24
        refused = answers[codes.index(429)]
        assert refused.headers['Retry-After'] >= '0.5'
        ran = [len(site.find_runs(f'q{number}')) for number in range(40)]
        assert ran == [int(code == 200) for code in codes]

    run(tmp_path, story)


@mark.parametrize(
    ('tenant', 'named'),
    [
        ({'name': 'thief', 'apiKeys': ['k-1']}, 'baker'),
        ({'name': '', 'apiKeys': ['k-9']}, 'name'),
        ({'name': 'a\nb', 'apiKeys': ['k-9']}, 'name'),
        ({'name': 'mill', 'apiKeys': ['']}, 'apiKeys'),
        ({'name': 'mill', 'ratePerS': -1}, 'ratePerS'),
        ({'name': 'mill', 'burst': -1}, 'burst'),
        ({'name': 'mill', 'apiKeys': 'k-9'}, 'tenants'),
    ],
)
def test_a_configuration_with_wrong_accounts_is_refused(tenant, named):
    payload = make_keyed(7, BAKER, tenant)
    problem = read_routes(payload).error
    assert named in problem
    assert 'k-1' not in problem


def test_accounts_are_read_with_hashes_in_place_of_keys():
    payload = make_keyed(7, BAKER, GROCER)
    baker, grocer = read_routes(payload).ok.accounts or ()
    assert baker.secret_hashes == (hash_secret('k-1'), hash_secret('k-2'))
    assert (baker.priority, baker.rate) == (1, 0)
    assert (grocer.rate, grocer.burst) == (4, 4)


def test_without_tenants_nobody_needs_a_key_and_with_none_all_do():
    plain = make_configuration(7, *RULES)
    assert read_routes(plain).ok.accounts is None
    none = encode({**decode(plain), 'tenants': []})
    assert read_routes(none).ok.accounts == ()
