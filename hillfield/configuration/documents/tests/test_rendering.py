"""What is shown can be applied again."""

from hypothesis import given, settings
from hypothesis import strategies as st

from hillfield.configuration.documents.files import (
    Configuration,
    read_configuration,
)
from hillfield.configuration.schema.accounts import ClientAccount, ServiceUse
from hillfield.configuration.schema.templates import (
    AccountParameters,
    Bounds,
    Idempotency,
    RouteRule,
    Template,
)
from hillfield.configuration.documents.rendering import render_document
from hillfield.configuration.editing.differences import find_differences
from hillfield.configuration.editing.snapshots import DecodedSnapshot, Held
from hillfield.configuration.storage.keys import Keys
from hillfield.configuration.storage.payloads import (
    decode_template,
    encode_stored,
)
from hillfield.configuration.storage.stored import StoredTemplate
from hillfield.model import AnswerChecks

texts = st.text(st.characters(codec='utf-8'), min_size=1, max_size=9)
seconds = st.floats(0.01, 9)
bounds = st.none() | st.just(Bounds(0.001, 10))
routes = st.builds(
    RouteRule,
    name=texts,
    methods=st.just(('GET',)),
    path=st.sampled_from(('/a/{b}', '/a/*', '/')),
    idempotent=st.sampled_from(Idempotency),
    deadline=st.none() | seconds,
    hedge_after=st.none() | seconds,
)
templates = st.builds(
    Template,
    service=st.from_regex('[a-z0-9][a-z0-9._-]{0,9}', fullmatch=True),
    route=st.lists(
        routes,
        min_size=1,
        unique_by=(lambda rule: rule.name, lambda rule: rule.path),
    ).map(tuple),
    deadline=seconds,
    floor=st.floats(0, 1),
    account_rate=st.none() | seconds,
    checks=st.builds(
        AnswerChecks,
        required_header=texts,
        required_prefix=texts.map(str.encode),
    ),
    account_parameters=st.builds(AccountParameters, deadline=bounds),
)
accounts = st.builds(
    ClientAccount,
    name=st.from_regex('[A-Za-z0-9][A-Za-z0-9._@+-]{0,9}', fullmatch=True),
    secret_hashes=st.just(('0' * 64,)),
    use=st.lists(
        st.builds(ServiceUse, st.just('claims'), st.none() | seconds),
        max_size=1,
    ).map(tuple),
)


@settings(derandomize=True, max_examples=100, deadline=None)
@given(templates, accounts)
def test_shown_parts_read_back(tmp_path_factory, template, account):
    path = tmp_path_factory.mktemp('shown') / 'shown.toml'
    path.write_text(render_document((template, account), 7), 'utf-8')
    read = read_configuration(path)
    assert read.ok == Configuration((template,), (account,), based_on=7)


@settings(derandomize=True, max_examples=100, deadline=None)
@given(templates)
def test_payload_reads_back(template):
    stored = StoredTemplate(1, (), template)
    assert decode_template('', encode_stored(stored)).ok == stored


def test_difference_shows_only_what_changes():
    keys = Keys('test')
    standing = Template('claims', (RouteRule('a', ('GET',), '/a'),), deadline=2)
    wanted = Template('claims', standing.route, deadline=3)
    key = keys.template('claims')
    snapshot = DecodedSnapshot({key: Held(key, 1, (), {'claims': standing})})
    assert not list(
        find_differences(keys, Configuration((standing,), ()), snapshot),
    )
    differences = find_differences(
        keys,
        Configuration((wanted,), ()),
        snapshot,
    )
    lines = next(differences).lines('store', 'file')
    assert lines[0] == '--- store: template claims'
    assert {'-deadline = 2', '+deadline = 3'} < set(lines)
